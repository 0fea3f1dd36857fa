import type {Millis} from '../core/index.js';

/** How much slower than usual an upstream may get before the limit falls. */
const TOLERANCE = 2;
const LEAST_GRADIENT = 0.5;
const SMOOTHING = 0.1;
const USUAL_SMOOTHING = 0.005;
const MIN_LIMIT = 2;

/**
 * How many calls run at an upstream at a time: falls while they take longer
 * than usual, and rises again up to the bound of the configuration.
 */
export class AdaptiveConcurrency {
  private limit: number;
  private usual: Millis | undefined;
  private recent: Millis = 0;

  /** @param bound - the most calls, at least 1 */
  constructor(private bound: number) {
    this.limit = bound;
  }

  /** Calls that may run at a time. */
  get current(): number {
    return Math.max(1, Math.floor(Math.min(this.limit, this.bound)));
  }

  /**
   * Takes another bound.
   * @param bound - the most calls, at least 1
   */
  configure(bound: number): void {
    if (bound > this.bound) this.limit += bound - this.bound;
    this.bound = bound;
    this.limit = Math.min(this.limit, bound);
  }

  /**
   * A call ended or gave its first token.
   * @param took - time for one unit of its work, ms
   * @param running - calls that ran at that time
   */
  sample(took: Millis, running: number): void {
    if (this.usual === undefined) {
      this.usual = took;
      this.recent = took;
    }
    this.recent += SMOOTHING * (took - this.recent);
    const drift = took < this.usual ? SMOOTHING : USUAL_SMOOTHING;
    this.usual += drift * (took - this.usual);
    if (running < this.current / 2) return;
    const ratio = (TOLERANCE * this.usual) / Math.max(this.recent, 0.001);
    const gradient = Math.min(1, Math.max(LEAST_GRADIENT, ratio));
    const wanted = this.limit * gradient + Math.sqrt(this.limit);
    this.limit += SMOOTHING * (wanted - this.limit);
    const least = Math.min(MIN_LIMIT, this.bound);
    this.limit = Math.min(this.bound, Math.max(least, this.limit));
  }
}
