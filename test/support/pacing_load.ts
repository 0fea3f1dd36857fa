import {Chance, SECOND} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import type {EngineProfile} from '../../src/direct/index.js';

/** Load of one group from the entries of several zones. */
export interface PacingLoad {
  readonly entries: number;
  readonly ranks: number;
  readonly duration: Millis;
  readonly seed: number;
  /** Mean rate of all entries together. */
  readonly perSecond: number;
  /** Rate of a zone (0 to 2) as a multiple of its mean. */
  readonly demand?: (zone: number, now: Millis) => number;
  /** Expert load of the most loaded rank over the mean. */
  readonly skew: (now: Millis) => number;
  /** Factor by which a rank is slower. */
  readonly slowdown?: (rank: number, now: Millis) => number;
  /** Whether the group is held, as for a change of its map. */
  readonly isHeld?: (now: Millis) => boolean;
  /** Time at which the first entry is replaced by one that knows nothing. */
  readonly restartAt?: Millis;
  readonly isPaced: boolean;
}

/** One caller's stream; `start` is undefined if it was rejected. */
export interface PacedStream {
  readonly at: Millis;
  readonly entry: number;
  /** Time in the entry's queue. */
  waited: Millis;
  start?: Millis;
  /** Longest gap between two events. */
  gap: Millis;
}

/** Whether a stream started and went on in time. */
export const isInTime = ({start, gap}: PacedStream) =>
  start !== undefined && start <= START_TARGET && gap <= GAP_TARGET;

/**
 * Returns a skew that differs at random each 120 ms, about one pass.
 * @param mean - mean skew
 * @param spread - greatest difference from it, as a part of it
 * @param seed - seed of the differences
 */
export function randomSkew(
  mean: number,
  spread: number,
  seed: number,
): (now: Millis) => number {
  const chance = new Chance(seed);
  const draws = Array.from({length: 400}, () => 2 * chance.fraction() - 1);
  return now => mean * (1 + spread * draws[Math.floor(now / 120) % 400]!);
}

/** Demand of three zones that oscillates by +-55 in 100, out of phase. */
export const oscillating = (zone: number, now: Millis) =>
  1 + 0.55 * Math.sin(2 * Math.PI * (now / (13 * SECOND) - 0.18 * zone));

export const ENGINE: EngineProfile = {
  slots: 7,
  stepsPerPass: 7,
  stepTime: 4.84,
  stepTimePerStream: 0.62,
  stepTimePerContextToken: 0.019 / 1_000,
  promptTokensPerSecond: 74_800,
  promptChunk: 512,
  usualPromptTokens: 830,
  usualAnswerTokens: 161,
};
export const START_TARGET: Millis = 403;
export const GAP_TARGET: Millis = 120;
