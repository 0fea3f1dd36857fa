import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Length of the spans in which requests are counted. */
const SPAN: Millis = SECOND / 4;

/** Counts requests in short spans, for the windows that consist of them. */
export class RequestSpans {
  private readonly counts = new Map<number, number>();

  /**
   * Records a request.
   * @param at - time of the request
   * @param window - length of the windows that are asked for
   */
  record(at: Millis, window: Millis): void {
    const span = Math.floor(at / SPAN);
    const count = this.counts.get(span);
    this.counts.set(span, (count ?? 0) + 1);
    if (count !== undefined) return;
    const oldest = span - Math.ceil((2 * window) / SPAN);
    for (const old of this.counts.keys()) {
      if (old < oldest) this.counts.delete(old);
    }
  }

  /**
   * Returns the smallest number of requests in any window that ends within the
   * last one, or a little less: spans that a window cuts do not count.
   * @param now - current time
   * @param window - length of the windows
   */
  leastIn(now: Millis, window: Millis): number {
    const whole = Math.floor(window / SPAN) - 1;
    const latest = Math.floor(now / SPAN);
    const first = Math.floor((now - window) / SPAN);
    let count = 0;
    for (let span = first - whole; span < first; span++)
      count += this.counts.get(span) ?? 0;
    let least = count;
    for (let span = first; span < latest; span++) {
      count += this.counts.get(span) ?? 0;
      count -= this.counts.get(span - whole) ?? 0;
      least = Math.min(least, count);
    }
    return least;
  }
}
