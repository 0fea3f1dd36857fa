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

/** Interval at which unresponsive ranks are looked up in the registry. */
const LIST_INTERVAL: Millis = SECOND;
/**
 * Time without contact after which a rank's engine is used directly instead of
 * its sidecar; a new coordinator waits as long for the links to open.
 */
const SIDECAR_TIMEOUT: Millis = 1.1 * SECOND;
/** Interval of direct reads of a rank. */
const DIRECT_READ_INTERVAL: Millis = SECOND / 4;

/**
 * Delay between an order to a remote engine and the report that shows its
 * effect, as engines report their state to other VMs with a lag of some hundred
 * milliseconds.
 */
export const REMOTE_REPORT_LAG: Millis = 0.6 * SECOND;

/** Dependencies of a rank transport. */
export interface RankTransportPorts {
  /** Engine of the local rank. */
  readonly engine: RankClient;
  readonly registry: RankRegistry;
  readonly links: RankLinks;
  /** Addresses of this sidecar and its rank. */
  readonly self: RankRecord;
  /** Returns a client of another rank's engine, for unresponsive sidecars. */
  engineAt(address: string): RankClient;
}

/** Callbacks for results of direct requests to ranks. */
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
 * Transport between the coordinator and the ranks of its group. It uses links
 * to their sidecars, for which orders and reads are free, and falls back to
 * direct requests to the engine where a sidecar is unresponsive, so that the
 * loss of one does not stop the group's map switches.
 */
export class RankTransport {
  private records: ReadonlyMap<number, RankRecord> = new Map();
  private readonly lastContactAt = new Map<number, Millis>();
  private readonly lastReadAt = new Map<number, Millis>();
  private readonly engines = new Map<string, RankClient>();
  /** Ranks with an order sent directly whose outcome is pending. */
  private readonly pendingDirect = new Set<number>();
  private startedAt: Millis = -Infinity;
  private lastListedAt: Millis = -Infinity;
  private isListing = false;
  private unresponsiveRanks: readonly number[] = [];
  private readonly prepareEncoder = new PrepareEncoder();

  /**
   * @param ports - dependencies
   * @param events - callbacks for results of direct requests
   * @param logger - for sidecars that become unresponsive or recover
   */
  constructor(
    private readonly ports: RankTransportPorts,
    private readonly events: RankTransportEvents,
    private readonly logger: Logger,
  ) {}

  /**
   * Records contact with the sidecar of a rank.
   * @param now - current time
   * @param rank - the rank
   */
  recordContact(now: Millis, rank: number): void {
    this.lastContactAt.set(rank, now);
  }

  /**
   * Records a sidecar's answer to an order.
   * @param rank - the rank
   * @param order - the order, without the experts of a map
   * @param outcome - its outcome
   */
  recordAck(rank: number, order: CutoverOrder, outcome: OrderOutcome): void {
    this.prepareEncoder.recordAck(rank, order, outcome);
  }

  /**
   * Sets the default map of the group as the base of later prepare orders.
   * @param ranks - number of ranks in the group
   * @param map - that map
   */
  setInitialMap(ranks: number, map: NumberedMap): void {
    this.prepareEncoder.setInitialMap(ranks, map);
  }

  /** Ranks whose sidecars are unresponsive. */
  get unresponsive(): readonly number[] {
    return this.unresponsiveRanks;
  }

  /**
   * Starts the transport when this sidecar becomes the coordinator.
   * @param now - current time
   * @param own - report of the local rank
   */
  start(now: Millis, own: RankReport): void {
    this.startedAt = now;
    this.lastListedAt = now;
    void this.loadRecords(own);
  }

  /** Closes the links, for another coordinator to take over. */
  disconnect(): void {
    this.lastContactAt.clear();
    this.prepareEncoder.clear();
    this.lastListedAt = -Infinity;
    this.ports.links.disconnect();
  }

  /**
   * Looks up, dials and directly reads the unresponsive ranks.
   * @param now - current time
   * @param own - report of the local rank
   * @param lacksPlacement - returns whether a rank's placement is unknown
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
   * Sends an order.
   * @param now - current time
   * @param own - report of the local rank
   * @param issued - the order
   * @returns whether it was sent, or an earlier one is still pending
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
    // A store that has lost records may lack ranks that are known here.
    this.records = new Map([...this.records, ...ranks.value]);
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

  /** Sends an order directly and queries the rank's sidecar for its effect. */
  private async sendAndQuery(
    issued: IssuedOrder,
    engine: RankClient,
    {sidecar}: RankRecord,
    group: string,
  ): Promise<void> {
    const {rank, order, token, epoch} = issued;
    const outcome = await engine.sendOrder(order, token, epoch);
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
    const {outcome, report} = await engine.sendOrderAndReport(
      order,
      token,
      epoch,
      lag,
    );
    this.events.answered(issued, outcome, report);
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
