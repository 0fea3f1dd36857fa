import fc from 'fast-check';
import {expect, it} from 'vitest';

import {Chance} from '../core/index.js';
import {initialMap, rankLoads} from './expert_map.js';
import {LayerPlan} from './layer_plan.js';
import {applyMoves} from './planner.js';

const SHAPE = {
  ranks: 6,
  layers: 1,
  experts: 16,
  slotsPerRank: 4,
  expertSize: 1,
};

it('updates the maximum rank load after each move', () => {
  const property = fc.property(fc.integer({min: 0}), seed => {
    const chance = new Chance(seed);
    const loads = Float64Array.from({length: SHAPE.experts}, () =>
      chance.fraction(),
    );
    const costs = Array.from(
      {length: SHAPE.ranks},
      () => 1 + chance.fraction(),
    );
    const map = initialMap(SHAPE);
    const [slots] = map.layers;
    const {slotsPerRank} = SHAPE;
    const plan = new LayerPlan(
      0,
      slots!,
      slotsPerRank,
      loads,
      undefined,
      costs,
    );
    const moves = plan.findMoves(20);
    for (const [i, move] of moves.entries()) {
      const [layer] = applyMoves(map, moves.slice(0, i + 1)).layers;
      const times = rankLoads(layer!, slotsPerRank, loads).map(
        (load, rank) => load * costs[rank]!,
      );
      expect(move.maxLoad).toBeCloseTo(Math.max(...times), 9);
    }
  });
  fc.assert(property, {numRuns: 50});
});
