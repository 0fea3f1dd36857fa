import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Requests that may be on their way to a group whose pace is not known. */
const INITIAL_LIMIT = 4;
/** With fewer from all entries together, a group would run dry. */
const MIN_TOTAL_LIMIT = 12;
/** More than an entry has under way in calm times. */
const MAX_LIMIT = 64;
/** A start within this part of its target shows room for more. */
const INCREASE_THRESHOLD = 0.6;
/** What is left of the limit after a start that came too late. */
const DECREASE_FACTOR = 0.7;
/** Starts that were sent together are late together: one cut for them. */
const DECREASE_INTERVAL: Millis = 0.3 * SECOND;

/**
 * AIMD limit on the requests of one entry that a group has not started, driven
 * by the time to the first token. Load that it answers: a full group, whose
 * ranks start queued requests first come, first served, all of them late; a
 * request that is queued here can still be reordered. Each entry adapts to what
 * it measures, without coordination.
 */
export class ConcurrencyLimiter {
  private limit = INITIAL_LIMIT;
  private unstarted = 0;
  private decreasedAt: Millis = -Infinity;

  /** @param entries - tells how many entries send to the group */
  constructor(private readonly entries: () => number) {}

  /** Whether one more request may be sent. */
  get hasCapacity(): boolean {
    return this.unstarted < Math.floor(this.limit);
  }

  /** What `/status` shows. */
  get status(): object {
    return {limit: Math.floor(this.limit), unstarted: this.unstarted};
  }

  /** A request was sent. */
  recordSent(): void {
    this.unstarted += 1;
  }

  /**
   * A request that was sent has started.
   * @param now - present time
   * @param took - since it was sent
   * @param target - within which time it should have started
   */
  recordStarted(now: Millis, took: Millis, target: Millis): void {
    this.unstarted -= 1;
    if (took <= target * INCREASE_THRESHOLD) {
      this.limit = Math.min(MAX_LIMIT, this.limit + 1);
    } else if (took > target && now - this.decreasedAt >= DECREASE_INTERVAL) {
      const least = Math.max(1, MIN_TOTAL_LIMIT / this.entries());
      this.limit = Math.max(least, this.limit * DECREASE_FACTOR);
      this.decreasedAt = now;
    }
  }

  /** A request that was sent has ended without a start. */
  recordEndedUnstarted(): void {
    this.unstarted -= 1;
  }

  /** The group has formed anew: it is filled step by step. */
  reset(): void {
    this.limit = INITIAL_LIMIT;
  }
}
