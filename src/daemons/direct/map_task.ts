import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {CutoverCoordinator, Succession} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  RankPlacement,
  RankReport,
  RankedOrder,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import {MapPlanner} from './map_planner.js';
import {OwnRank} from './own_rank.js';
import type {RankMessage} from './own_rank.js';
import {RankReach} from './rank_reach.js';
import type {ReachPorts} from './rank_reach.js';
import type {RankWatch} from './rank_watch.js';

/** How often the task looks at the time. */
const TICK_EVERY: Millis = 60;
const PLAN_EVERY: Millis = SECOND / 4;
/** The coordinator tells the ranks that it is there. */
const WATCH_EVERY: Millis = SECOND / 2;

type Message =
  | {readonly type: 'tick'}
  | {readonly type: 'looked'; readonly message: RankMessage}
  | {
      readonly type: 'link';
      readonly from: Link;
      readonly message: CutoverMessage;
    }
  | {readonly type: 'configured'; readonly profile: ExpertProfile}
  | {readonly type: 'claimed'; readonly claim: number | undefined}
  | {
      readonly type: 'answered';
      readonly given: RankedOrder;
      readonly outcome: Parameters<CutoverCoordinator['answered']>[2];
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
  private profile: ExpertProfile | undefined;
  private planner: MapPlanner | undefined;
  private coordinator: CutoverCoordinator | undefined;
  private readonly succession: Succession;
  private readonly reach: RankReach;
  /** Link of the coordinator that watches this rank. */
  private watcher: Link | undefined;
  private isClaiming = false;
  private plannedAt: Millis = -Infinity;
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
    this.succession = new Succession(context.clock.now());
    this.ownRank = new OwnRank(ports, context.clock, {
      looked: message => this.post({type: 'looked', message}),
    });
    this.reach = new RankReach(ports, {
      report: report => this.post({type: 'read', report}),
      placement: (rank, placed) => this.post({type: 'placed', rank, placed}),
      answered: (given, outcome, report) =>
        this.post({type: 'answered', given, outcome, report}),
    });
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
      case 'configured':
        this.profile = message.profile;
        this.planner = undefined;
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
        this.coordinator?.reported(now, message.report);
        return;
      case 'placed':
        this.planner?.place(message.rank, message.placed);
        return;
    }
  }

  private tick(now: Millis): void {
    this.ownRank.tick(now);
    const {coordinator} = this;
    const {own} = this.ownRank;
    if (own === undefined) return;
    if (coordinator === undefined) {
      if (this.succession.isDue(now, own.rank)) this.claim(own);
      return;
    }
    this.coordinate(now, coordinator, own);
  }

  private looked(now: Millis, message: RankMessage): void {
    const isTaken = this.deliver(now, message);
    if (isTaken && message.placed !== null) {
      this.ownRank.placementTaken(message.placed.map);
    }
  }

  /** Hands a report to the coordinator, here or beside another rank. */
  private deliver(now: Millis, message: RankMessage): boolean {
    if (this.coordinator !== undefined) {
      this.takeReport(now, message);
      return true;
    }
    const {watcher} = this;
    return watcher?.send(message) ?? false;
  }

  private takeReport(
    now: Millis,
    {rank, report, chosen, placed}: RankMessage,
  ): void {
    const {coordinator, planner} = this;
    if (coordinator === undefined) return;
    this.reach.heard(now, rank);
    if (report !== null) coordinator.reported(now, report);
    planner?.add(now, chosen);
    if (placed !== null) planner?.place(rank, placed);
  }

  private heard(now: Millis, from: Link, message: CutoverMessage): void {
    if (
      this.ownRank.own !== undefined &&
      message.group !== this.ownRank.own.group
    )
      return;
    switch (message.type) {
      case 'cutover_watch':
        return this.watched(now, from, message);
      case 'cutover_order':
        void this.carryOut(now, from, message);
        return;
      case 'cutover_report':
        return this.takeReport(now, message);
      case 'cutover_ack':
        return this.acked(now, message);
      case 'cutover_outdated':
        if (this.coordinator !== undefined) {
          this.succession.heard(now, message.token);
          this.resign(now, 'another coordinator');
        }
        return;
    }
  }

  private watched(
    now: Millis,
    from: Link,
    {token, unplaced}: Extract<CutoverMessage, {type: 'cutover_watch'}>,
  ): void {
    if (!this.succession.heard(now, token)) {
      this.tellOutdated(from);
      return;
    }
    if (this.coordinator !== undefined) this.resign(now, 'a newer claim');
    const {rank} = this.ownRank.own ?? {};
    const isUnplaced = rank !== undefined && unplaced.includes(rank);
    if (this.watcher !== from || isUnplaced) this.ownRank.placeAgain();
    this.watcher = from;
  }

  private tellOutdated(from: Link): void {
    const {group = ''} = this.ownRank.own ?? {};
    const token = this.succession.highestToken;
    from.send({type: 'cutover_outdated', group, token});
  }

  /** Carries out an order of the coordinator at the rank beside. */
  private async carryOut(
    now: Millis,
    from: Link,
    message: Extract<CutoverMessage, {type: 'cutover_order'}>,
  ): Promise<void> {
    const {order, token, epoch, group, rank} = message;
    if (!this.succession.heard(now, token)) {
      this.tellOutdated(from);
      return;
    }
    this.ownRank.expectLoading(now, message);
    const outcome = await this.ports.engine.give(order, token, epoch);
    const report = (await this.ports.watch.report()) ?? null;
    const ack: Ack = {
      type: 'cutover_ack',
      group,
      rank,
      token,
      epoch,
      order: order.kind === 'prepare' ? {...order, experts: []} : order,
      outcome,
      report,
    };
    from.send(ack);
  }

  private acked(now: Millis, ack: Ack): void {
    const {rank, token, epoch, order} = ack;
    const given: RankedOrder = {rank, token, epoch, order};
    this.reach.heard(now, rank);
    this.answered(now, given, ack.outcome, ack.report ?? undefined);
  }

  private answered(
    now: Millis,
    given: RankedOrder,
    outcome: Parameters<CutoverCoordinator['answered']>[2],
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
    coordinator.answered(now, given, outcome, report);
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
    if (now - this.watchedAt >= WATCH_EVERY) {
      this.watchedAt = now;
      this.ports.links.broadcast({
        type: 'cutover_watch',
        group: own.group,
        token: coordinator.fencingToken,
        unplaced: this.unplaced(own),
      });
    }
    this.reach.refresh(now, own, rank => this.unplaced(own).includes(rank));
    // Reports of a rank without its sidecar lag, and the group would be held
    // all the while: such a group keeps its map.
    const isWhole = this.reach.silent.length === 0;
    const isDue = now - this.plannedAt >= PLAN_EVERY;
    if (isWhole && isDue && coordinator.isReady(now)) {
      this.plannedAt = now;
      this.plan(now, coordinator, own);
    }
    this.advance(now, coordinator);
  }

  /** Ranks whose experts on the present map are not known here. */
  private unplaced({size, map}: RankReport): number[] {
    const {planner} = this;
    if (planner === undefined) return [];
    const ranks = Array.from({length: size}, (_, rank) => rank);
    return ranks.filter(rank => planner.lacks(rank, map));
  }

  private advance(now: Millis, coordinator: CutoverCoordinator): void {
    for (const given of coordinator.tick(now)) this.give(now, given);
    for (const {event, map, detail} of coordinator.takeEvents()) {
      this.logger.info('map_change', {step: event, map, detail});
    }
  }

  private plan(
    now: Millis,
    coordinator: CutoverCoordinator,
    own: RankReport,
  ): void {
    if (this.profile === undefined) return;
    this.planner ??= new MapPlanner(this.profile, own.size);
    const plan = this.planner.plan(own.map);
    if (plan === undefined) return;
    const tookMs = Math.round(this.context.clock.now() - now);
    if (!this.planner.isWorthIt(plan)) return;
    this.logger.info('map_planned', {
      moves: plan.moves.length,
      skew_before: plan.skewBefore.toFixed(3),
      skew_after: plan.skewAfter.toFixed(3),
      megabytes: Math.round(plan.bytes / 2 ** 20),
      took_ms: tookMs,
    });
    coordinator.propose(now, plan.map);
  }

  private give(now: Millis, given: RankedOrder): void {
    const {own} = this.ownRank;
    if (own === undefined) return;
    if (given.rank === own.rank) this.ownRank.expectLoading(now, given);
    this.reach.give(now, own, given);
  }

  private claim({group, rank}: RankReport): void {
    if (this.isClaiming) return;
    this.isClaiming = true;
    this.logger.info('coordinator_claim', {group, rank});
    void this.ports.registry.claim(group, this.ports.self).then(claim =>
      this.post({
        type: 'claimed',
        claim: claim.isOk() ? claim.value : undefined,
      }),
    );
  }

  private claimed(now: Millis, claim: number | undefined): void {
    this.isClaiming = false;
    const {own} = this.ownRank;
    if (claim === undefined || own === undefined) {
      this.succession.resigned(now);
      return;
    }
    const {rank, size, group} = own;
    const coordinator = new CutoverCoordinator(rank, size, claim, now);
    if (!this.succession.heard(now, coordinator.fencingToken)) return;
    this.coordinator = coordinator;
    this.planner = undefined;
    if (this.profile) this.planner = new MapPlanner(this.profile, size);
    this.watcher = undefined;
    this.ownRank.placeAgain();
    this.watchedAt = -Infinity;
    this.logger.info('coordinator', {group, rank, claim});
  }

  private resign(now: Millis, reason: string): void {
    this.logger.info('coordinator_resigned', {reason});
    this.coordinator = undefined;
    this.reach.hangUp();
    this.succession.resigned(now);
  }
}
