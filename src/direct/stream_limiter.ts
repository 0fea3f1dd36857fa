import type {Chance, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Gaps above this fraction of their target lower the limit. */
const DECREASE_THRESHOLD = 0.85;
/** Gaps below this fraction of their target raise the limit. */
const INCREASE_THRESHOLD = 0.7;
/** Gaps below this fraction of their target remove the limit. */
const RELEASE_THRESHOLD = 0.5;
/** Growth of the limit per pass. */
const INCREASE_FACTOR = 1.3;
/** Events of one pass reach an entry within this time. */
const PASS_SPREAD: Millis = 25;
/** Without gaps for this long, the last ones say nothing about the group. */
const STALE_AFTER: Millis = SECOND / 2;
/** Lowest limit, as a fraction of the streams at the first decrease. */
const MIN_FRACTION = 0.5;
/** A limit that did not bring the gaps to their target after this is removed. */
const MAX_FUTILE_TIME: Millis = 2 * SECOND;
/** Time before a limit is tried again. */
const FUTILE_PAUSE: Millis = 5 * SECOND;

/**
 * AIMD limit on the streams of one entry at a group, driven by the gaps between
 * their events. The ranks of a group step together, and a pass takes longer the
 * more streams run; while expert load is skewed after a shift of demand, a full
 * group misses the gap target for every stream. A request that is queued here
 * for a moment still starts in time. A single long pass, as while the group is
 * held for a map switch, does not depend on the number of streams and is
 * ignored. Each entry adapts to its own streams, so a limit may be less than
 * one: a new random threshold rounds it at each change.
 */
export class StreamLimiter {
  private limit = Infinity;
  private floor = 0;
  /** Longest gap in the present pass, as a fraction of its target. */
  private passPressure = 0;
  private passSeenAt: Millis = -Infinity;
  /** The same of the pass before. */
  private lastPressure = 0;
  private pressedSince: Millis | undefined;
  private pausedUntil: Millis = -Infinity;
  private rounding = 0;

  /**
   * @param chance - rounds limits
   * @param streams - number of streams that run already
   */
  constructor(
    private readonly chance: Chance,
    private streams = 0,
  ) {}

  /**
   * Returns whether one more stream may be sent.
   * @param now - current time
   */
  hasCapacity(now: Millis): boolean {
    if (now - this.passSeenAt > STALE_AFTER) this.release();
    return this.streams < Math.floor(this.limit + this.rounding);
  }

  /** Whether there is a limit at present. */
  get isLimiting(): boolean {
    return this.limit !== Infinity;
  }

  /** The limit; undefined if there is none. */
  get value(): number | undefined {
    return this.isLimiting ? this.limit : undefined;
  }

  /** Number of streams. */
  get running(): number {
    return this.streams;
  }

  /** Fields for `/status`. */
  get status(): object {
    const streamLimit = this.isLimiting ? this.limit : undefined;
    return {streams: this.streams, streamLimit, gapPressure: this.passPressure};
  }

  /** Records that a stream was sent. */
  recordSent(): void {
    this.streams += 1;
  }

  /** Records that a stream that was sent has ended. */
  recordEnded(): void {
    this.streams = Math.max(0, this.streams - 1);
  }

  /**
   * Records the time between two events of a stream and adapts the limit.
   * @param now - current time
   * @param gap - the time
   * @param target - longest gap with which the stream is in time
   */
  recordGap(now: Millis, gap: Millis, target: Millis): void {
    if (target <= 0) return;
    const pressure = gap / target;
    if (now - this.passSeenAt <= PASS_SPREAD) {
      this.passPressure = Math.max(this.passPressure, pressure);
      return;
    }
    const isStale = now - this.passSeenAt > STALE_AFTER;
    this.lastPressure = isStale ? 0 : this.passPressure;
    this.passPressure = pressure;
    this.passSeenAt = now;
    this.adjust(now, Math.min(this.lastPressure, pressure));
  }

  /** Adapts the limit to the lower pressure of the last two passes. */
  private adjust(now: Millis, pressure: number): void {
    if (pressure <= RELEASE_THRESHOLD) {
      this.release();
    } else if (pressure <= INCREASE_THRESHOLD) {
      this.pressedSince = undefined;
      this.limit *= INCREASE_FACTOR;
    } else if (pressure > DECREASE_THRESHOLD && now >= this.pausedUntil) {
      this.decrease(now, pressure);
    }
    this.rounding = this.chance.fraction();
  }

  private decrease(now: Millis, pressure: number): void {
    if (!this.isLimiting) this.floor = this.streams * MIN_FRACTION;
    this.pressedSince ??= now;
    if (now - this.pressedSince > MAX_FUTILE_TIME) {
      this.release();
      this.pausedUntil = now + FUTILE_PAUSE;
      return;
    }
    const streams = Math.min(this.streams, this.limit);
    const wanted = streams * (DECREASE_THRESHOLD / pressure);
    this.limit = Math.max(this.floor, wanted);
  }

  private release(): void {
    this.limit = Infinity;
    this.pressedSince = undefined;
  }
}
