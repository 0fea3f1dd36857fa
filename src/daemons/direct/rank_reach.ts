import type {RankClient} from '../../clients/index.js';
import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {
  CutoverMessage,
  CutoverOrder,
  OrderOutcome,
  RankPlacement,
  RankReport,
  IssuedOrder,
} from '../../expert_groups/index.js';
import type {Logger} from '../../observability/index.js';
import {PrepareSender} from './prepare_sender.js';
import type {SentMap} from './prepare_sender.js';
import type {RankLinks} from './rank_links.js';
import type {RankRecord, RankRegistry} from './rank_registry.js';

/** Missing ranks are looked up again after this time. */
const LIST_EVERY: Millis = SECOND;
/**
 * A rank whose sidecar is silent this long is spoken to directly; a new
 * coordinator waits as long for the links to open.
 */
const DIRECT_AFTER: Millis = 1.1 * SECOND;
/** How often a rank is read directly. */
const DIRECT_EVERY: Millis = SECOND / 4;

/**
 * An engine tells other VMs its state as it was some hundred ms ago. A report
 * that is to show what an order did is read this long after it.
 */
export const REMOTE_REPORT_LAG: Millis = 0.6 * SECOND;

/** What the way to the ranks is made of. */
export interface ReachPorts {
  /** Engine of the rank beside this sidecar. */
  readonly engine: RankClient;
  readonly registry: RankRegistry;
  readonly links: RankLinks;
  /** Where this sidecar and its rank are reached. */
  readonly self: RankRecord;
  /** Client of another rank's engine, for when its sidecar is silent. */
  engineAt(address: string): RankClient;
}

/** What is heard of ranks that were spoken to directly. */
export interface ReachEvents {
  report(report: RankReport): void;
  placement(rank: number, placed: RankPlacement): void;
  answered(
    given: IssuedOrder,
    outcome: OrderOutcome,
    report: RankReport | undefined,
  ): void;
}

/**
 * The coordinator's way to the ranks: over the links to their sidecars, whose
 * orders and reads cost nothing, and directly where a sidecar is silent, so
 * that the loss of one does not stop the maps of its group.
 */
export class RankReach {
  private records: ReadonlyMap<number, RankRecord> = new Map();
  private readonly heardAt = new Map<number, Millis>();
  private readonly readAt = new Map<number, Millis>();
  private readonly engines = new Map<string, RankClient>();
  /** Ranks that were given an order directly and have not answered. */
  private readonly asked = new Set<number>();
  private startedAt: Millis = -Infinity;
  private listedAt: Millis = -Infinity;
  private isListing = false;
  private missing: readonly number[] = [];
  private readonly prepares = new PrepareSender();

  /**
   * @param ports - what it speaks through
   * @param events - told of answers to what was asked directly
   * @param logger - for sidecars that fall silent or speak again
   */
  constructor(
    private readonly ports: ReachPorts,
    private readonly events: ReachEvents,
    private readonly logger: Logger,
  ) {}

  /**
   * The sidecar of a rank spoke.
   * @param now - present time
   * @param rank - the rank
   */
  heard(now: Millis, rank: number): void {
    this.heardAt.set(rank, now);
  }

  /**
   * The sidecar of a rank has answered an order.
   * @param rank - the rank
   * @param order - the order, without the experts of a map
   * @param outcome - what became of it
   */
  acked(rank: number, order: CutoverOrder, outcome: OrderOutcome): void {
    this.prepares.acked(rank, order, outcome);
  }

  /**
   * The group is on the map that it started with.
   * @param ranks - ranks of the group
   * @param map - that map
   */
  startFrom(ranks: number, map: SentMap): void {
    this.prepares.startFrom(ranks, map);
  }

  /** Ranks whose sidecars are silent. */
  get silent(): readonly number[] {
    return this.missing;
  }

  /**
   * The sidecar beside coordinates from now on.
   * @param now - present time
   * @param own - report of the rank beside
   */
  begin(now: Millis, own: RankReport): void {
    this.startedAt = now;
    this.listedAt = now;
    void this.list(own);
  }

  /** Leaves the ranks to another coordinator. */
  disconnect(): void {
    this.heardAt.clear();
    this.prepares.clear();
    this.listedAt = -Infinity;
    this.ports.links.disconnect();
  }

