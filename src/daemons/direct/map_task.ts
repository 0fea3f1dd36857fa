import type {RankClient} from '../../clients/index.js';
import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {CutoverCoordinator, Succession} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  RankReport,
  RankedOrder,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import {MapPlanner} from './map_planner.js';
import type {RankLinks} from './rank_links.js';
import type {RankRecord, RankRegistry} from './rank_registry.js';
import type {RankLook, RankWatch} from './rank_watch.js';

/** How often the task looks at the time. */
const TICK_EVERY: Millis = 60;
/** How often a sidecar reads the choices of its rank. */
const LOOK_EVERY: Millis = 0.3 * SECOND;
/** How often it reads its report besides. */
const REPORT_EVERY: Millis = 0.6 * SECOND;
/** The end of a load is looked for this long at most. */
const LOADING_WITHIN: Millis = 6 * SECOND;
const PLAN_EVERY: Millis = SECOND / 4;
/** The coordinator tells the ranks that it is there. */
const WATCH_EVERY: Millis = SECOND / 2;
/** Missing ranks are looked up again after this time. */
const LIST_EVERY: Millis = SECOND;
/** A rank whose sidecar is silent this long is spoken to directly. */
const DIRECT_AFTER: Millis = SECOND / 2;
/** How often a rank is read directly. */
const DIRECT_EVERY: Millis = SECOND / 4;

type Message =
  | {readonly type: 'tick'}
  | {readonly type: 'looked'; readonly look: RankLook | undefined}
  | {
      readonly type: 'link';
      readonly from: Link;
      readonly message: CutoverMessage;
    }
  | {readonly type: 'configured'; readonly profile: ExpertProfile}
  | {readonly type: 'claimed'; readonly claim: number | undefined}
  | {
      readonly type: 'listed';
      readonly ranks: ReadonlyMap<number, RankRecord> | undefined;
    }
  | {
      readonly type: 'answered';
      readonly given: RankedOrder;
      readonly outcome: Parameters<CutoverCoordinator['answered']>[2];
      readonly report: RankReport | undefined;
    }
  | {readonly type: 'registered'; readonly isDone: boolean};

type Ack = Extract<CutoverMessage, {type: 'cutover_ack'}>;
type RankMessage = Extract<CutoverMessage, {type: 'cutover_report'}>;

/** What a map task talks to. */
export interface MapPorts {
  readonly watch: RankWatch;
  readonly engine: RankClient;
  readonly registry: RankRegistry;
  readonly links: RankLinks;
  /** Where this sidecar and its rank are reached. */
  readonly self: RankRecord;
  /** Client of another rank's engine, for when its sidecar is silent. */
  engineAt(address: string): RankClient;
}

