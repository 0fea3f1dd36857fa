import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {SAMPLE_INTERVAL, scaleCounts} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  RankReport,
  IssuedOrder,
} from '../../expert_groups/index.js';
import {SLOW_THRESHOLD} from './map_planner.js';
import type {Logger} from '../../observability/index.js';
import type {RankRecord, RankRegistry} from './rank_registry.js';
import type {RankReading, RankReader} from './rank_reader.js';

/** Interval of reports from a rank outside map switches. */
const REPORT_INTERVAL: Millis = 0.5 * SECOND;
/** Change of the slowdown factor, as a ratio, that is written to the store. */
const SLOWDOWN_STEP = 1.3;
/** Fraction of the expected load time after which the rank is polled. */
const LOAD_POLL_START = 0.8;
/** Maximum time for which a loading rank is polled. */
const LOAD_POLL_TIMEOUT: Millis = 6 * SECOND;

/** Report about a rank to its coordinator. */
export type RankMessage = Extract<CutoverMessage, {type: 'cutover_report'}>;

/** Dependencies of a local rank. */
export interface LocalRankPorts {
  readonly reader: RankReader;
  readonly registry: RankRegistry;
  /** Addresses of this sidecar and its rank. */
  readonly self: RankRecord;
}

/** Callbacks of a local rank. */
export interface LocalRankEvents {
  /** Called with an update for the coordinator. */
  updated(message: RankMessage): void;
}

interface PendingLoad {
  readonly map: number;
  readonly epoch: number;
  /** Earliest time at which all weights can be loaded. */
  readonly pollFrom: Millis;
  readonly pollUntil: Millis;
}

/** Polls the local rank of a sidecar, and registers it in the store. */
export class LocalRank {
  private report: RankReport | undefined;
  /** The map whose weights the rank is loading. */
  private pendingLoad: PendingLoad | undefined;
  private lastPollAt: Millis = -Infinity;
  private lastReportAt: Millis = -Infinity;
  private isPolling = false;
  private isSampling = false;
  /** Whether the coordinator needs the placement of this rank. */
  private isPlacementRequested = false;
  /** State that was last sent to the coordinator, and its time. */
  private lastSent: {readonly state: string; readonly at: Millis} | undefined;
  private registration:
    {readonly name: string; readonly slowdown: number} | undefined;

  /**
   * @param ports - dependencies
   * @param clock - source of the current time
   * @param events - callbacks for updates
   * @param logger - for failed registrations
   */
  constructor(
    private readonly ports: LocalRankPorts,
    private readonly clock: Clock,
    private readonly events: LocalRankEvents,
    private readonly logger: Logger,
  ) {}

  /** The newest report; undefined before the first. */
  get lastReport(): RankReport | undefined {
    return this.report;
  }

  /**
   * Polls the rank when a poll is due.
   * @param now - current time
   */
  tick(now: Millis): void {
    const isReportDue =
      this.isSwitching(now) || now - this.lastReportAt >= REPORT_INTERVAL;
    const isSampleDue =
      this.isSampling && now - this.lastPollAt >= SAMPLE_INTERVAL;
    if (isReportDue || isSampleDue) this.pollNow(now, isReportDue);
  }

  /**
   * Sets whether the expert selections of this rank are sampled.
   * @param isSampling - whether the coordinator wants them
   */
  setSampling(isSampling: boolean): void {
    this.isSampling = isSampling;
  }

  /**
   * Polls the rank, unless a poll is in progress.
   * @param now - current time
   * @param withReport - whether to read its report besides its selections
   */
  pollNow(now: Millis, withReport = true): void {
    if (this.isPolling) return;
    this.lastPollAt = now;
    if (withReport) this.lastReportAt = now;
    void this.poll(withReport);
  }

  /**
   * Starts to poll for the end of a load that was ordered. Polling waits for
   * the expected load time, as all ranks of large groups may switch maps each
   * second, and each poll costs CPU time.
   * @param now - current time
   * @param issued - the order
   * @param minDuration - minimum load time
   */
  expectLoad(
    now: Millis,
    {order, epoch}: Pick<IssuedOrder, 'order' | 'epoch'>,
    minDuration: Millis = 0,
  ): void {
    if (order.kind !== 'prepare') return;
    const {map} = order;
    // A duplicate order does not restart the load.
    if (this.pendingLoad?.map === map && this.pendingLoad.epoch === epoch)
      return;
    const pollFrom = now + LOAD_POLL_START * minDuration;
    this.pendingLoad = {
      map,
      epoch,
      pollFrom,
      pollUntil: pollFrom + LOAD_POLL_TIMEOUT,
    };
  }

