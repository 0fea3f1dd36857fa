import {describe, expect, it} from 'vitest';

import {ChunkMeter} from './chunk_meter.js';

/** Records chunks of one length; returns how many windows proved costly. */
function countCostly(meter: ChunkMeter, bytes: number, chunks: number): number {
  let count = 0;
  for (let i = 0; i < chunks; i++) count += meter.record(bytes) ? 1 : 0;
  return count;
}

// Chunks of one byte from 60 clients kept an entry busy for a minute.
describe('chunks are costly', () => {
  it.each([
    [1, 256, 1],
    [255, 256, 1],
    [1, 1_024, 4],
    [1, 255, 0],
    [256, 1_024, 0],
    [64_000, 1_024, 0],
  ])('of %i bytes, %i chunks: %i times', (bytes, chunks, expected) => {
    expect(countCostly(new ChunkMeter(), bytes, chunks)).toBe(expected);
  });

  it('no longer once larger ones follow', () => {
    const meter = new ChunkMeter();
    countCostly(meter, 1, 256);
    expect(meter.isCostly).toBe(true);
    countCostly(meter, 1_000, 256);
    expect(meter.isCostly).toBe(false);
  });
});
