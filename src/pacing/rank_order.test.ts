import {describe, expect, it} from 'vitest';

import {RankOrder, takesLayer} from './rank_order.js';

/** Returns the loads of ranks if each entry runs this many streams. */
function loadsOf(ranks: number, entries: number, streams: number): number[] {
  const loads = new Array<number>(ranks).fill(0);
  for (let index = 0; index < entries; index++) {
    const order = new RankOrder(ranks, {index, count: entries});
    for (let i = 0; i < streams; i++) loads[order.placeOf(i).rank]! += 1;
  }
  return loads;
}

describe('RankOrder', () => {
  // 14 and 72, or 38 and 72, share a divisor; the others do not.
  it.each([
    [72, 14],
    [72, 38],
    [63, 38],
    [63, 14],
    [72, 72],
    [7, 1],
  ])('spreads the streams of all entries over %i ranks, %i entries', (r, e) => {
    for (const streams of [1, 4, 13, 30]) {
      const loads = loadsOf(r, e, streams);
      const difference = Math.max(...loads) - Math.min(...loads);
      // Where the numbers share a divisor, a round may begin within another one.
      expect(difference).toBeLessThanOrEqual(2);
    }
  });

  it.each([14, 38])('leads each of %i entries to all ranks', count => {
    const order = new RankOrder(72, {index: 3, count});
    const reached = new Set<number>();
    for (let i = 0; i < 300; i++) reached.add(order.placeOf(i).rank);
    expect(reached.size).toBe(72);
  });

  it('gives a rank the part of the layers that it should have', () => {
    for (const part of [0, 0.37, 0.5, 0.61, 1]) {
      const layers = Array.from({length: 100}, (_, layer) => layer);
      const taken = layers.filter(layer => takesLayer(layer, part));
      expect(taken.length).toBe(Math.floor(100 * part));
    }
  });
});
