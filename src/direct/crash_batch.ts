import type {Incarnation, Millis} from '../core/index.js';
import type {CrashReport} from './crash_report.js';

/** Time within which runs broke off together. */
const BREAK_WINDOW: Millis = 50;
/**
 * Upstreams that prompts may crash at the same moment: the ranks of a group begin
 * their answers in the same pass.
 */
const MAX_CRASHED_UPSTREAMS = 3;

interface BrokenRun {
  readonly upstream: Incarnation;
  readonly at: Millis;
}

/**
 * Collects the crash reports of a moment, and discards them if runs at many
 * upstreams broke off together: a prompt crashes few upstreams, while a zone that
 * is cut off or a reset of connections breaks runs at many.
 */
export class CrashBatch {
  private reports: CrashReport[] = [];
  private brokenRuns: BrokenRun[] = [];

  /**
   * Records a run that broke off after it had begun, without a stall.
   * @param now - current time
   * @param upstream - upstream of the run
   */
  recordBroken(now: Millis, upstream: Incarnation): void {
    this.brokenRuns = this.brokenRuns.filter(
      ({at}) => now - at <= BREAK_WINDOW,
    );
    this.brokenRuns.push({upstream, at: now});
  }

  /**
   * Adds a report.
   * @param report - the report
   * @returns whether it is the first one of the batch
   */
  add(report: CrashReport): boolean {
    this.reports.push(report);
    return this.reports.length === 1;
  }

  /** Takes the collected reports; `isDiscarded` if they do not count. */
  take(): {reports: readonly CrashReport[]; isDiscarded: boolean} {
    const {reports, brokenRuns} = this;
    this.reports = [];
    const upstreams = new Set(brokenRuns.map(({upstream}) => upstream));
    return {reports, isDiscarded: upstreams.size > MAX_CRASHED_UPSTREAMS};
  }
}