  /** Records that the rank's placement was sent to the coordinator. */
  recordPlacementSent(): void {
    this.isPlacementRequested = false;
  }

  /** Adds the rank's placement to updates until one has been sent. */
  requestPlacement(): void {
    this.isPlacementRequested = true;
    this.lastSent = undefined;
  }

  /**
   * Reads the rank's report now.
   * @returns null if the rank did not answer
   */
  async readReport(): Promise<RankReport | null> {
    const report = await this.ports.reader.report();
    if (report === undefined) return null;
    this.recordReport(this.clock.now(), report);
    return report;
  }

  /**
   * Records a report that was read after an order.
   * @param report - the report
   */
  recordOrderReport(report: RankReport): void {
    this.recordReport(this.clock.now(), report);
  }

  /** Registers the rank again with its next report: the store lost records. */
  forgetRegistration(): void {
    this.registration = undefined;
  }

  /** Returns whether the rank is in a map switch, which may end at any time. */
  private isSwitching(now: Millis): boolean {
    const {pendingLoad, report} = this;
    if (pendingLoad !== undefined && now >= pendingLoad.pollFrom) return true;
    return (
      (report?.armed ?? null) !== null || (report?.heldAt ?? null) !== null
    );
  }

  private async poll(withReport: boolean): Promise<void> {
    this.isPolling = true;
    const reading = await this.ports.reader.read(withReport, this.isSampling);
    this.isPolling = false;
    if (reading !== undefined) await this.publish(reading);
  }

  private async publish({report, selections}: RankReading): Promise<void> {
    if (report !== undefined) this.recordReport(this.clock.now(), report);
    const {report: own} = this;
    if (own === undefined) return;
    const {group, rank} = own;
    const placed = this.isPlacementRequested
      ? await this.ports.reader.placement()
      : null;
    if (!this.isUpdateDue(own) && selections.length === 0 && placed === null)
      return;
    this.events.updated({
      type: 'cutover_report',
      group,
      rank,
      report: report ?? null,
      ...scaleCounts(selections),
      placed,
    });
  }

  /**
   * Returns whether a state is new to the coordinator or due again, and records
   * it as sent. This limits the load of the coordinator, one process, while all
   * ranks of a large group are polled often during a map switch.
   */
  private isUpdateDue({
    map,
    prepared,
    armed,
    heldAt,
    epoch,
  }: RankReport): boolean {
    const now = this.clock.now();
    const state = [map, prepared, armed, heldAt, epoch].join(' ');
    const {lastSent} = this;
    const isDue =
      lastSent === undefined || now - lastSent.at >= REPORT_INTERVAL;
    if (!isDue && lastSent.state === state) return false;
    this.lastSent = {state, at: now};
    return true;
  }

  /**
   * Records a report of the rank from any source. A report of an armed rank
   * makes the rank be polled until it has switched.
   * @param now - current time
   * @param report - the report
   */
  recordReport(now: Millis, report: RankReport): void {
    this.report = report;
    this.register(report);
    if (this.pendingLoad === undefined) return;
    const {prepared, map, epoch} = report;
    const isOver =
      prepared === this.pendingLoad.map ||
      map === this.pendingLoad.map ||
      epoch !== this.pendingLoad.epoch ||
      now >= this.pendingLoad.pollUntil;
    if (isOver) this.pendingLoad = undefined;
  }

  /** Writes the addresses and slowdown factor to the store on a change. */
  private register({group, rank, pace}: RankReport): void {
    const name = `${group}/${rank}`;
    const {registration} = this;
    const slowdown = pace < SLOW_THRESHOLD ? 1 : pace;
    const change = slowdown / (registration?.slowdown ?? slowdown);
    const isSteady = change < SLOWDOWN_STEP && change > 1 / SLOWDOWN_STEP;
    if (registration?.name === name && isSteady) return;
    this.registration = {name, slowdown};
    void this.ports.registry
      .register(group, rank, {...this.ports.self, pace: slowdown})
      .then(done => {
        if (done.isOk()) return;
        // The next report retries it.
        this.registration = undefined;
        const {message: reason} = done.error;
        this.logger.warn('rank_registration_failed', {group, rank, reason});
      });
  }
}
