import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {
  CutoverCoordinator,
  SuccessionTimer,
} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  RankPlacement,
  RankReport,
  IssuedOrder,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import {GroupPlanning} from './group_planning.js';
import {OwnRank} from './own_rank.js';
import type {RankMessage} from './own_rank.js';
import {RankFollower} from './rank_follower.js';
import type {ClaimResult} from './rank_registry.js';
import {RankReach} from './rank_reach.js';
import type {ReachPorts} from './rank_reach.js';
import type {RankWatch} from './rank_watch.js';
import type {SentMap} from './prepare_sender.js';

/** How often the task looks at the time. */
const TICK_EVERY: Millis = 60;
/** The coordinator tells the ranks that it is there. */
const WATCH_EVERY: Millis = SECOND / 2;
/** The same while the group is held: its successor counts on hearing it. */
const WATCH_HELD_EVERY: Millis = SECOND / 10;

type Message =
  | {readonly type: 'tick'}
  | {readonly type: 'looked'; readonly message: RankMessage}
  | {
      readonly type: 'link';
      readonly from: Link;
      readonly message: CutoverMessage;
    }
  | {readonly type: 'opened'; readonly link: Link}
  | {readonly type: 'configured'; readonly profile: ExpertProfile}
  | {readonly type: 'claimed'; readonly claim: ClaimResult | undefined}
  | {
      readonly type: 'answered';
      readonly given: IssuedOrder;
      readonly outcome: Parameters<CutoverCoordinator['recordOutcome']>[2];
      readonly report: RankReport | undefined;
    }
  | {readonly type: 'read'; readonly report: RankReport}
  | {
      readonly type: 'placed';
      readonly rank: number;
      readonly placed: RankPlacement;
    };

type Ack = Extract<CutoverMessage, {type: 'cutover_ack'}>;

/** What a map task talks to. */
export interface MapPorts extends ReachPorts {
  readonly watch: RankWatch;
}

