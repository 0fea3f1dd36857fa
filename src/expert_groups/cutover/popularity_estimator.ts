import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/** Weight of counts falls to 1/e after this time. */
const RECENT_TIME_CONSTANT: Millis = SECOND;
/** The long-term average counts this much beside the recent one. */
const BACKGROUND_WEIGHT = 0.03;
/** Weight of counts in the long-term average falls to 1/e after this time. */
const BACKGROUND_TIME_CONSTANT: Millis = 20 * SECOND;

/** Choices are compared with those before over this time, or longer. */
const MIN_FRAME_DURATION: Millis = 0.1 * SECOND;
/** With fewer choices for each expert, chance alone looks like a shift. */
const MIN_SELECTIONS_PER_EXPERT = 30;
/**
 * Demand that differs from frame to frame is taken as it is after this time;
 * a shift is over within two frames.
 */
const MAX_UNSTABLE_TIME: Millis = SECOND / 2;
/**
 * Part of the choices that went to other experts than before, from which on
 * it is a shift. Which requests happen to be there makes for about a tenth.
 */
const SHIFT_THRESHOLD = 0.25;
/** A shift takes effect over this time, as requests come and go. */
const SHIFT_DURATION: Millis = SECOND;

/**
 * How often the experts of a group are chosen, lately and usually: an average
 * over frames that starts anew when a frame differs from it. A frame in which
 * demand shifts mixes both, so the next one decides.
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
   * @param layers - sets of layers with experts of their own
   * @param experts - experts of a set
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
   * Adds choices that were counted since the last time.
   * @param now - present time
   * @param chosen - by set and expert, set by set
   * @param unit - choices that one count stands for
   */
  add(now: Millis, chosen: readonly number[], unit = 1): void {
    this.frameStartedAt ??= now;
    if (now - this.frameStartedAt >= MIN_FRAME_DURATION) this.closeFrame(now);
    const length = Math.min(chosen.length, this.frame.length);
    for (let i = 0; i < length; i++) this.frame[i]! += chosen[i]! * unit;
  }

  /** Choices that the recent average rests on. */
  get selectionCount(): number {
    return sum(this.recent) + sum(this.frame);
  }

  /** Frames that were taken. */
  get frameCount(): number {
    return this.closedFrames;
  }
  private closedFrames = 0;

  /**
   * Whether the newest frame agrees with the average.
   * @param now - present time
   */
  isStable(now: Millis): boolean {
    const {unstableSince} = this;
    return (
      unstableSince === undefined || now - unstableSince >= MAX_UNSTABLE_TIME
    );
  }

  /**
   * How long what is in demand stays the same, as far as was seen.
   * @param now - present time
   * @returns infinity before the second shift
   */
  stablePeriod(now: Millis): Millis {
    if (this.shiftInterval === undefined) return Infinity;
    return Math.max(this.shiftInterval, now - (this.lastShiftAt ?? now));
  }

  /** For each set the expected load of each expert. */
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

  /** The recent average; the first choices before there is one. */
  private average(): Float64Array {
    return this.closedFrames === 0 ? this.frame : this.recent;
  }

  /** Takes a frame into the averages, or starts them anew with it. */
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

/** Part of the choices that would have to move to make one like the other. */
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
