import {expect, it} from 'vitest';

import {CostlyReads} from './costly_reads.js';

/** Scheduler whose passes are run by hand, with the delays that it asked for. */
function createReads() {
  const passes: (() => void)[] = [];
  const delays: (number | undefined)[] = [];
  const reads = new CostlyReads((callback, delay) => {
    passes.push(callback);
    delays.push(delay);
  });
  return {reads, delays, runPass: () => passes.shift()?.()};
}

// All connections were read in each pass, for seconds before any other got its turn.
it('reads one connection in a pass, in turn', () => {
  const {reads, runPass} = createReads();
  const order: string[] = [];
  const reading = (name: string) => {
    const read = () => {
      order.push(name);
      reads.add(read);
    };
    return read;
  };
  for (const name of ['a', 'b', 'c']) reads.add(reading(name));
  for (let i = 0; i < 5; i++) runPass();
  expect(order).toEqual(['a', 'b', 'c', 'a', 'b']);
});

// One request alone is to be served as fast as its bytes can be parsed.
it('spaces the reads of several connections, not those of one', () => {
  const {reads, delays, runPass} = createReads();
  const read = () => reads.add(read);
  reads.add(read);
  runPass();
  runPass();
  expect(delays).toEqual([undefined, undefined, undefined]);
  reads.add(() => undefined);
  runPass();
  expect(delays.at(-1)).toBeGreaterThan(0);
});

it('does not read a connection that was removed', () => {
  const {reads, runPass} = createReads();
  let count = 0;
  const read = () => (count += 1);
  reads.add(read);
  reads.remove(read);
  runPass();
  expect(count).toBe(0);
});