/** Keeps one rank on the map of its group; may coordinate the group too. */
export class MapTask extends Task<Message> {
  private readonly ownRank: OwnRank;
  private readonly planning: GroupPlanning;
  private coordinator: CutoverCoordinator | undefined;
  private readonly succession: SuccessionTimer;
  private readonly reach: RankReach;
  private readonly follower: RankFollower;
  private isClaiming = false;
  private watchedAt: Millis = -Infinity;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param context - what the daemon's tasks share
   * @param ports - what it talks to
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly ports: MapPorts,
  ) {
    super(context.system, 'maps', context.logger.labelled('maps'));
    this.succession = new SuccessionTimer(context.clock.now());
    this.ownRank = new OwnRank(
      ports,
      context.clock,
      {looked: message => this.post({type: 'looked', message})},
      this.logger,
    );
    this.follower = new RankFollower(
      ports.engine,
      this.ownRank,
      this.succession,
      () => this.startingMap(),
      () => this.planning.copyTime,
      this.logger,
    );
    this.planning = new GroupPlanning(context.clock, this.logger);
    this.reach = new RankReach(
      ports,
      {
        report: report => this.post({type: 'read', report}),
        placement: (rank, placed) => this.post({type: 'placed', rank, placed}),
        answered: (given, outcome, report) =>
          this.post({type: 'answered', given, outcome, report}),
      },
      this.logger,
    );
    this.timer = setInterval(() => this.post({type: 'tick'}), TICK_EVERY);
  }

  override stop(): void {
    clearInterval(this.timer);
    super.stop();
  }

  /** What `/status` shows. */
  get status(): object {
    return {
      rank: this.ownRank.own,
      phase: this.coordinator?.phase ?? 'follower',
      token: this.succession.highestToken,
    };
  }

  protected receive(message: Message): void {
    const now = this.context.clock.now();
    switch (message.type) {
      case 'tick':
        return this.tick(now);
      case 'looked':
        return this.looked(now, message.message);
      case 'link':
        return this.heard(now, message.from, message.message);
      case 'opened':
        this.watchOver(message.link);
        return;
      case 'configured':
        this.planning.configure(message.profile);
        return;
      case 'claimed':
        return this.claimed(now, message.claim);
      case 'answered':
        return this.answered(
          now,
          message.given,
          message.outcome,
          message.report,
        );
      case 'read':
        this.coordinator?.recordReport(now, message.report);
        return;
      case 'placed':
        this.planning.place(message.rank, message.placed);
        return;
    }
  }

  private tick(now: Millis): void {
    this.ownRank.tick(now);
    const {coordinator} = this;
    const {own} = this.ownRank;
    if (own === undefined) return;
    if (coordinator === undefined) {
      const isHolding = own.heldAt !== null;
      if (this.succession.shouldClaim(now, own.rank, isHolding))
        this.claim(own);
      return;
    }
    this.coordinate(now, coordinator, own);
  }

  private looked(now: Millis, message: RankMessage): void {
    const isTaken = this.deliver(now, message);
    if (isTaken && message.placed !== null) this.ownRank.placementTaken();
  }

  /** Hands a report to the coordinator, here or beside another rank. */
  private deliver(now: Millis, message: RankMessage): boolean {
    if (this.coordinator !== undefined) {
      this.takeReport(now, message);
      return true;
    }
    return this.follower.report(message);
  }

  private takeReport(
    now: Millis,
    {rank, report, chosen, unit, placed}: RankMessage,
  ): void {
    const {coordinator, planning} = this;
    if (coordinator === undefined) return;
    this.reach.heard(now, rank);
    if (report !== null) coordinator.recordReport(now, report);
    if (coordinator.phase === 'recovering') this.advance(now, coordinator);
    planning.add(now, chosen, unit);
    if (placed !== null) planning.place(rank, placed);
  }

  private heard(now: Millis, from: Link, message: CutoverMessage): void {
    if (
      this.ownRank.own !== undefined &&
      message.group !== this.ownRank.own.group
    )
      return;
    switch (message.type) {
      case 'cutover_watch':
        if (!this.follower.watched(now, from, message)) return;
        if (this.coordinator !== undefined) this.resign(now, 'a newer claim');
        return;
      case 'cutover_order':
      case 'cutover_look':
        void this.follower.carryOut(now, from, message);
        return;
      case 'cutover_report':
        return this.takeReport(now, message);
      case 'cutover_ack':
        return this.acked(now, message);
      case 'cutover_outdated':
        if (this.coordinator !== undefined) {
          this.succession.recordContact(now, message.token);
          this.resign(now, 'another coordinator');
        }
        return;
    }
  }

  private acked(now: Millis, ack: Ack): void {
    const {rank, token, epoch, order} = ack;
    this.reach.acked(rank, order, ack.outcome);
    const given: IssuedOrder = {rank, token, epoch, order, channel: 'beside'};
    this.reach.heard(now, rank);
    this.answered(now, given, ack.outcome, ack.report ?? undefined);
  }

  private answered(
    now: Millis,
    given: IssuedOrder,
    outcome: Parameters<CutoverCoordinator['recordOutcome']>[2],
    report: RankReport | undefined,
  ): void {
    const {coordinator} = this;
    if (coordinator === undefined) return;
    if (outcome !== 'accepted') {
      this.logger.info('order_not_accepted', {
        rank: given.rank,
        order: given.order.kind,
        outcome,
        token: given.token,
      });
    }
    if (report !== undefined && report.rank === this.ownRank.own?.rank) {
      this.ownRank.reported(now, report);
    }
    coordinator.recordOutcome(now, given, outcome, report);
    this.advance(now, coordinator);
  }

  private coordinate(
    now: Millis,
    coordinator: CutoverCoordinator,
    own: RankReport,
  ): void {
    if (coordinator.phase === 'resigned') {
      this.resign(now, 'fenced, or ranks out of reach');
      return;
    }
    const every = isHolding(coordinator) ? WATCH_HELD_EVERY : WATCH_EVERY;
    if (now - this.watchedAt >= every) {
      this.watchedAt = now;
      const watch = this.watchMessage();
      if (watch !== undefined) this.ports.links.broadcast(watch);
    }
    this.reach.refresh(now, own, rank => this.planning.lacks(rank, own.map));
    // The ranks of other VMs are asked by the watch message.
    if (this.planning.lacks(own.rank, own.map)) this.ownRank.placeAgain();
    // Reports of a rank without its sidecar lag, and the group would be held
    // all the while: such a group keeps its map.
    const isWhole = this.reach.silent.length === 0;
    if (isWhole && coordinator.isReady(now)) {
      this.planning.propose(now, coordinator, own);
    }
    this.advance(now, coordinator);
  }

  private watchMessage(): CutoverMessage | undefined {
    const {own} = this.ownRank;
    if (this.coordinator === undefined || own === undefined) return undefined;
    return {
      type: 'cutover_watch',
      group: own.group,
      token: this.coordinator.fencingToken,
      unplaced: this.planning.unplaced(own),
      counting: this.planning.counting(own, this.reach.silent),
    };
  }

  /** Tells a sidecar at once that this one coordinates. */
  private watchOver(link: Link): void {
    const watch = this.watchMessage();
    if (watch !== undefined) link.send(watch);
  }

  private advance(now: Millis, coordinator: CutoverCoordinator): void {
    for (const given of coordinator.tick(now)) this.give(now, given);
    for (const {event, map, detail} of coordinator.drainEvents()) {
      this.logger.info('map_change', {step: event, map, detail});
    }
  }

  private give(now: Millis, given: IssuedOrder): void {
    const {own} = this.ownRank;
    if (own === undefined) return;
    if (given.rank === own.rank) this.ownRank.expectLoading(now, given);
    if (!this.reach.give(now, own, given))
      this.coordinator?.recordSendFailure(given);
  }

  private claim({group, rank}: RankReport): void {
    if (this.isClaiming) return;
    this.isClaiming = true;
    this.logger.info('coordinator_claim', {group, rank});
    const {highestClaim} = this.succession;
    const {registry, self} = this.ports;
    void registry.claim(group, self, highestClaim).then(claim => {
      if (claim.isErr()) {
        const {message: reason} = claim.error;
        this.logger.warn('coordinator_claim_failed', {group, rank, reason});
      }
      this.post({type: 'claimed', claim: claim.unwrapOr(undefined)});
    });
  }

  private claimed(now: Millis, result: ClaimResult | undefined): void {
    this.isClaiming = false;
    const {own} = this.ownRank;
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
    const coordinator = new CutoverCoordinator(rank, size, claim, now);
    if (!this.succession.recordContact(now, coordinator.fencingToken)) return;
    this.coordinator = coordinator;
    this.planning.begin(size);
    const start = this.startingMap();
    if (start !== undefined) this.reach.startFrom(size, start);
    this.follower.leave();
    this.reach.begin(now, own);
    this.ownRank.placeAgain();
    this.ownRank.sample(true);
    this.watchedAt = -Infinity;
    this.logger.info('coordinator', {group, rank, claim});
  }

  /** The map that the group starts with, once the layout is known. */
  private startingMap(): SentMap | undefined {
    const {own} = this.ownRank;
    return own && this.planning.startingMap(own.size);
  }

  private resign(now: Millis, reason: string): void {
    this.logger.info('coordinator_resigned', {reason});
    this.coordinator = undefined;
    this.reach.disconnect();
    this.succession.recordResignation(now);
  }
}

function isHolding({phase}: CutoverCoordinator): boolean {
  return phase === 'holding' || phase === 'arming' || phase === 'releasing';
}
