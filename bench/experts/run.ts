import {performance} from 'node:perf_hooks';

import {Chance} from '../../src/core/index.js';
import {
  LoadEstimator,
  Planner,
  initialMap,
  findMapErrors,
  countMovedSlots,
  skewOf,
} from '../../src/expert_groups/index.js';
import type {
  ExpertMap,
  GroupShape,
  PlannerPolicy,
} from '../../src/expert_groups/index.js';
import type {Drift} from './drifts.js';
import {fullRepack} from './full_repack.js';

const GIB = 2 ** 30;
const STEPS = 600;
const TOKENS_PER_RANK = 512;
const LOST_REPORT_FRACTION = 0.05;
/** Intervals excluded from the figures: all runs start on the same poor map. */
const WARM_UP = 10;

/** Method that selects the map of the next interval. */
export type Strategy =
  | {readonly kind: 'never'}
  | {readonly kind: 'repack'}
  | {readonly kind: 'plan'; readonly policy: PlannerPolicy};

/** Results of a strategy on a drift. */
export interface Figures {
  readonly meanSkew: number;
  readonly p99Skew: number;
  readonly gib: number;
  readonly changes: number;
  /** Longest planning time, ms. */
  readonly planMs: number;
  /** Longest time between yields of the planner, ms. */
  readonly stallMs: number;
}

/** Adds noisy load reports of the ranks, of which some are lost. */
function reportLoads(
  estimator: LoadEstimator,
  map: ExpertMap,
  loads: readonly Float64Array[],
  interval: number,
  chance: Chance,
): void {
  const {slotsPerRank} = map;
  const ranks = map.layers[0]!.length / slotsPerRank;
  const replicas = map.layers.map(layer => {
    const count = new Uint16Array(loads[0]!.length);
    for (const expert of layer) count[expert]! += 1;
    return count;
  });
  for (let rank = 0; rank < ranks; rank++) {
    if (chance.fraction() < LOST_REPORT_FRACTION) continue;
    const tokens = map.layers.map((layer, index) => {
      const counts = new Float64Array(slotsPerRank);
      for (let slot = 0; slot < slotsPerRank; slot++) {
        const expert = layer[rank * slotsPerRank + slot]!;
        const mean =
          (loads[index]![expert]! / replicas[index]![expert]!) * STEPS;
        const deviation = Math.sqrt(mean) * (chance.fraction() - 0.5) * 3.46;
        counts[slot] = Math.max(0, mean + deviation);
      }
      return counts;
    });
    const fromStep = interval * STEPS;
    const toStep = fromStep + STEPS;
    estimator.add({rank, fromStep, toStep, busyMs: 1, tokens});
  }
  estimator.closeInterval(map);
}

/**
 * Runs a strategy on a drift.
 * @param shape - dimensions of the group
 * @param drift - drift in its initial state
 * @param intervals - number of intervals
 * @param strategy - strategy that selects the maps
 */
export function runDrift(
  shape: GroupShape,
  drift: Drift,
  intervals: number,
  strategy: Strategy,
): Figures {
  const chance = new Chance(11);
  const estimator = new LoadEstimator(shape);
  let map = initialMap(shape);
  const skews: number[] = [];
  let [slots, changes, planMs, stallMs] = [0, 0, 0, 0];
  for (let interval = 0; interval < intervals; interval++) {
    const tokens = shape.ranks * TOKENS_PER_RANK;
    const loads = drift.next(interval).map(l => l.map(w => w * tokens));
    if (interval >= WARM_UP) skews.push(skewOf(map, loads));
    reportLoads(estimator, map, loads, interval, chance);
    const start = performance.now();
    let next = map;
    if (strategy.kind === 'repack') next = fullRepack(shape, estimator.loads);
    if (strategy.kind === 'plan') {
      const planned = runPlan(strategy.policy, shape, map, estimator);
      next = planned.map;
      stallMs = Math.max(stallMs, planned.stallMs);
    }
    planMs = Math.max(planMs, performance.now() - start);
    const moved = next === map ? 0 : countMovedSlots(map, next);
    if (interval >= WARM_UP) slots += moved;
    if (moved > 0 && interval >= WARM_UP) changes += 1;
    if (findMapErrors(next, shape).length > 0) throw new Error('invalid map');
    map = next;
  }
  skews.sort((a, b) => a - b);
  return {
    meanSkew: skews.reduce((sum, skew) => sum + skew, 0) / skews.length,
    p99Skew: skews[Math.floor(skews.length * 0.99)]!,
    gib: (slots * shape.expertSize) / GIB,
    changes,
    planMs,
    stallMs,
  };
}

function runPlan(
  policy: PlannerPolicy,
  shape: GroupShape,
  map: ExpertMap,
  {loads, drift, confidence}: LoadEstimator,
): {map: ExpertMap; stallMs: number} {
  const input = {shape, map, loads, drift, confidence};
  const run = new Planner(policy).plan(input);
  let stallMs = 0;
  for (;;) {
    const start = performance.now();
    const {done, value} = run.next();
    stallMs = Math.max(stallMs, performance.now() - start);
    if (done) return {map: value.map, stallMs};
  }
}
