import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {
  CutoverCoordinator,
  ORDER_RETRY_INTERVAL,
  SuccessionTimer,
  isHoldingPhase,
} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  ExpertLists,
  RankReport,
  IssuedOrder,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import {GroupClaims} from './group_claims.js';
import type {MapTaskMessage} from './map_task_message.js';
import {GroupPlanning} from './group_planning.js';
import {LocalRank} from './local_rank.js';
import type {RankMessage} from './local_rank.js';
import {RankFollower} from './rank_follower.js';
import type {ClaimResult} from './rank_registry.js';
import {RankTransport} from './rank_transport.js';
import type {RankTransportPorts} from './rank_transport.js';
import type {RankReader} from './rank_reader.js';
import type {NumberedMap} from './prepare_encoder.js';

/** Interval of the periodic work of the task. */
const TICK_INTERVAL: Millis = 60;
/** Interval of the coordinator's heartbeat to the other sidecars. */
const WATCH_INTERVAL: Millis = SECOND / 2;
/** The same while it holds the group: a successor relies on the heartbeat. */
const HELD_WATCH_INTERVAL: Millis = SECOND / 10;

type Ack = Extract<CutoverMessage, {type: 'cutover_ack'}>;

/** Dependencies of a map task. */
export interface MapTaskPorts extends RankTransportPorts {
  readonly reader: RankReader;
  /** Whether engines reject orders with older fencing tokens. */
  readonly checksTokens: boolean;
}

/**
 * Keeps one rank on the expert map of its group, and coordinates the group
 * while it holds the newest claim.
 */
export class MapTask extends Task<MapTaskMessage> {
  private readonly localRank: LocalRank;
  private readonly planning: GroupPlanning;
  private coordinator: CutoverCoordinator | undefined;
  private readonly succession: SuccessionTimer;
  private readonly transport: RankTransport;
  private readonly follower: RankFollower;
  private readonly claims: GroupClaims;
  private lastWatchAt: Millis = -Infinity;
  private readonly timer: NodeJS.Timeout;
  private retryTimer: NodeJS.Timeout | undefined;

  /**
   * @param context - context shared by the daemon's tasks
   * @param ports - dependencies of the task
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly ports: MapTaskPorts,
  ) {
    super(context.system, 'maps', context.logger.withLabel('maps'));
    this.succession = new SuccessionTimer(context.clock.now());
    this.localRank = new LocalRank(
      ports,
      context.clock,
      {updated: message => this.post({type: 'looked', message})},
      this.logger,
    );
    this.follower = new RankFollower(
      ports.engine,
      this.localRank,
      this.succession,
      () => this.initialMap(),
      () => this.planning.copyTime,
      this.logger,
    );
    this.planning = new GroupPlanning(context.clock, this.logger);
    this.transport = new RankTransport(
      ports,
      {
        report: report => this.post({type: 'read', report}),
        placement: (rank, placed) => this.post({type: 'placed', rank, placed}),
        answered: (issued, outcome, report) =>
          this.post({type: 'answered', issued, outcome, report}),
      },
      this.logger,
    );
    this.claims = new GroupClaims(
      ports,
      {
        claimed: claim => this.post({type: 'claimed', claim}),
        vacant: ownClaim => this.post({type: 'vacant', ownClaim}),
      },
      this.logger,
    );
    this.timer = setInterval(() => this.post({type: 'tick'}), TICK_INTERVAL);
  }

  override stop(): void {
    clearInterval(this.timer);
    clearTimeout(this.retryTimer);
    super.stop();
  }

  /** The fields of this task in `/status`. */
  get status(): object {
    return {
      rank: this.localRank.lastReport,
      phase: this.coordinator?.phase ?? 'follower',
      token: this.succession.highestToken,
    };
  }

