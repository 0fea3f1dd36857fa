import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {Chance} from '../core/index.js';
import {
  initialMap,
  findMapErrors,
  countMovedSlots,
  rankLoads,
  skewOf,
} from './expert_map.js';
import type {GroupShape} from './expert_map.js';
import {LoadEstimator} from './load_estimator.js';
import type {RankLoadReport} from './load_estimator.js';
import {DEFAULT_POLICY, Planner, applyMoves} from './planner.js';
import type {Plan, PlanInput, PlannerPolicy} from './planner.js';

const SHAPE: GroupShape = {
  ranks: 4,
  layers: 3,
  experts: 10,
  slotsPerRank: 4,
  expertSize: 2 ** 20,
};
const POLICY: PlannerPolicy = {
  ...DEFAULT_POLICY,
  weightSkew: 10,
  weightCost: 1,
};

function planOf(input: PlanInput, policy = POLICY): Plan {
  const run = new Planner(policy).plan(input);
  for (;;) {
    const {done, value} = run.next();
    if (done) return value;
  }
}

function input(seed: number, confidence = 1): PlanInput {
  const chance = new Chance(seed);
  const layer = () =>
    Float64Array.from({length: SHAPE.experts}, () => chance.fraction() ** 4);
  const loads = Array.from({length: SHAPE.layers}, layer);
  const drift = loads.map(() => 0.02);
  return {shape: SHAPE, map: initialMap(SHAPE), loads, drift, confidence};
}

describe('Planner', () => {
  it('yields a valid map without higher skew after any prefix of moves', () => {
    const property = fc.property(fc.integer({min: 0}), seed => {
      const given = input(seed);
      const plan = planOf(given);
      let skew = plan.skewBefore;
      for (let count = 1; count <= plan.moves.length; count++) {
        const map = applyMoves(given.map, plan.moves.slice(0, count));
        expect(findMapErrors(map, SHAPE)).toEqual([]);
        const after = skewOf(map, given.loads);
        expect(after).toBeLessThanOrEqual(skew + 1e-9);
        skew = after;
      }
      expect(skew).toBeCloseTo(plan.skewAfter, 9);
      const bytes = countMovedSlots(given.map, plan.map) * SHAPE.expertSize;
      expect(plan.bytes).toBe(bytes);
      expect(planOf(input(seed))).toEqual(plan);
    });
    fc.assert(property, {numRuns: 200, seed: 41});
  });

  it.each([
    {
      why: 'too few reports',
      given: input(3, 0.2),
      policy: POLICY,
      expected: 'low_confidence',
    },
    {
      why: 'moves that cost too much',
      given: input(3),
      policy: {...POLICY, weightCost: 1e9},
      expected: 'not_worth_its_cost',
    },
    {
      why: 'equal loads',
      given: {...input(3), loads: input(3).loads.map(l => l.fill(1))},
      policy: POLICY,
      expected: 'balanced',
    },
    {why: 'skewed loads', given: input(3), policy: POLICY, expected: 'moves'},
  ])('returns $expected for $why', ({given, policy, expected}) => {
    expect(planOf(given, policy).reason).toBe(expected);
  });

  it('respects the limit of loaded slots', () => {
    const plan = planOf(input(3), {...POLICY, maxSlots: 3});
    expect(countMovedSlots(input(3).map, plan.map)).toBeLessThanOrEqual(3);
  });
});

describe('Planner with a slow rank', () => {
  it('moves load off the rank, and back once it has recovered', () => {
    const shape = {...SHAPE, ranks: 6, slotsPerRank: 3};
    const loads = Array.from({length: 3}, () => new Float64Array(10).fill(1));
    const map = initialMap(shape);
    const costs = [1, 1, 12, 1, 1, 1];
    const given = {shape, map, loads, drift: [0, 0, 0], confidence: 1};
    const slow = planOf({...given, slowdowns: costs});
    expect(findMapErrors(slow.map, shape)).toEqual([]);
    // Ten experts on five ranks fill at least two of three slots each.
    for (const layer of slow.map.layers) {
      const share = rankLoads(layer, 3, loads[0]!)[2]!;
      expect(share).toBeLessThan(0.5);
    }
    expect(slow.skewAfter).toBeLessThan(slow.skewBefore / 3);
    const recovered = planOf({...given, map: slow.map});
    expect(recovered.skewAfter).toBeLessThan(1.3);
  });
});

describe('LoadEstimator', () => {
  const report = (rank: number, step: number, busyMs = 10): RankLoadReport => ({
    rank,
    fromStep: step,
    toStep: step + 10,
    busyMs,
    tokens: Array.from({length: SHAPE.layers}, () =>
      Float64Array.from([40, 20, 10, 10]),
    ),
  });
  const map = initialMap(SHAPE);

  it('assumes that an unreported replica matches the others', () => {
    const [complete, partial] = [
      new LoadEstimator(SHAPE),
      new LoadEstimator(SHAPE),
    ];
    for (let rank = 0; rank < SHAPE.ranks; rank++) {
      complete.add(report(rank, 0));
      if (rank !== 3) partial.add(report(rank, 0));
    }
    complete.closeInterval(map);
    partial.closeInterval(map);
    expect(partial.confidence).toBe(0.75);
    expect(complete.confidence).toBe(1);
    const replicated = map.layers[0]!.slice(0, 4).filter(e =>
      map.layers[0]!.slice(4, 12).includes(e),
    );
    for (const expert of replicated) {
      expect(partial.loads[0]![expert]).toBe(complete.loads[0]![expert]);
    }
  });

  it.each([
    {what: 'a duplicate report', second: report(0, 0)},
    {what: 'an outdated report', second: report(0, -5)},
    {what: 'an empty report', second: {...report(0, 10), toStep: 10}},
    {what: 'a report of an unknown rank', second: report(9, 10)},
  ])('ignores $what', ({second}) => {
    const estimator = new LoadEstimator(SHAPE);
    estimator.add(report(0, 0));
    estimator.add(second);
    expect(estimator.ignoredReports).toBe(1);
  });

  it('lowers its confidence in intervals without reports', () => {
    const estimator = new LoadEstimator(SHAPE);
    estimator.add(report(0, 0));
    estimator.closeInterval(map);
    const before = estimator.confidence;
    estimator.closeInterval(map);
    expect(estimator.confidence).toBeLessThan(before);
  });

  it('distinguishes a slow rank from one with a popular expert', () => {
    const estimator = new LoadEstimator(SHAPE);
    for (let step = 0; step < 50; step += 10) {
      for (let rank = 0; rank < SHAPE.ranks; rank++) {
        const base = report(rank, step, rank === 2 ? 20 : 10);
        // Rank 1 has twice the tokens and takes twice the time.
        const tokens = base.tokens.map(l => l.map(t => 2 * t));
        estimator.add(rank === 1 ? {...base, tokens, busyMs: 20} : base);
      }
      estimator.closeInterval(map);
    }
    expect([...estimator.slowRanks().keys()]).toEqual([2]);
  });
});
