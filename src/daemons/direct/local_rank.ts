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

/** How often a sidecar reads the report of its rank in quiet times. */
const REPORT_INTERVAL: Millis = 0.5 * SECOND;
/** A change of pace by this factor is written to the store. */
const SLOWDOWN_STEP = 1.3;
/** The end of a load is looked for from this part of its usual time on. */
const LOAD_POLL_START = 0.8;
/** The end of a load is looked for this long at most. */
const LOAD_POLL_TIMEOUT: Millis = 6 * SECOND;

/** What a rank says of itself to the coordinator. */
export type RankMessage = Extract<CutoverMessage, {type: 'cutover_report'}>;

/** What the rank beside a sidecar is read through. */
export interface LocalRankPorts {
  readonly reader: RankReader;
  readonly registry: RankRegistry;
  /** Where this sidecar and its rank are reached. */
  readonly self: RankRecord;
}

/** What the owner hears. */
export interface LocalRankEvents {
  /** There is something to tell the coordinator. */
  updated(message: RankMessage): void;
}

interface PendingLoad {
  readonly map: number;
  readonly epoch: number;
  /** Before that the weights cannot all be there. */
  readonly pollFrom: Millis;
  readonly pollUntil: Millis;
}

/** Looks at the rank beside a sidecar, and writes down where it is. */
export class LocalRank {
  private report: RankReport | undefined;
  /** A map whose weights the rank loads; its end is looked for. */
  private pendingLoad: PendingLoad | undefined;
  private lastPollAt: Millis = -Infinity;
  private lastReportAt: Millis = -Infinity;
  private isPolling = false;
  private isSampling = false;
  /** Whether the coordinator lacks the experts of this rank. */
  private isPlacementRequested = false;
  /** The state that the coordinator was told of, and when. */
  private lastSent: {readonly state: string; readonly at: Millis} | undefined;
  private registration:
    {readonly name: string; readonly slowdown: number} | undefined;

  /**
   * @param ports - what the rank is read through
   * @param clock - tells the time
   * @param events - told of what is read
   * @param logger - for what the store does not take
   */
  constructor(
    private readonly ports: LocalRankPorts,
    private readonly clock: Clock,
    private readonly events: LocalRankEvents,
    private readonly logger: Logger,
  ) {}

  /** The newest report; nothing before the first. */
  get lastReport(): RankReport | undefined {
    return this.report;
  }

  /**
   * Looks at the rank when it is time to.
   * @param now - present time
   */
  tick(now: Millis): void {
    const isReportDue =
      this.isSwitching(now) || now - this.lastReportAt >= REPORT_INTERVAL;
    const isSampleDue =
      this.isSampling && now - this.lastPollAt >= SAMPLE_INTERVAL;
    if (isReportDue || isSampleDue) this.pollNow(now, isReportDue);
  }

  /**
   * Whether the coordinator wants the choices of this rank.
   * @param isSampling - whether it does
   */
  setSampling(isSampling: boolean): void {
    this.isSampling = isSampling;
  }

  /**
   * Looks at the rank, unless a look is under way.
   * @param now - present time
   * @param withReport - whether to read its report too, not its choices alone
   */
  pollNow(now: Millis, withReport = true): void {
    if (this.isPolling) return;
    this.lastPollAt = now;
    if (withReport) this.lastReportAt = now;
    void this.poll(withReport);
  }

  /**
   * The rank was ordered to load weights. Load that it answers: all ranks of
   * large groups change maps each second, and each look costs processor time.
   * @param now - present time
   * @param issued - the order
   * @param minDuration - time that the rank needs for it at least
   */
  expectLoad(
    now: Millis,
    {order, epoch}: Pick<IssuedOrder, 'order' | 'epoch'>,
    minDuration: Millis = 0,
  ): void {
    if (order.kind !== 'prepare') return;
    const {map} = order;
    // The same order again does not start the load anew.
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

  /** The coordinator has got the experts of the rank. */
  recordPlacementSent(): void {
    this.isPlacementRequested = false;
  }

  /** The coordinator lacks the experts of the rank. */
  requestPlacement(): void {
    this.isPlacementRequested = true;
    this.lastSent = undefined;
  }

  /**
   * Reads the rank's report now.
   * @returns nothing when it does not answer
   */
  async readReport(): Promise<RankReport | null> {
    const report = await this.ports.reader.report();
    if (report === undefined) return null;
    this.recordReport(this.clock.now(), report);
    return report;
  }

  /** Whether the rank is in the middle of a change, which may end any time. */
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
   * Whether the coordinator does not know a state yet, or was not told for a
   * while. Load that it answers: all ranks of a large group are looked at many
   * times while a change is under way, and one process hears them all.
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
   * Takes a report of the rank, whoever has read it. One that shows the rank
   * armed makes it be looked at until it has changed.
   * @param now - present time
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

  /** Writes where this rank is and how it does, whenever that is news. */
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
        // Tried again with the next report.
        this.registration = undefined;
        const {message: reason} = done.error;
        this.logger.warn('rank_registration_failed', {group, rank, reason});
      });
  }
}