  /**
   * Looks up, dials and reads the ranks that are silent.
   * @param now - present time
   * @param own - report of the rank beside
   * @param isUnplaced - whether the experts of a rank are wanted too
   */
  refresh(
    now: Millis,
    own: RankReport,
    isUnplaced: (rank: number) => boolean,
  ): void {
    const missing: number[] = [];
    const before = this.missing.join(' ');
    this.missing = missing;
    for (let rank = 0; rank < own.size; rank++) {
      if (rank !== own.rank && !this.isHeard(now, rank)) missing.push(rank);
    }
    const silent = missing.join(' ');
    if (silent !== before) {
      this.logger.info('ranks_unreachable', {group: own.group, before, silent});
    }
    if (missing.length === 0) return;
    if (now - this.listedAt >= LIST_EVERY && !this.isListing) {
      this.listedAt = now;
      void this.list(own);
    }
    for (const rank of missing) this.read(now, rank, isUnplaced(rank));
  }

  /**
   * Gives an order.
   * @param now - present time
   * @param own - report of the rank beside
   * @param given - the order
   * @returns whether it is on its way, or an earlier one still is
   */
  give(now: Millis, own: RankReport, given: IssuedOrder): boolean {
    const {rank, order, token, epoch, channel} = given;
    if (rank === own.rank) {
      void this.giveDirectly(given, this.ports.engine);
      return true;
    }
    const record = this.records.get(rank);
    if (record === undefined) return false;
    const isHeard = this.isHeard(now, rank);
    if (isHeard && channel === 'beside') {
      const {links} = this.ports;
      const message: CutoverMessage = {
        type: 'cutover_order',
        ...{group: own.group, rank, token, epoch},
        ...this.prepares.compact(rank, order),
      };
      if (links.sendTo(record.sidecar, message)) return true;
      if (now - this.startedAt <= DIRECT_AFTER) return false;
    }
    if (this.asked.has(rank)) return true;
    this.asked.add(rank);
    const engine = this.engineOf(record);
    const done = isHeard
      ? this.giveAndAsk(given, engine, record, own.group)
      : this.giveDirectly(given, engine, REMOTE_REPORT_LAG);
    void done.finally(() => this.asked.delete(rank));
    return true;
  }

  private isHeard(now: Millis, rank: number): boolean {
    const at = this.heardAt.get(rank) ?? this.startedAt;
    return now - at <= DIRECT_AFTER;
  }

  private async list(own: RankReport): Promise<void> {
    this.isListing = true;
    const ranks = await this.ports.registry.ranks(own.group);
    this.isListing = false;
    if (ranks.isErr()) {
      const {message: reason} = ranks.error;
      this.logger.warn('ranks_unlisted', {group: own.group, reason});
      return;
    }
    this.records = ranks.value;
    for (const [rank, {sidecar}] of this.records) {
      if (rank !== own.rank) this.ports.links.dial(sidecar);
    }
  }

  private read(now: Millis, rank: number, isUnplaced: boolean): void {
    const record = this.records.get(rank);
    if (record === undefined) return;
    if (now - (this.readAt.get(rank) ?? -Infinity) < DIRECT_EVERY) return;
    this.readAt.set(rank, now);
    void this.readRank(rank, this.engineOf(record), isUnplaced);
  }

  private async readRank(
    rank: number,
    engine: RankClient,
    isUnplaced: boolean,
  ): Promise<void> {
    const read = await engine.report();
    const report = read.isOk() ? read.value : undefined;
    if (report === undefined || report.rank !== rank) return;
    this.events.report(report);
    if (!isUnplaced) return;
    const placed = await engine.placement();
    if (placed.isOk()) this.events.placement(rank, placed.value);
  }

  /** Gives an order and lets the sidecar beside the rank look what it did. */
  private async giveAndAsk(
    given: IssuedOrder,
    engine: RankClient,
    {sidecar}: RankRecord,
    group: string,
  ): Promise<void> {
    const {rank, order, token, epoch} = given;
    const outcome = await engine.give(order, token, epoch);
    const type = 'cutover_look';
    const look = {type, group, rank, token, epoch, order, outcome} as const;
    if (this.ports.links.sendTo(sidecar, look)) return;
    this.events.answered(given, 'unanswered', undefined);
  }

  private async giveDirectly(
    given: IssuedOrder,
    engine: RankClient,
    lag: Millis = 0,
  ): Promise<void> {
    const {order, token, epoch} = given;
    const outcome = await engine.give(order, token, epoch);
    if (lag > 0) await new Promise(resolve => setTimeout(resolve, lag));
    const read = await engine.report();
    this.events.answered(given, outcome, read.isOk() ? read.value : undefined);
  }

  private engineOf({engine}: RankRecord): RankClient {
    let client = this.engines.get(engine);
    if (client === undefined) {
      client = this.ports.engineAt(engine);
      this.engines.set(engine, client);
    }
    return client;
  }
}
