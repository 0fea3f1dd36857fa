import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/** Time constant of the recent average: weights fall to 1/e after it. */
const RECENT_TIME_CONSTANT: Millis = SECOND;
/** Weight of the long-term average relative to the recent one. */
const BACKGROUND_WEIGHT = 0.03;
/** Time constant of the long-term average. */
const BACKGROUND_TIME_CONSTANT: Millis = 20 * SECOND;

/** Minimum duration of a frame, the unit of change-point detection. */
const MIN_FRAME_DURATION: Millis = 0.1 * SECOND;
/** With fewer selections per expert, sampling noise looks like a shift. */
const MIN_SELECTIONS_PER_EXPERT = 30;
/**
 * Demand that still differs from frame to frame after this time counts as
 * stable; a shift is over within two frames.
 */
const MAX_UNSTABLE_TIME: Millis = SECOND / 2;
/**
 * Share of selections moved to other experts from which demand has shifted.
 * The random mix of requests accounts for about a tenth.
 */
const SHIFT_THRESHOLD = 0.25;
/** A shift that is later than this multiple of the interval has not come. */
const MAX_SHIFT_DELAY = 1.25;
/** Duration of a shift, as old requests end and new ones arrive. */
const SHIFT_DURATION: Millis = SECOND;

/**
 * Estimates expert popularity by a recent and a long-term exponentially
 * weighted average of selections per frame, with change-point detection: the
 * recent average restarts when a frame differs from it. A frame in which
 * demand shifts mixes old and new, so the next one decides.
 */
export class PopularityEstimator {
  private recent: Float64Array;
  private readonly background: Float64Array;
  private frame: Float64Array;
  private frameStartedAt: Millis | undefined;
  private lastClosedAt: Millis | undefined;
  private lastShiftAt: Millis | undefined;
  private shiftInterval: Millis | undefined;
  private unstableSince: Millis | undefined;

  /**
   * @param layers - number of layer sets, each with its own experts
   * @param experts - number of experts in a set
   */
  constructor(
    private readonly layers: number,
    private readonly experts: number,
  ) {
    this.recent = new Float64Array(layers * experts);
    this.background = new Float64Array(layers * experts);
    this.frame = new Float64Array(layers * experts);
  }

  /**
   * Adds expert selections counted since the last call.
   * @param now - current time
   * @param chosen - counts by expert, one set after the other
   * @param unit - selections that one count stands for
   */
  add(now: Millis, chosen: readonly number[], unit = 1): void {
    this.frameStartedAt ??= now;
    if (now - this.frameStartedAt >= MIN_FRAME_DURATION) this.closeFrame(now);
    const length = Math.min(chosen.length, this.frame.length);
    for (let i = 0; i < length; i++) this.frame[i]! += chosen[i]! * unit;
  }

  /** Selections in the recent average and the open frame. */
  get selectionCount(): number {
    return sum(this.recent) + sum(this.frame);
  }

  /** Number of closed frames. */
  get frameCount(): number {
    return this.closedFrames;
  }
  private closedFrames = 0;

  /**
   * Returns whether the latest frame agrees with the average.
   * @param now - current time
   */
  isStable(now: Millis): boolean {
    const {unstableSince} = this;
    return (
      unstableSince === undefined || now - unstableSince >= MAX_UNSTABLE_TIME
    );
  }

  /**
   * Returns the observed time for which demand stays the same.
   * @param now - current time
   * @returns infinity before the second shift
   */
  stablePeriod(now: Millis): Millis {
    if (this.shiftInterval === undefined) return Infinity;
    return Math.max(this.shiftInterval, now - (this.lastShiftAt ?? now));
  }

  /**
   * Returns the time until the next shift, as far as shifts are regular.
   * @param now - current time
   * @returns 0 while a shift is due; infinity before the second shift, or if the
   * next one has not come
   */
  timeUntilShift(now: Millis): Millis {
    const {shiftInterval, lastShiftAt} = this;
    if (shiftInterval === undefined || lastShiftAt === undefined)
      return Infinity;
    const since = now - lastShiftAt;
    if (since > shiftInterval * MAX_SHIFT_DELAY) return Infinity;
    return Math.max(0, shiftInterval - since);
  }

  /** Returns the expected load of each expert, by set. */
  loads(): Float64Array[] {
    return Array.from({length: this.layers}, (_, layer) => {
      const [from, to] = [layer * this.experts, (layer + 1) * this.experts];
      const recent = this.average().subarray(from, to);
      const background = this.background.subarray(from, to);
      const scale = sum(recent) / Math.max(1, sum(background));
      return Float64Array.from(
        recent,
        (n, i) => n + BACKGROUND_WEIGHT * scale * background[i]!,
      );
    });
  }

  /** Returns the recent average, or the open frame before the first closes. */
  private average(): Float64Array {
    return this.closedFrames === 0 ? this.frame : this.recent;
  }

  /** Adds the frame to the averages; restarts the recent one on a shift. */
  private closeFrame(now: Millis): void {
    const {frame, recent} = this;
    if (sum(frame) < MIN_SELECTIONS_PER_EXPERT * frame.length) return;
    const passed = now - (this.lastClosedAt ?? now);
    scaleBy(this.background, Math.exp(-passed / BACKGROUND_TIME_CONSTANT));
    if (
      sum(recent) > 0 &&
      totalVariationDistance(recent, frame) >= SHIFT_THRESHOLD
    ) {
      this.recordShift(now);
      this.unstableSince ??= now;
      this.recent = frame;
    } else {
      this.unstableSince = undefined;
      scaleBy(recent, Math.exp(-passed / RECENT_TIME_CONSTANT));
      addTo(recent, frame);
    }
    addTo(this.background, frame);
    this.closedFrames += 1;
    this.lastClosedAt = now;
    this.frame = new Float64Array(frame.length);
    this.frameStartedAt = now;
  }

  private recordShift(now: Millis): void {
    if (this.lastShiftAt !== undefined) {
      const since = now - this.lastShiftAt;
      if (since < SHIFT_DURATION) return;
      this.shiftInterval =
        this.shiftInterval === undefined
          ? since
          : (this.shiftInterval + since) / 2;
    }
    this.lastShiftAt = now;
  }
}

const sum = (values: Float64Array) => values.reduce((a, b) => a + b, 0);

function addTo(values: Float64Array, more: Float64Array): void {
  for (let i = 0; i < values.length; i++) values[i]! += more[i]!;
}

function scaleBy(values: Float64Array, factor: number): void {
  for (let i = 0; i < values.length; i++) values[i]! *= factor;
}

/** Returns the share of selections that differ between two distributions. */
function totalVariationDistance(
  one: Float64Array,
  other: Float64Array,
): number {
  const [first, second] = [sum(one), sum(other)];
  if (first === 0 || second === 0) return 0;
  let moved = 0;
  for (let i = 0; i < one.length; i++) {
    moved += Math.abs(one[i]! / first - other[i]! / second);
  }
  return moved / 2;
}
