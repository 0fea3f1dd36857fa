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
import {PrepareEncoder} from './prepare_encoder.js';
import type {NumberedMap} from './prepare_encoder.js';
import type {RankLinks} from './rank_links.js';
import type {RankRecord, RankRegistry} from './rank_registry.js';

/** Missing ranks are looked up again after this time. */
const LIST_INTERVAL: Millis = SECOND;
/**
 * A rank whose sidecar is silent this long is spoken to directly; a new
 * coordinator waits as long for the links to open.
 */
const SIDECAR_TIMEOUT: Millis = 1.1 * SECOND;
/** How often a rank is read directly. */
const DIRECT_READ_INTERVAL: Millis = SECOND / 4;

/**
 * An engine tells other VMs its state as it was some hundred ms ago. A report
 * that is to show what an order did is read this long after it.
 */
export const REMOTE_REPORT_LAG: Millis = 0.6 * SECOND;

/** What the way to the ranks is made of. */
export interface RankTransportPorts {
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
export interface RankTransportEvents {
  report(report: RankReport): void;
  placement(rank: number, placed: RankPlacement): void;
  answered(
    issued: IssuedOrder,
    outcome: OrderOutcome,
    report: RankReport | undefined,
  ): void;
}

/**
 * The coordinator's way to the ranks: over the links to their sidecars, whose
 * orders and reads cost nothing, and directly where a sidecar is silent, so
 * that the loss of one does not stop the maps of its group.
 */
export class RankTransport {
  private records: ReadonlyMap<number, RankRecord> = new Map();
  private readonly lastContactAt = new Map<number, Millis>();
  private readonly lastReadAt = new Map<number, Millis>();
  private readonly engines = new Map<string, RankClient>();
  /** Ranks that were given an order directly and have not answered. */
  private readonly pendingDirect = new Set<number>();
  private startedAt: Millis = -Infinity;
  private lastListedAt: Millis = -Infinity;
  private isListing = false;
  private unresponsiveRanks: readonly number[] = [];
  private readonly prepareEncoder = new PrepareEncoder();

  /**
   * @param ports - what it speaks through
   * @param events - told of answers to what was asked directly
   * @param logger - for sidecars that fall silent or speak again
   */
  constructor(
    private readonly ports: RankTransportPorts,
    private readonly events: RankTransportEvents,
    private readonly logger: Logger,
  ) {}

  /**
   * The sidecar of a rank spoke.
   * @param now - present time
   * @param rank - the rank
   */
  recordContact(now: Millis, rank: number): void {
    this.lastContactAt.set(rank, now);
  }

  /**
   * The sidecar of a rank has answered an order.
   * @param rank - the rank
   * @param order - the order, without the experts of a map
   * @param outcome - what became of it
   */
  recordAck(rank: number, order: CutoverOrder, outcome: OrderOutcome): void {
    this.prepareEncoder.recordAck(rank, order, outcome);
  }

  /**
   * The group is on the map that it started with.
   * @param ranks - ranks of the group
   * @param map - that map
   */
  setInitialMap(ranks: number, map: NumberedMap): void {
    this.prepareEncoder.setInitialMap(ranks, map);
  }

  /** Ranks whose sidecars are silent. */
  get unresponsive(): readonly number[] {
    return this.unresponsiveRanks;
  }

  /**
   * The sidecar beside coordinates from now on.
   * @param now - present time
   * @param own - report of the rank beside
   */
  start(now: Millis, own: RankReport): void {
    this.startedAt = now;
    this.lastListedAt = now;
    void this.loadRecords(own);
  }

  /** Leaves the ranks to another coordinator. */
  disconnect(): void {
    this.lastContactAt.clear();
    this.prepareEncoder.clear();
    this.lastListedAt = -Infinity;
    this.ports.links.disconnect();
  }

