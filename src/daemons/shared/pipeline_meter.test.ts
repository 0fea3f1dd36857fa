import {expect, it} from 'vitest';

import {PipelineMeter} from './pipeline_meter.js';

/** Requests that clients within the limits send ahead. */
const FEW = 16;

/** Records requests of one read; returns how often they used up a turn. */
function read(meter: PipelineMeter, bytesRead: number, requests: number) {
  let turns = 0;
  for (let i = 0; i < requests; i++) if (meter.record(bytesRead)) turns += 1;
  return turns;
}

it('lets a client send a few requests ahead, again and again', () => {
  const meter = new PipelineMeter();
  let turns = 0;
  for (let i = 1; i <= 1_000; i++) turns += read(meter, i * 5_000, FEW);
  expect(turns).toBe(0);
});

// A read of 1,400 requests kept the other connections waiting until all were begun.
it('uses up a turn with many requests of one read, and the next turn again', () => {
  const meter = new PipelineMeter();
  expect(read(meter, 65_536, 100)).toBe(1);
  meter.reset();
  expect(read(meter, 65_536, 100)).toBe(1);
});
