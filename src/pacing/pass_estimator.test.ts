import {describe, expect, it} from 'vitest';

import {PassEstimator} from './pass_estimator.js';

const IDLE = 40;

/** Records passes of these lengths, each seen by three streams. */
function estimateOf(lengths: readonly number[]) {
  const passes = new PassEstimator(IDLE);
  let now = 0;
  for (const length of lengths) {
    now += length;
    for (const jitter of [0, 1, 3])
      passes.record(now + jitter, length + jitter);
  }
  passes.settle(now + 30);
  return {passes, now, estimate: passes.estimate!};
}

const steady = (count: number, length = 80) =>
  Array.from({length: count}, () => length);

describe('PassEstimator', () => {
  it('hardly follows a single long pass, as while the group is held', () => {
    const {estimate} = estimateOf([...steady(40), 300, ...steady(3)]);
    expect(estimate.length).toBeLessThan(85);
    expect(estimate.tail).toBeLessThan(1.1);
  });

  it('follows passes that stay long', () => {
    const {estimate} = estimateOf([...steady(40), ...steady(12, 160)]);
    expect(estimate.length).toBeGreaterThan(140);
  });

  it('knows how much longer than usual the longest passes are', () => {
    const lengths = Array.from({length: 100}, (_, i) =>
      i % 10 === 0 ? 100 : 80,
    );
    // The streams' part is 60 ms instead of 40 to 42.
    const {tail} = estimateOf(lengths).estimate;
    expect(tail).toBeGreaterThan(60 / 42);
    expect(tail).toBeLessThanOrEqual(60 / 40);
  });

  it('learns no tail from nearly idle passes, which would limit the next load', () => {
    const idle = Array.from({length: 200}, (_, i) => IDLE + (i % 7));
    expect(estimateOf([...idle, ...steady(15, 70)]).estimate.tail).toBe(1.3);
  });

  it('sees a rise before the length has followed it', () => {
    const rising = Array.from({length: 20}, (_, i) => 60 + 2 * i);
    expect(estimateOf(rising).estimate.trend).toBeGreaterThan(0.01);
  });

  it('forgets the length once no gaps are seen', () => {
    const {passes, now} = estimateOf(steady(10));
    passes.settle(now + 1_100);
    expect(passes.estimate).toBeUndefined();
  });
});
