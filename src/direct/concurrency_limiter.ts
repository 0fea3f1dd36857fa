import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Limit for a group whose start rate is not known yet. */
const INITIAL_LIMIT = 4;
/** A lower total over all entries would leave the group idle. */
const MIN_TOTAL_LIMIT = 12;
/** Higher than what an entry has in flight under normal load. */
const MAX_LIMIT = 64;
/** A start within this fraction of its target raises the limit. */
const INCREASE_THRESHOLD = 0.6;
/** Factor applied to the limit after a late start. */
const DECREASE_FACTOR = 0.7;
/** Requests sent together are late together and lower the limit only once. */
const DECREASE_INTERVAL: Millis = 0.3 * SECOND;

/**
 * AIMD limit on the requests of one entry that a group has not started, driven
 * by the time to the first token. The ranks of a full group start their queued
 * requests first come, first served, and all of them late; a request that is
 * queued here can still be reordered. Each entry adapts to its own
 * measurements, without coordination.
 */
export class ConcurrencyLimiter {
  private limit = INITIAL_LIMIT;
  private unstarted = 0;
  private decreasedAt: Millis = -Infinity;

  /** @param entries - returns the number of entries that send to the group */
  constructor(private readonly entries: () => number) {}

  /** Whether one more request may be sent. */
  get hasCapacity(): boolean {
    return this.unstarted < Math.floor(this.limit);
  }

  /** Fields for `/status`. */
  get status(): object {
    return {limit: Math.floor(this.limit), unstarted: this.unstarted};
  }

  /** Records that a request was sent. */
  recordSent(): void {
    this.unstarted += 1;
  }

  /**
   * Records the start of a request and adapts the limit.
   * @param now - current time
   * @param took - time since the request was sent
   * @param target - latency target of its start
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

  /** Records that a request ended without a start. */
  recordEndedUnstarted(): void {
    this.unstarted -= 1;
  }

  /** Restores the initial limit, so that a recovered group fills gradually. */
  reset(): void {
    this.limit = INITIAL_LIMIT;
  }
}
