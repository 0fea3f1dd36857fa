import type {Millis} from '../../core/index.js';
import type {Rank, Step} from '../types.js';
import type {RankReport} from './types.js';

/** Passes over which their time is taken. */
const PASS_TIME_WINDOW = 4;

interface ReceivedReport {
  readonly report: RankReport;
  readonly receivedAt: Millis;
}

/** Newest report of each rank of a group. */
export class RankReports {
  private readonly latest = new Map<Rank, ReceivedReport>();
  private windowStart: {readonly step: Step; readonly at: Millis} | undefined;
  private lastPassTime: Millis | undefined;

  /** @param size - ranks of the group */
  constructor(private readonly size: number) {}

  /**
   * Takes a report, unless it is older than the one known.
   * @param now - present time
   * @param report - the report
   * @returns whether the rank has been reborn, or its group formed anew
   */
  update(now: Millis, report: RankReport): boolean {
    const before = this.latest.get(report.rank)?.report;
    if (before !== undefined && isOlder(report, before)) return false;
    if (before?.epoch !== report.epoch) this.windowStart = undefined;
    this.latest.set(report.rank, {report, receivedAt: now});
    this.updatePassTime(now, report.step);
    return (
      before !== undefined &&
      (before.bornAt !== report.bornAt || before.epoch !== report.epoch)
    );
  }

  /**
   * The report of a rank.
   * @param rank - the rank
   */
  get(rank: Rank): RankReport | undefined {
    return this.latest.get(rank)?.report;
  }

  /** Reports of all ranks that were heard. */
  all(): RankReport[] {
    return [...this.latest.values()].map(({report}) => report);
  }

  /** Numbers of all ranks, heard or not. */
  ranks(): Rank[] {
    return Array.from({length: this.size}, (_, rank) => rank);
  }

  /** Latest pass that any rank was seen to begin. */
  lastStep(): Step {
    return Math.max(0, ...this.all().map(r => r.step));
  }

  /** How long a pass takes lately; nothing before some were seen. */
  get passTime(): Millis | undefined {
    return this.lastPassTime;
  }

  private updatePassTime(now: Millis, step: Step): void {
    const {windowStart} = this;
    if (windowStart === undefined) this.windowStart = {step, at: now};
    else if (step - windowStart.step >= PASS_TIME_WINDOW) {
      this.lastPassTime = (now - windowStart.at) / (step - windowStart.step);
      this.windowStart = {step, at: now};
    }
  }

  /** Whether no rank is armed or held. */
  isClean(): boolean {
    return this.all().every(r => r.armed === null && r.heldAt === null);
  }

  /**
   * Whether every rank was heard lately, in one open group on one map.
   * @param now - present time
   * @param maxAge - how lately
   */
  isConverged(now: Millis, maxAge: Millis): boolean {
    const isFresh = this.ranks().every(rank => {
      const received = this.latest.get(rank);
      return received !== undefined && now - received.receivedAt <= maxAge;
    });
    const [first, ...others] = this.all();
    return (
      isFresh &&
      first !== undefined &&
      first.isOpen &&
      others.every(
        r => r.epoch === first.epoch && r.map === first.map && r.isOpen,
      )
    );
  }
}

/** Whether a report was read before another one of the same rank. */
function isOlder(report: RankReport, other: RankReport): boolean {
  if (report.bornAt !== other.bornAt) return report.bornAt < other.bornAt;
  if (report.epoch !== other.epoch) return report.epoch < other.epoch;
  return report.step < other.step;
}

/**
 * The ranks that reports come from.
 * @param reports - the reports
 */
export const ranksOf = (reports: readonly RankReport[]): Rank[] =>
  reports.map(({rank}) => rank);
