import type {Millis} from '../../core/index.js';
import type {Rank, Step} from '../types.js';
import type {RankReport} from './types.js';

/** Number of passes over which the pass time is measured. */
const PASS_TIME_WINDOW = 4;

interface ReceivedReport {
  readonly report: RankReport;
  readonly receivedAt: Millis;
}

/** Table of the latest report of each rank in a group. */
export class RankReports {
  private readonly latest = new Map<Rank, ReceivedReport>();
  private windowStart: {readonly step: Step; readonly at: Millis} | undefined;
  private lastPassTime: Millis | undefined;
  /** The latest pass that was held in the current epoch. */
  private lastHeld: Step = 0;

  /** @param size - number of ranks in the group */
  constructor(private readonly size: number) {}

  /**
   * Stores a report unless it is older than the stored one.
   * @param now - current time
   * @param report - the report
   * @returns whether the rank or its group has restarted
   */
  update(now: Millis, report: RankReport): boolean {
    const before = this.latest.get(report.rank)?.report;
    if (before !== undefined && isOlderReport(report, before)) return false;
    if (before?.epoch !== report.epoch) {
      this.windowStart = undefined;
      this.lastHeld = 0;
    }
    this.lastHeld = Math.max(this.lastHeld, report.heldAt ?? 0);
    this.latest.set(report.rank, {report, receivedAt: now});
    this.updatePassTime(now, report.step);
    return (
      before !== undefined &&
      (before.bornAt !== report.bornAt || before.epoch !== report.epoch)
    );
  }

  /**
   * Returns the latest report of a rank.
   * @param rank - the rank
   */
  get(rank: Rank): RankReport | undefined {
    return this.latest.get(rank)?.report;
  }

  /** Returns the latest report of each rank that has reported. */
  all(): RankReport[] {
    return [...this.latest.values()].map(({report}) => report);
  }

  /** Returns the numbers of all ranks, whether they have reported or not. */
  ranks(): Rank[] {
    return Array.from({length: this.size}, (_, rank) => rank);
  }

  /** Returns the latest pass that any rank has reported. */
  lastStep(): Step {
    return Math.max(0, ...this.all().map(r => r.step));
  }

  /** Returns the latest pass that any rank has reported to be held. */
  lastHeldStep(): Step {
    return this.lastHeld;
  }

  /** Recent duration of a pass; undefined before enough were measured. */
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

  /** Returns whether no rank is armed or held. */
  isClean(): boolean {
    return this.all().every(r => r.armed === null && r.heldAt === null);
  }

  /**
   * Returns whether all ranks reported recently, in one open group on one map.
   * @param now - current time
   * @param maxAge - maximum age of a report
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

/**
 * Returns whether a report precedes another one of the same rank.
 * @param report - the report
 * @param other - the other one
 */
export function isOlderReport(report: RankReport, other: RankReport): boolean {
  if (report.bornAt !== other.bornAt) return report.bornAt < other.bornAt;
  if (report.epoch !== other.epoch) return report.epoch < other.epoch;
  return report.step < other.step;
}

/**
 * Returns the ranks that sent the reports.
 * @param reports - the reports
 */
export const ranksOf = (reports: readonly RankReport[]): Rank[] =>
  reports.map(({rank}) => rank);