  /**
   * Looks up, dials and reads the ranks that are silent.
   * @param now - present time
   * @param own - report of the rank beside
   * @param lacksPlacement - whether the experts of a rank are wanted too
   */
  refresh(
    now: Millis,
    own: RankReport,
    lacksPlacement: (rank: number) => boolean,
  ): void {
    const missing: number[] = [];
    const before = this.unresponsiveRanks.join(' ');
    this.unresponsiveRanks = missing;
    for (let rank = 0; rank < own.size; rank++) {
      if (rank !== own.rank && !this.isResponsive(now, rank))
        missing.push(rank);
    }
    const silent = missing.join(' ');
    if (silent !== before) {
      this.logger.info('ranks_unreachable', {group: own.group, before, silent});
    }
    if (missing.length === 0) return;
    if (now - this.lastListedAt >= LIST_INTERVAL && !this.isListing) {
      this.lastListedAt = now;
      void this.loadRecords(own);
    }
    for (const rank of missing) this.read(now, rank, lacksPlacement(rank));
  }

  /**
   * Gives an order.
   * @param now - present time
   * @param own - report of the rank beside
   * @param issued - the order
   * @returns whether it is on its way, or an earlier one still is
   */
  send(now: Millis, own: RankReport, issued: IssuedOrder): boolean {
    const {rank, order, token, epoch, channel} = issued;
    if (rank === own.rank) {
      void this.sendDirectly(issued, this.ports.engine);
      return true;
    }
    const record = this.records.get(rank);
    if (record === undefined) return false;
    const isResponsive = this.isResponsive(now, rank);
    if (isResponsive && channel === 'beside') {
      const {links} = this.ports;
      const message: CutoverMessage = {
        type: 'cutover_order',
        ...{group: own.group, rank, token, epoch},
        ...this.prepareEncoder.encode(rank, order),
      };
      if (links.sendTo(record.sidecar, message)) return true;
      if (now - this.startedAt <= SIDECAR_TIMEOUT) return false;
    }
    if (this.pendingDirect.has(rank)) return true;
    this.pendingDirect.add(rank);
    const engine = this.engineOf(record);
    const done = isResponsive
      ? this.sendAndQuery(issued, engine, record, own.group)
      : this.sendDirectly(issued, engine, REMOTE_REPORT_LAG);
    void done.finally(() => this.pendingDirect.delete(rank));
    return true;
  }

  private isResponsive(now: Millis, rank: number): boolean {
    const at = this.lastContactAt.get(rank) ?? this.startedAt;
    return now - at <= SIDECAR_TIMEOUT;
  }

  private async loadRecords(own: RankReport): Promise<void> {
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
    if (now - (this.lastReadAt.get(rank) ?? -Infinity) < DIRECT_READ_INTERVAL)
      return;
    this.lastReadAt.set(rank, now);
    void this.readRank(rank, this.engineOf(record), isUnplaced);
  }

  private async readRank(
    rank: number,
    engine: RankClient,
    withPlacement: boolean,
  ): Promise<void> {
    const read = await engine.report();
    const report = read.isOk() ? read.value : undefined;
    if (report === undefined || report.rank !== rank) return;
    this.events.report(report);
    if (!withPlacement) return;
    const placed = await engine.placement();
    if (placed.isOk()) this.events.placement(rank, placed.value);
  }

  /** Gives an order and lets the sidecar beside the rank look what it did. */
  private async sendAndQuery(
    issued: IssuedOrder,
    engine: RankClient,
    {sidecar}: RankRecord,
    group: string,
  ): Promise<void> {
    const {rank, order, token, epoch} = issued;
    const outcome = await engine.give(order, token, epoch);
    const type = 'cutover_look';
    const look = {type, group, rank, token, epoch, order, outcome} as const;
    if (this.ports.links.sendTo(sidecar, look)) return;
    this.events.answered(issued, 'unanswered', undefined);
  }

  private async sendDirectly(
    issued: IssuedOrder,
    engine: RankClient,
    lag: Millis = 0,
  ): Promise<void> {
    const {order, token, epoch} = issued;
    const outcome = await engine.give(order, token, epoch);
    if (lag > 0) await new Promise(resolve => setTimeout(resolve, lag));
    const read = await engine.report();
    this.events.answered(issued, outcome, read.isOk() ? read.value : undefined);
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
