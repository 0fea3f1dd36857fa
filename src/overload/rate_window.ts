import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Time over which events are counted. */
const WINDOW: Millis = SECOND;
const SLOTS = 20;
const SLOT_TIME: Millis = WINDOW / SLOTS;
/** Events in a shorter time say little about their rate. */
const MIN_OBSERVED: Millis = 0.25 * SECOND;

/** Counts events over the last second, in constant memory. */
export class RateWindow {
  private readonly counts = new Float64Array(SLOTS);
  private slot = 0;
  private sum = 0;
  private since: Millis | undefined;

  /**
   * Records an event.
   * @param now - current time
   */
  record(now: Millis): void {
    this.advance(now);
    this.since ??= now;
    this.counts[this.slot % SLOTS]! += 1;
    this.sum += 1;
  }

  /**
   * Returns the number of events in the window.
   * @param now - current time
   */
  count(now: Millis): number {
    this.advance(now);
    return this.sum;
  }

  /**
   * Returns the rate, events per ms.
   * @param now - current time
   * @param deviations - standard deviations of the count to add
   */
  rate(now: Millis, deviations = 0): number {
    const count = this.count(now);
    // A low estimate doesn't extrapolate from a short time.
    const observed =
      deviations < 0 ? WINDOW : Math.max(MIN_OBSERVED, this.observed(now));
    return Math.max(0, count + deviations * Math.sqrt(count)) / observed;
  }

  /**
   * Returns for how long events have been counted, up to the window.
   * @param now - current time
   */
  observed(now: Millis): Millis {
    this.advance(now);
    return Math.min(WINDOW, now - (this.since ?? now));
  }

  private advance(now: Millis): void {
    const slot = Math.floor(now / SLOT_TIME);
    if (slot <= this.slot) return;
    const first = Math.max(this.slot + 1, slot - SLOTS + 1);
    for (let i = first; i <= slot; i++) {
      this.sum -= this.counts[i % SLOTS]!;
      this.counts[i % SLOTS] = 0;
    }
    this.slot = slot;
    // A pause as long as the window starts a new observation.
    if (this.sum === 0) this.since = undefined;
  }
}
