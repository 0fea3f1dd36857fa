import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {SAMPLE_INTERVAL, scaleCounts} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  RankReport,
  IssuedOrder,
} from '../../expert_groups/index.js';
import {SLOW_FROM} from './map_planner.js';
import type {Logger} from '../../observability/index.js';
import type {RankRecord, RankRegistry} from './rank_registry.js';
import type {RankLook, RankWatch} from './rank_watch.js';

/** How often a sidecar reads the report of its rank in quiet times. */
const REPORT_EVERY: Millis = 0.5 * SECOND;
/** A change of pace by this factor is written to the store. */
const PACE_STEP = 1.3;
/** The end of a load is looked for from this part of its usual time on. */
const LOOK_FROM = 0.8;
/** The end of a load is looked for this long at most. */
const LOADING_WITHIN: Millis = 6 * SECOND;

/** What a rank says of itself to the coordinator. */
export type RankMessage = Extract<CutoverMessage, {type: 'cutover_report'}>;

/** What the rank beside a sidecar is read through. */
export interface OwnRankPorts {
  readonly watch: RankWatch;
  readonly registry: RankRegistry;
  /** Where this sidecar and its rank are reached. */
  readonly self: RankRecord;
}

/** What the owner hears. */
export interface OwnRankEvents {
  /** There is something to tell the coordinator. */
  looked(message: RankMessage): void;
}

interface Loading {
  readonly map: number;
  readonly epoch: number;
  /** Before that the weights cannot all be there. */
  readonly from: Millis;
  readonly until: Millis;
}

/** Looks at the rank beside a sidecar, and writes down where it is. */
export class OwnRank {
  private report: RankReport | undefined;
  /** A map whose weights the rank loads; its end is looked for. */
  private loading: Loading | undefined;
  private lookedAt: Millis = -Infinity;
  private reportedAt: Millis = -Infinity;
  private isLooking = false;
  private isSampled = false;
  /** Whether the coordinator lacks the experts of this rank. */
  private isPlacementWanted = false;
  /** The state that the coordinator was told of, and when. */
  private told: {readonly state: string; readonly at: Millis} | undefined;
  private registered:
    {readonly name: string; readonly pace: number} | undefined;

  /**
   * @param ports - what the rank is read through
   * @param clock - tells the time
   * @param events - told of what is read
   * @param logger - for what the store does not take
   */
  constructor(
    private readonly ports: OwnRankPorts,
    private readonly clock: Clock,
    private readonly events: OwnRankEvents,
    private readonly logger: Logger,
  ) {}

  /** The newest report; nothing before the first. */
  get own(): RankReport | undefined {
    return this.report;
  }

  /**
   * Looks at the rank when it is time to.
   * @param now - present time
   */
  tick(now: Millis): void {
    const isReportDue =
      this.isChanging(now) || now - this.reportedAt >= REPORT_EVERY;
    const isSampleDue =
      this.isSampled && now - this.lookedAt >= SAMPLE_INTERVAL;
    if (isReportDue || isSampleDue) this.lookNow(now, isReportDue);
  }

  /**
   * Whether the coordinator wants the choices of this rank.
   * @param isSampled - whether it does
   */
  sample(isSampled: boolean): void {
    this.isSampled = isSampled;
  }

  /**
   * Looks at the rank, unless a look is under way.
   * @param now - present time
   * @param isFull - whether to read its report too, not its choices alone
   */
  lookNow(now: Millis, isFull = true): void {
    if (this.isLooking) return;
    this.lookedAt = now;
    if (isFull) this.reportedAt = now;
    void this.look(isFull);
  }

  /**
   * The rank was ordered to load weights. Load that it answers: all ranks of
   * large groups change maps each second, and each look costs processor time.
   * @param now - present time
   * @param given - the order
   * @param takes - time that the rank needs for it at least
   */
  expectLoading(
    now: Millis,
    {order, epoch}: Pick<IssuedOrder, 'order' | 'epoch'>,
    takes: Millis = 0,
  ): void {
    if (order.kind !== 'prepare') return;
    const {map} = order;
    // The same order again does not start the load anew.
    if (this.loading?.map === map && this.loading.epoch === epoch) return;
    const from = now + LOOK_FROM * takes;
    this.loading = {map, epoch, from, until: from + LOADING_WITHIN};
  }

  /** The coordinator has got the experts of the rank. */
  placementTaken(): void {
    this.isPlacementWanted = false;
  }

  /** The coordinator lacks the experts of the rank. */
  placeAgain(): void {
    this.isPlacementWanted = true;
    this.told = undefined;
  }

  /**
   * Reads the rank's report now.
   * @returns nothing when it does not answer
   */
  async readReport(): Promise<RankReport | null> {
    const report = await this.ports.watch.report();
    if (report === undefined) return null;
    this.reported(this.clock.now(), report);
    return report;
  }

  /** Whether the rank is in the middle of a change, which may end any time. */
  private isChanging(now: Millis): boolean {
    const {loading, report} = this;
    if (loading !== undefined && now >= loading.from) return true;
    return (
      (report?.armed ?? null) !== null || (report?.heldAt ?? null) !== null
    );
  }

  private async look(isFull: boolean): Promise<void> {
    this.isLooking = true;
    const look = await this.ports.watch.look(isFull, this.isSampled);
    this.isLooking = false;
    if (look !== undefined) await this.tell(look);
  }

  private async tell({report, chosen}: RankLook): Promise<void> {
    if (report !== undefined) this.reported(this.clock.now(), report);
    const {report: own} = this;
    if (own === undefined) return;
    const {group, rank} = own;
    const placed = this.isPlacementWanted
      ? await this.ports.watch.placement()
      : null;
    if (!this.isNews(own) && chosen.length === 0 && placed === null) return;
    this.events.looked({
      type: 'cutover_report',
      group,
      rank,
      report: report ?? null,
      ...scaleCounts(chosen),
      placed,
    });
  }

  /**
   * Whether the coordinator does not know a state yet, or was not told for a
   * while. Load that it answers: all ranks of a large group are looked at many
   * times while a change is under way, and one process hears them all.
   */
  private isNews({map, prepared, armed, heldAt, epoch}: RankReport): boolean {
    const now = this.clock.now();
    const state = [map, prepared, armed, heldAt, epoch].join(' ');
    const {told} = this;
    const isDue = told === undefined || now - told.at >= REPORT_EVERY;
    if (!isDue && told.state === state) return false;
    this.told = {state, at: now};
    return true;
  }

  /**
   * Takes a report of the rank, whoever has read it. One that shows the rank
   * armed makes it be looked at until it has changed.
   * @param now - present time
   * @param report - the report
   */
  reported(now: Millis, report: RankReport): void {
    this.report = report;
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

  /** Writes where this rank is and how it does, whenever that is news. */
  private register({group, rank, pace}: RankReport): void {
    const name = `${group}/${rank}`;
    const {registered} = this;
    const noted = pace < SLOW_FROM ? 1 : pace;
    const change = noted / (registered?.pace ?? noted);
    const isSteady = change < PACE_STEP && change > 1 / PACE_STEP;
    if (registered?.name === name && isSteady) return;
    this.registered = {name, pace: noted};
    void this.ports.registry
      .register(group, rank, {...this.ports.self, pace: noted})
      .then(done => {
        if (done.isOk()) return;
        // Tried again with the next report.
        this.registered = undefined;
        const {message: reason} = done.error;
        this.logger.warn('rank_registration_failed', {group, rank, reason});
      });
  }
}
