import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/** Interval at which passes of an event loop without work are recorded. */
export const PASS_INTERVAL: Millis = SECOND / 20;
/** Time between recorded passes from which on the process was held up. */
const HOLD_UP_TIME: Millis = SECOND / 4;
/** Time without a request after which all that has waited was read. */
const IDLE_TIME: Millis = SECOND / 10;
/** Longest time in which what has waited is read, if requests go on to come. */
const MAX_CATCH_UP_TIME: Millis = SECOND / 4;
/** Time before which only the latest hold-up counts: what waited then was read. */
const MAX_SERIES_TIME: Millis = 1.5 * SECOND;

interface HoldUp {
  /** Last pass before it. */
  readonly startedAt: Millis;
  /** Time until which what waited during it is read, unless there is another. */
  readUntil: Millis;
}

/**
 * Detects hold-ups of the process by the time between passes of its event loop. A
 * request that is read after one may have waited in the system's buffers since the
 * last pass before it. Each pass accepts one connection only, so those that waited
 * are read in as many passes.
 */
export class HoldUpTracker {
  private lastPassAt: Millis | undefined;
  /** Hold-ups of which something may still wait, in order. */
  private holdUps: HoldUp[] = [];
  private lastReadAt: Millis = 0;
  private unreported: Millis | undefined;

  /**
   * Records a pass of the event loop.
   * @param now - current time
   * @returns length of a hold-up since the pass before; undefined if there was none
   */
  recordPass(now: Millis): Millis | undefined {
    this.detect(now);
    this.lastPassAt = now;
    const isIdle = now - this.lastReadAt >= IDLE_TIME;
    this.holdUps = this.holdUps.filter(
      ({readUntil}) => !isIdle && readUntil > now,
    );
    const {unreported} = this;
    this.unreported = undefined;
    return unreported;
  }

  /**
   * Returns the earliest time at which a request may have arrived.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    this.detect(now);
    this.lastReadAt = now;
    const from = now - MAX_SERIES_TIME;
    const inSeries = this.holdUps.find(({startedAt}) => startedAt >= from);
    return (inSeries ?? this.holdUps.at(-1))?.startedAt ?? now;
  }

  private detect(now: Millis): void {
    const {lastPassAt: startedAt = now} = this;
    const elapsed = now - startedAt;
    if (elapsed <= HOLD_UP_TIME) return;
    for (const earlier of this.holdUps) earlier.readUntil += elapsed;
    const readUntil = now + Math.min(elapsed, MAX_CATCH_UP_TIME);
    this.holdUps.push({startedAt, readUntil});
    this.lastReadAt = now;
    this.lastPassAt = now;
    this.unreported = elapsed;
  }
}
