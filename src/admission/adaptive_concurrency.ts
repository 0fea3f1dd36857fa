import type {Millis} from '../core/index.js';

/** Slowdown relative to the baseline at which the limit starts to fall. */
const SLOWDOWN_TOLERANCE = 2;
const MIN_GRADIENT = 0.5;
const SMOOTHING = 0.1;
const BASELINE_SMOOTHING = 0.005;
const MIN_LIMIT = 2;

/**
 * Gradient concurrency limiter of one upstream. Lowers the limit while calls
 * take longer than the baseline, and raises it again up to the configured one.
 */
export class AdaptiveConcurrency {
  private limit: number;
  private baseline: Millis | undefined;
  private recent: Millis = 0;

  /** @param maxLimit - configured limit, at least 1 */
  constructor(private maxLimit: number) {
    this.limit = maxLimit;
  }

  /** Number of calls that may run at a time. */
  get current(): number {
    return Math.max(1, Math.floor(Math.min(this.limit, this.maxLimit)));
  }

  /**
   * Applies another configured limit.
   * @param maxLimit - configured limit, at least 1
   */
  configure(maxLimit: number): void {
    if (maxLimit > this.maxLimit) this.limit += maxLimit - this.maxLimit;
    this.maxLimit = maxLimit;
    this.limit = Math.min(this.limit, maxLimit);
  }

  /**
   * Adjusts the limit to a call's time per unit of work.
   * @param duration - time for one unit of its work, ms
   * @param running - calls that ran at that time
   */
  addSample(duration: Millis, running: number): void {
    if (this.baseline === undefined) {
      this.baseline = duration;
      this.recent = duration;
    }
    this.recent += SMOOTHING * (duration - this.recent);
    const smoothing = duration < this.baseline ? SMOOTHING : BASELINE_SMOOTHING;
    this.baseline += smoothing * (duration - this.baseline);
    if (running < this.current / 2) return;
    const ratio =
      (SLOWDOWN_TOLERANCE * this.baseline) / Math.max(this.recent, 0.001);
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    const target = this.limit * gradient + Math.sqrt(this.limit);
    this.limit += SMOOTHING * (target - this.limit);
    const minLimit = Math.min(MIN_LIMIT, this.maxLimit);
    this.limit = Math.min(this.maxLimit, Math.max(minLimit, this.limit));
  }
}