  protected receive(message: MapTaskMessage): void {
    const now = this.context.clock.now();
    switch (message.type) {
      case 'tick':
        return this.tick(now);
      case 'retry_due':
        this.retryTimer = undefined;
        if (this.coordinator !== undefined) this.advance(now, this.coordinator);
        return;
      case 'looked':
        return this.onLocalUpdate(now, message.message);
      case 'link':
        return this.onLinkMessage(now, message.from, message.message);
      case 'opened':
        this.sendWatch(message.link);
        return;
      case 'configured':
        this.planning.configure(message.profile);
        return;
      case 'registry_restored':
        this.localRank.forgetRegistration();
        return;
      case 'claimed':
        return this.onClaimResult(now, message.claim);
      case 'vacant':
        this.succession.recordVacancy(now, message.ownClaim);
        return;
      case 'answered':
        return this.recordOutcome(
          now,
          message.issued,
          message.outcome,
          message.report,
        );
      case 'read':
        this.coordinator?.recordReport(now, message.report);
        return;
      case 'placed':
        this.planning.recordPlacement(message.rank, message.placed);
        return;
    }
  }

  private tick(now: Millis): void {
    this.localRank.tick(now);
    const {coordinator} = this;
    const {lastReport: own} = this.localRank;
    if (own === undefined) return;
    this.claims.readOnce(own);
    if (coordinator === undefined) {
      const isHolding = own.heldAt !== null;
      if (this.succession.shouldClaim(now, own.rank, isHolding))
        this.claims.claim(own, this.succession.highestClaim);
      return;
    }
    this.coordinate(now, coordinator, own);
  }

  private onLocalUpdate(now: Millis, message: RankMessage): void {
    const isDelivered = this.deliverReport(now, message);
    if (isDelivered && message.placed !== null)
      this.localRank.recordPlacementSent();
  }

  /**
   * Delivers a report to the coordinator, in this process or over a link.
   * @returns whether it was recorded or handed to a connection
   */
  private deliverReport(now: Millis, message: RankMessage): boolean {
    if (this.coordinator !== undefined) {
      this.recordReport(now, message);
      return true;
    }
    return this.follower.sendReport(message);
  }

  private recordReport(
    now: Millis,
    {rank, report, chosen, unit, placed}: RankMessage,
  ): void {
    const {coordinator, planning} = this;
    if (coordinator === undefined) return;
    this.transport.recordContact(now, rank);
    if (report !== null) coordinator.recordReport(now, report);
    if (coordinator.phase === 'recovering') this.advance(now, coordinator);
    planning.recordSelections(now, chosen, unit);
    if (placed !== null) planning.recordPlacement(rank, placed);
  }

  private onLinkMessage(
    now: Millis,
    from: Link,
    message: CutoverMessage,
  ): void {
    if (
      this.localRank.lastReport !== undefined &&
      message.group !== this.localRank.lastReport.group
    )
      return;
    switch (message.type) {
      case 'cutover_watch':
        if (!this.follower.acceptWatch(now, from, message)) return;
        if (this.coordinator !== undefined)
          this.resign(now, 'a coordinator with a newer claim was found');
        return;
      case 'cutover_order':
      case 'cutover_look':
        void this.follower.executeOrder(now, from, message);
        return;
      case 'cutover_report':
        return this.recordReport(now, message);
      case 'cutover_ack':
        return this.onAck(now, message);
      case 'cutover_outdated':
        if (this.coordinator !== undefined) {
          this.succession.recordContact(now, message.token);
          this.resign(now, 'a rank follows another coordinator');
        }
        return;
    }
  }

  private onAck(now: Millis, ack: Ack): void {
    const {rank, token, epoch, order} = ack;
    this.transport.recordAck(rank, order, ack.outcome);
    const issued: IssuedOrder = {rank, token, epoch, order, channel: 'beside'};
    this.transport.recordContact(now, rank);
    this.recordOutcome(now, issued, ack.outcome, ack.report ?? undefined);
  }

  private recordOutcome(
    now: Millis,
    issued: IssuedOrder,
    outcome: Parameters<CutoverCoordinator['recordOutcome']>[2],
    report: RankReport | undefined,
  ): void {
    const {coordinator} = this;
    if (coordinator === undefined) return;
    if (outcome !== 'accepted') {
      this.logger.info('order_not_accepted', {
        rank: issued.rank,
        order: issued.order.kind,
        outcome,
        token: issued.token,
      });
    }
    if (
      report !== undefined &&
      report.rank === this.localRank.lastReport?.rank
    ) {
      this.localRank.recordReport(now, report);
    }
    coordinator.recordOutcome(now, issued, outcome, report);
    this.advance(now, coordinator);
  }