/** Keeps one rank on the map of its group; may coordinate the group too. */
export class MapTask extends Task<Message> {
  private own: RankReport | undefined;
  private profile: ExpertProfile | undefined;
  private planner: MapPlanner | undefined;
  private coordinator: CutoverCoordinator | undefined;
  private readonly succession: Succession;
  private records: ReadonlyMap<number, RankRecord> = new Map();
  private readonly heardAt = new Map<number, Millis>();
  private readonly directAt = new Map<number, Millis>();
  private readonly engines = new Map<string, RankClient>();
  /** Link of the coordinator that watches this rank. */
  private watcher: Link | undefined;
  private registeredAs: string | undefined;
  private isBusy = {looking: false, claiming: false, listing: false};
  private lookedAt: Millis = -Infinity;
  private reportedAt: Millis = -Infinity;
  private plannedAt: Millis = -Infinity;
  private watchedAt: Millis = -Infinity;
  private listedAt: Millis = -Infinity;
  private placedMap: number | undefined;
  /** A map whose weights this rank loads; its end is looked for. */
  private loading:
    | {readonly map: number; readonly epoch: number; readonly until: Millis}
    | undefined;
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
    this.timer = setInterval(() => this.post({type: 'tick'}), TICK_EVERY);
  }

  override stop(): void {
    clearInterval(this.timer);
    super.stop();
  }

  /** What `/status` shows. */
  get status(): object {
    return {
      rank: this.own,
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
        return this.looked(now, message.look);
      case 'link':
        return this.heard(now, message.from, message.message);
      case 'configured':
        this.profile = message.profile;
        this.planner = undefined;
        return;
      case 'claimed':
        return this.claimed(now, message.claim);
      case 'listed':
        this.isBusy.listing = false;
        if (message.ranks !== undefined) this.records = message.ranks;
        return this.dial();
      case 'answered':
        return this.answered(
          now,
          message.given,
          message.outcome,
          message.report,
        );
      case 'registered':
        if (!message.isDone) this.registeredAs = undefined;
        return;
    }
  }

  private get isLoading(): boolean {
    return this.loading !== undefined;
  }

  private tick(now: Millis): void {
    const isDue = now - this.lookedAt >= LOOK_EVERY || this.isLoading;
    if (isDue && !this.isBusy.looking) {
      this.lookedAt = now;
      this.isBusy.looking = true;
      const isFull = this.isLoading || now - this.reportedAt >= REPORT_EVERY;
      if (isFull) this.reportedAt = now;
      void this.ports.watch
        .look(isFull)
        .then(look => this.post({type: 'looked', look}));
    }
    const {own, coordinator} = this;
    if (own === undefined) return;
    if (coordinator === undefined) {
      if (this.succession.isDue(now, own.rank)) this.claim(own);
      return;
    }
    this.coordinate(now, coordinator, own);
  }

  private looked(now: Millis, look: RankLook | undefined): void {
    this.isBusy.looking = false;
    if (look === undefined) return;
    const {report = null, chosen} = look;
    if (report !== null) this.ownReported(now, report);
    const {own} = this;
    if (own === undefined) return;
    const {group, rank, map} = own;
    const message: RankMessage = {
      type: 'cutover_report',
      group,
      rank,
      report,
      chosen: [...chosen],
      placed: null,
    };
    if (map === this.placedMap) {
      this.deliver(now, message);
      return;
    }
    void this.ports.watch.placement().then(placed => {
      const isTaken = this.deliver(now, {...message, placed});
      if (isTaken && placed !== null) this.placedMap = placed.map;
    });
  }

  private ownReported(now: Millis, report: RankReport): void {
    this.own = report;
    this.register(report);
    if (this.loading === undefined) return;
    const {prepared, map, epoch} = report;
    const isOver =
      prepared === this.loading.map ||
      map === this.loading.map ||
      epoch !== this.loading.epoch ||
      now >= this.loading.until;
    if (isOver) this.loading = undefined;
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
    this.heardAt.set(rank, now);
    if (report !== null) coordinator.reported(now, report);
    planner?.add(now, chosen);
    if (placed !== null) planner?.place(rank, placed);
  }

  private heard(now: Millis, from: Link, message: CutoverMessage): void {
    if (this.own !== undefined && message.group !== this.own.group) return;
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
    const {rank} = this.own ?? {};
    const isUnplaced = rank !== undefined && unplaced.includes(rank);
    if (this.watcher !== from || isUnplaced) this.placedMap = undefined;
    this.watcher = from;
  }

  private tellOutdated(from: Link): void {
    const {group = ''} = this.own ?? {};
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
    this.expectLoading(now, message);
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

  private expectLoading(
    now: Millis,
    {order, epoch}: Pick<RankedOrder, 'order' | 'epoch'>,
  ): void {
    if (order.kind !== 'prepare') return;
    this.loading = {map: order.map, epoch, until: now + LOADING_WITHIN};
  }

  private acked(now: Millis, ack: Ack): void {
    const {rank, token, epoch, order} = ack;
    const given: RankedOrder = {rank, token, epoch, order};
    this.heardAt.set(rank, now);
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
    this.reach(now, own);
    if (coordinator.isReady(now) && now - this.plannedAt >= PLAN_EVERY) {
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
    for (const given of coordinator.tick(now)) this.give(given);
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

  /** Looks up, dials and, where a sidecar is silent, reads ranks directly. */
  private reach(now: Millis, own: RankReport): void {
    const missing: number[] = [];
    for (let rank = 0; rank < own.size; rank++) {
      if (rank === own.rank) continue;
      const heard = this.heardAt.get(rank) ?? -Infinity;
      if (now - heard > DIRECT_AFTER) missing.push(rank);
    }
    if (missing.length === 0) return;
    if (now - this.listedAt >= LIST_EVERY && !this.isBusy.listing) {
      this.listedAt = now;
      this.isBusy.listing = true;
      void this.ports.registry.ranks(own.group).then(ranks =>
        this.post({
          type: 'listed',
          ranks: ranks.isOk() ? ranks.value : undefined,
        }),
      );
    }
    for (const rank of missing) this.readDirectly(now, rank);
  }

  private readDirectly(now: Millis, rank: number): void {
    const record = this.records.get(rank);
    if (record === undefined) return;
    if (now - (this.directAt.get(rank) ?? -Infinity) < DIRECT_EVERY) return;
    this.directAt.set(rank, now);
    void this.readRank(rank, this.engineOf(record));
  }

  private async readRank(rank: number, engine: RankClient): Promise<void> {
    const read = await engine.report();
    const report = read.isOk() ? read.value : undefined;
    if (report === undefined || report.rank !== rank) return;
    this.coordinator?.reported(this.context.clock.now(), report);
    if (this.planner?.lacks(rank, report.map) !== true) return;
    const placement = await engine.placement();
    if (placement.isOk()) this.planner?.place(rank, placement.value);
  }

  private dial(): void {
    const {own} = this;
    if (own === undefined) return;
    for (const [rank, {sidecar}] of this.records) {
      if (rank !== own.rank) this.ports.links.dial(sidecar);
    }
  }

  private give(given: RankedOrder): void {
    const {own} = this;
    if (own === undefined) return;
    const {rank, order, token, epoch} = given;
    if (rank === own.rank) {
      this.expectLoading(this.context.clock.now(), given);
      void this.giveDirectly(given, this.ports.engine);
      return;
    }
    const record = this.records.get(rank);
    if (record === undefined) return;
    const now = this.context.clock.now();
    const isHeard = now - (this.heardAt.get(rank) ?? -Infinity) <= DIRECT_AFTER;
    const isSent =
      isHeard &&
      this.ports.links.sendTo(record.sidecar, {
        type: 'cutover_order',
        group: own.group,
        rank,
        token,
        epoch,
        order,
      });
    if (!isSent) void this.giveDirectly(given, this.engineOf(record));
  }

  private async giveDirectly(
    given: RankedOrder,
    engine: RankClient,
  ): Promise<void> {
    const {order, token, epoch} = given;
    const outcome = await engine.give(order, token, epoch);
    const read = await engine.report();
    const report = read.isOk() ? read.value : undefined;
    this.post({type: 'answered', given, outcome, report});
  }

  private engineOf({engine}: RankRecord): RankClient {
    let client = this.engines.get(engine);
    if (client === undefined) {
      client = this.ports.engineAt(engine);
      this.engines.set(engine, client);
    }
    return client;
  }

  private claim({group, rank}: RankReport): void {
    if (this.isBusy.claiming) return;
    this.isBusy.claiming = true;
    this.logger.info('coordinator_claim', {group, rank});
    void this.ports.registry.claim(group, this.ports.self).then(claim =>
      this.post({
        type: 'claimed',
        claim: claim.isOk() ? claim.value : undefined,
      }),
    );
  }

  private claimed(now: Millis, claim: number | undefined): void {
    this.isBusy.claiming = false;
    const {own} = this;
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
    this.placedMap = undefined;
    this.watchedAt = this.listedAt = -Infinity;
    this.logger.info('coordinator', {group, rank, claim});
  }

  private resign(now: Millis, reason: string): void {
    this.logger.info('coordinator_resigned', {reason});
    this.coordinator = undefined;
    this.heardAt.clear();
    this.ports.links.hangUp();
    this.succession.resigned(now);
  }

  /** Writes where this rank is, whenever that is news. */
  private register({group, rank}: RankReport): void {
    const name = `${group}/${rank}`;
    if (this.registeredAs === name) return;
    this.registeredAs = name;
    void this.ports.registry
      .register(group, rank, this.ports.self)
      .then(done => this.post({type: 'registered', isDone: done.isOk()}));
  }
}
