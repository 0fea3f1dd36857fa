import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {RequestSpans} from './request_spans.js';

const WINDOW = 4_000;

function spansOf(times: readonly number[]): RequestSpans {
  const spans = new RequestSpans();
  for (const at of times) spans.record(at, WINDOW);
  return spans;
}

describe('RequestSpans', () => {
  it('counts nearly all requests of a steady load, and none until it lasts a window', () => {
    const times = Array.from({length: 120}, (_, i) => i * 100);
    const spans = spansOf(times);
    expect(spans.leastIn(11_999, WINDOW)).toBe(37);
    expect(spans.leastIn(4_000, WINDOW)).toBe(0);
  });

  it('never exceeds the requests of a window that ends within the last one', () => {
    const times = fc.array(fc.integer({min: 0, max: 20_000}), {maxLength: 40});
    const end = fc.integer({min: 0, max: WINDOW});
    const property = fc.property(times, end, (some, before) => {
      const ordered = some.sort((a, b) => a - b);
      const until = 20_000 - before;
      const inWindow = ordered.filter(at => at > until - WINDOW && at <= until);
      const least = spansOf(ordered).leastIn(20_000, WINDOW);
      expect(least).toBeLessThanOrEqual(inWindow.length);
    });
    fc.assert(property, {seed: 20_261_206, numRuns: 500});
  });
});
