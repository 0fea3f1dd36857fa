import type {Rank} from '../types.js';
import type {RankReport} from './types.js';

/** What clears a group that a coordinator has left in the middle. */
export type ClearingStep =
  /** The group formed anew meanwhile. */
  | {readonly kind: 'look_again'}
  /** Some ranks are armed and others neither armed nor switched. */
  | {readonly kind: 'disarm'; readonly ranks: readonly Rank[]}
  | {readonly kind: 'release'; readonly held: readonly RankReport[]}
  | {readonly kind: 'clean'};

/**
 * The next step towards a group in which nothing is armed unevenly or held.
 * @param reports - a report of each rank, read after older orders were fenced
 */
export function clearingStep(reports: readonly RankReport[]): ClearingStep {
  if (new Set(reports.map(r => r.epoch)).size > 1) return {kind: 'look_again'};
  if (!isUniform(reports)) {
    const armed = reports.filter(r => r.armed !== null);
    return {kind: 'disarm', ranks: armed.map(r => r.rank)};
  }
  const held = reports.filter(r => r.heldAt !== null);
  return held.length > 0 ? {kind: 'release', held} : {kind: 'clean'};
}

/**
 * Whether every rank is on, or armed for, the same map, so that the group may
 * begin its next pass.
 */
function isUniform(reports: readonly RankReport[]): boolean {
  const armed = new Set(reports.flatMap(r => r.armed ?? []));
  if (armed.size === 0) return true;
  const [target] = armed;
  return (
    armed.size === 1 &&
    reports.every(r => r.armed === target || r.map === target)
  );
}