  private coordinate(
    now: Millis,
    coordinator: CutoverCoordinator,
    own: RankReport,
  ): void {
    if (coordinator.phase === 'resigned') {
      this.resign(now, 'fenced by a newer token, or ranks are unreachable');
      return;
    }
    const every = isHoldingPhase(coordinator.phase)
      ? HELD_WATCH_INTERVAL
      : WATCH_INTERVAL;
    if (now - this.lastWatchAt >= every) {
      this.lastWatchAt = now;
      const watch = this.watchMessage();
      if (watch !== undefined) this.ports.links.broadcast(watch);
    }
    this.transport.refresh(now, own, rank =>
      this.planning.lacksPlacement(rank, own.map),
    );
    // Ranks on other VMs get this request in the watch message.
    if (this.planning.lacksPlacement(own.rank, own.map))
      this.localRank.requestPlacement();
    // Reports of a rank whose sidecar is unresponsive lag, and the group would
    // be held meanwhile, so a group with such a rank stays on its map.
    const isWhole = this.transport.unresponsive.length === 0;
    if (isWhole && coordinator.isReady(now)) {
      this.planning.propose(now, coordinator, own);
    }
    this.advance(now, coordinator);
  }

  private watchMessage(): CutoverMessage | undefined {
    const {lastReport: own} = this.localRank;
    if (this.coordinator === undefined || own === undefined) return undefined;
    return {
      type: 'cutover_watch',
      group: own.group,
      token: this.coordinator.fencingToken,
      unplaced: this.planning.unplacedRanks(own),
      counting: this.planning.sampledRanks(own, this.transport.unresponsive),
    };
  }

  /** Announces the coordinator on a link that has just opened. */
  private sendWatch(link: Link): void {
    const watch = this.watchMessage();
    if (watch !== undefined) link.send(watch);
  }

  private advance(now: Millis, coordinator: CutoverCoordinator): void {
    for (const issued of coordinator.tick(now)) this.sendOrder(now, issued);
    for (const {event, map, detail} of coordinator.drainEvents()) {
      this.logger.info('map_change', {step: event, map, detail});
    }
    if (!isHoldingPhase(coordinator.phase) || this.retryTimer !== undefined)
      return;
    this.retryTimer = setTimeout(
      () => this.post({type: 'retry_due'}),
      ORDER_RETRY_INTERVAL,
    );
  }

  private sendOrder(now: Millis, issued: IssuedOrder): void {
    const {lastReport: own} = this.localRank;
    if (own === undefined) return;
    if (issued.rank === own.rank) this.localRank.expectLoad(now, issued);
    if (!this.transport.send(now, own, issued))
      this.coordinator?.recordSendFailure(issued);
  }

  private onClaimResult(now: Millis, result: ClaimResult | undefined): void {
    const {lastReport: own} = this.localRank;
    if (result === undefined || own === undefined) {
      this.succession.recordResignation(now);
      return;
    }
    const {claim, isOwn} = result;
    if (!isOwn) {
      this.succession.recordClaim(now, claim);
      this.logger.info('coordinator_noticed', {group: own.group, claim});
      return;
    }
    const {rank, size, group} = own;
    const lookup = this.ports.checksTokens
      ? undefined
      : (map: number) => this.expertsOf(map);
    const coordinator = new CutoverCoordinator(rank, size, claim, now, lookup);
    if (!this.succession.recordContact(now, coordinator.fencingToken)) return;
    this.coordinator = coordinator;
    this.planning.reset(size);
    const start = this.initialMap();
    if (start !== undefined) this.transport.setInitialMap(size, start);
    this.follower.stopFollowing();
    this.transport.start(now, own);
    this.localRank.requestPlacement();
    this.localRank.setSampling(true);
    this.lastWatchAt = -Infinity;
    this.logger.info('coordinator', {group, rank, claim});
  }

  private expertsOf(map: number): ExpertLists | undefined {
    return this.planning.expertsOf(map) ?? this.follower.expertsOf(map);
  }

  /** Returns the default map of the group once the expert layout is known. */
  private initialMap(): NumberedMap | undefined {
    const {lastReport: own} = this.localRank;
    return own && this.planning.initialMap(own.size);
  }

  private resign(now: Millis, reason: string): void {
    this.logger.info('coordinator_resigned', {reason});
    this.coordinator = undefined;
    this.transport.disconnect();
    this.succession.recordResignation(now);
  }
}
