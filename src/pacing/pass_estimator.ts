import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Events of one pass reach an entry within this time. */
const PASS_SPREAD: Millis = 25;
/** Without gaps for this long, the last ones say nothing about the group. */
const STALE_AFTER: Millis = SECOND;
/** EWMA weight of one pass in the length. */
const LENGTH_WEIGHT = 0.2;
/** EWMA weight of one pass in the trend. */
const TREND_WEIGHT = 0.1;
/** A single pass counts in the length up to this multiple of it. */
const MAX_SINGLE_FACTOR = 1.4;
/** Passes of which the longest are found; some ten seconds. */
const TAIL_WINDOW = 100;
/**
 * Number of passes in the window that may be longer than the tail: one is long
 * while the group is held for a map switch, whatever the streams. Streams last some
 * twenty passes and one pass over the target makes all of them late, so that two
 * in the window count.
 */
const LONGEST_IGNORED = 1;
/**
 * Passes count in the tail if the streams' part is at least this part of the length
 * without streams. In nearly idle passes jitter would make any factor.
 */
const MIN_STREAMS_PART = 0.5;
/** Tail before enough passes are known. */
const DEFAULT_TAIL = 1.3;
const MIN_TAIL_SAMPLES = 20;
const MAX_TAIL = 1.8;

/** Length of the passes of a group, as far as one entry sees it. */
export interface PassEstimate {
  /** Smoothed length. */
  readonly length: Millis;
  /** Change of the length, ms per ms. */
  readonly trend: number;
  /** Streams' part of the longest passes, as a multiple of that of the length. */
  readonly tail: number;
  /** Length of the last pass. */
  readonly last: Millis;
}

/**
 * Estimates the length of a group's passes from the gaps between the events of
 * one entry's streams. Each running stream has one event per pass, so the gaps
 * of one pass are samples of the same length, of which the median is used. A
 * single long pass, as while the group is held for a map switch, hardly counts;
 * two in a row do.
 */
export class PassEstimator {
  private current: PassEstimate | undefined;
  /** Gaps of the pass whose events are arriving. */
  private gaps: Millis[] = [];
  private passAt: Millis = -Infinity;
  private seenAt: Millis = -Infinity;
  private updatedAt: Millis = -Infinity;
  private longBefore: Millis | undefined;
  /** Streams' parts of the last passes, as multiples of the smoothed part. */
  private factors: number[] = [];

  /** @param idle - length of a pass without streams */
  constructor(private readonly idle: Millis) {}

  /** The estimate; undefined while no passes are seen. */
  get estimate(): PassEstimate | undefined {
    return this.current;
  }

  /**
   * Records the gap between two events of a stream.
   * @param now - current time
   * @param gap - the gap
   * @returns whether the estimate has changed
   */
  record(now: Millis, gap: Millis): boolean {
    const hasChanged = this.settle(now);
    if (this.gaps.length === 0) this.passAt = now;
    this.gaps.push(gap);
    this.seenAt = now;
    return hasChanged;
  }

  /**
   * Ends the pass whose events have arrived.
   * @param now - current time
   * @returns whether the estimate has changed
   */
  settle(now: Millis): boolean {
    if (now - this.seenAt > STALE_AFTER) this.reset();
    const isOpen = now - this.passAt <= PASS_SPREAD;
    if (this.gaps.length === 0 || isOpen) return false;
    const sorted = this.gaps.sort((a, b) => a - b);
    const sample = sorted[Math.floor(sorted.length / 2)]!;
    this.gaps = [];
    this.add(this.passAt, sample);
    return true;
  }

  private add(at: Millis, sample: Millis): void {
    const before = this.current;
    if (before === undefined) {
      this.current = {
        ...{length: sample, trend: 0},
        ...{tail: this.tail(), last: sample},
      };
      this.updatedAt = at;
      return;
    }
    const streamsPart = before.length - this.idle;
    if (streamsPart >= MIN_STREAMS_PART * this.idle) {
      this.factors.push((sample - this.idle) / streamsPart);
      if (this.factors.length > TAIL_WINDOW) this.factors.shift();
    }
    const counted = this.robust(sample, before.length);
    const length = before.length + LENGTH_WEIGHT * (counted - before.length);
    const slope = (length - before.length) / Math.max(1, at - this.updatedAt);
    const trend = before.trend + TREND_WEIGHT * (slope - before.trend);
    this.current = {length, trend, tail: this.tail(), last: sample};
    this.updatedAt = at;
  }

  /** Returns the part of a length that counts. */
  private robust(sample: Millis, length: Millis): Millis {
    const bound = length * MAX_SINGLE_FACTOR;
    const before = this.longBefore;
    this.longBefore = sample > bound ? sample : undefined;
    if (sample <= bound) return sample;
    return before === undefined ? bound : Math.min(before, sample);
  }

  private tail(): number {
    const {length} = this.factors;
    if (length < MIN_TAIL_SAMPLES) return DEFAULT_TAIL;
    const sorted = [...this.factors].sort((a, b) => b - a);
    return Math.min(MAX_TAIL, Math.max(1, sorted[LONGEST_IGNORED]!));
  }

  /** Keeps the tail, which doesn't depend on the load. */
  private reset(): void {
    this.current = undefined;
    this.gaps = [];
    this.longBefore = undefined;
  }
}
