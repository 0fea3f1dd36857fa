import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Rank} from '../types.js';

/** How often the choices of a rank that is sampled are read. */
export const SAMPLE_INTERVAL: Millis = 0.15 * SECOND;
/**
 * Counts that the coordinator takes in a second, at about a byte each: a
 * quarter of the smallest link of an upstream's VM.
 */
const MAX_COUNTS_PER_SECOND = 120_000;
/** Fewer ranks would show their own requests rather than the demand. */
const MIN_SAMPLED_RANKS = 4;
/** More ranks tell nothing new: each has served thousands of tokens. */
const MAX_SAMPLED_RANKS = 12;
/** A count up to this is one byte of a message. */
const MAX_COUNT = 127;

/**
 * The ranks whose choices of experts are read. All ranks serve the same
 * demand, so that some of them show it. Load that it answers: a group of many
 * ranks with thousands of experts, whose counts together fill the link of the
 * coordinator's VM.
 * @param connected - ranks whose sidecars are there
 * @param counts - numbers that one reading of a rank has
 */
export function selectSampledRanks(
  connected: readonly Rank[],
  counts: number,
): Rank[] {
  const perSecond = (counts * SECOND) / SAMPLE_INTERVAL;
  const affordable = Math.floor(MAX_COUNTS_PER_SECOND / perSecond);
  const wanted = Math.min(
    MAX_SAMPLED_RANKS,
    Math.max(MIN_SAMPLED_RANKS, affordable),
  );
  const step = Math.max(1, connected.length / wanted);
  const sampled: Rank[] = [];
  for (let at = 0; at < connected.length; at += step) {
    sampled.push(connected[Math.floor(at)]!);
  }
  return sampled;
}

/** Counts in a unit that makes each of them small. */
export interface ScaledCounts {
  readonly chosen: number[];
  /** Choices that one count stands for. */
  readonly unit: number;
}

/**
 * Scales counts so that each takes a byte in a message; what a hot expert
 * weighs against the others stays within a hundredth.
 * @param counts - choices by set and expert
 */
export function scaleCounts(counts: readonly number[]): ScaledCounts {
  const max = counts.reduce((a, b) => Math.max(a, b), 0);
  const unit = Math.max(1, Math.ceil(max / MAX_COUNT));
  return {chosen: counts.map(n => Math.round(n / unit)), unit};
}
