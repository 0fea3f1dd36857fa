import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Rank} from '../types.js';

/** Interval at which the expert selections of a sampled rank are read. */
export const SAMPLE_INTERVAL: Millis = 0.15 * SECOND;
/**
 * Maximum counts that the coordinator receives per second, at about a byte
 * each: a quarter of the smallest link of an upstream's VM.
 */
const MAX_COUNTS_PER_SECOND = 120_000;
/** Fewer ranks would reflect their own requests rather than the demand. */
const MIN_SAMPLED_RANKS = 4;
/** More ranks add no information: each has served thousands of tokens. */
const MAX_SAMPLED_RANKS = 12;
/** Largest count that is encoded in one byte of a message. */
const MAX_COUNT = 127;

/**
 * Returns the ranks whose expert selections are sampled. All ranks serve the
 * same demand, so a sample represents it. Reading every rank of a large group
 * with thousands of experts would fill the link of the coordinator's VM.
 * @param connected - ranks whose sidecars are connected
 * @param counts - number of counts in one reading of a rank
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

/** Counts in a unit that keeps each of them small. */
export interface ScaledCounts {
  readonly chosen: number[];
  /** Selections that one count stands for. */
  readonly unit: number;
}

/**
 * Scales counts so that each takes one byte in a message; the relative weight
 * of a hot expert stays within one percent.
 * @param counts - selections by set and expert
 */
export function scaleCounts(counts: readonly number[]): ScaledCounts {
  const max = counts.reduce((a, b) => Math.max(a, b), 0);
  const unit = Math.max(1, Math.ceil(max / MAX_COUNT));
  return {chosen: counts.map(n => Math.round(n / unit)), unit};
}
