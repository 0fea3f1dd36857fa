import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {incarnation} from '../core/index.js';
import {UpstreamLimits} from './index.js';

const UPSTREAM = incarnation('i-1@1');
const TICK = 25;
/** Time after which the limit has to hold. */
const SETTLING_TIME = 4_000;
const WINDOW = 4_000;

/** Most requests that an upstream may get in one window. */
const allowedIn = (rate: number) => 1.5 * rate * (WINDOW / 1_000) + 5;

interface Load {
  readonly entries: number;
  readonly rate: number;
  /** Requests per second at each entry, if it is not limited. */
  readonly demand: number;
  /** Time without requests before a peak. */
  readonly idle: number;
  /** Number of entries that are added as the peak begins. */
  readonly added: number;
  /** Difference of the entries' wall clocks, ms. */
  readonly skew: number;
}

/** Returns the times of the requests that an upstream gets from all entries. */
function replay({entries, rate, demand, idle, added, skew}: Load): number[] {
  const all = Array.from({length: entries}, (_, index) => {
    const limits = new UpstreamLimits();
    limits.setShare({index, count: entries});
    limits.recordNamed(0, index % 2 === 0 ? skew : 0, UPSTREAM, rate);
    return limits;
  });
  const sent: number[] = [];
  const end = 2 * idle + 30_000;
  for (let now = TICK; now < end; now += TICK) {
    const isIdle = now % (idle + 10_000) < idle;
    if (now === idle + 10_000 && added > 0) {
      const count = entries + added;
      for (let index = entries; index < count; index++) {
        const limits = new UpstreamLimits();
        limits.setShare({index, count});
        limits.recordNamed(now, now, UPSTREAM, rate);
        all.push(limits);
      }
    }
    // The entries that were there learn of the others some seconds later.
    if (now === idle + 13_000) {
      all.forEach((limits, index) =>
        limits.setShare({index, count: all.length}),
      );
    }
    if (isIdle) continue;
    for (const limits of all) {
      for (let i = 0; i < Math.ceil((demand * TICK) / 1_000); i++) {
        if (!limits.allows(now, UPSTREAM)) break;
        limits.recordSent(now, UPSTREAM);
        sent.push(now);
      }
    }
  }
  return sent.filter(at => at >= SETTLING_TIME);
}

function mostInWindow(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((at, i) => {
    while (times[first]! < at - WINDOW) first += 1;
    most = Math.max(most, i - first + 1);
  });
  return most;
}

describe('UpstreamLimits', () => {
  it('keeps the sum of all entries within the limit in every window', () => {
    fc.assert(
      fc.property(
        fc.record({
          entries: fc.integer({min: 1, max: 98}),
          rate: fc.oneof(
            fc.double({min: 0, max: 3, noNaN: true}),
            fc.double({min: 0, max: 60, noNaN: true}),
          ),
          demand: fc.constantFrom(2, 40, 400),
          idle: fc.constantFrom(0, 5_000, 60_000),
          added: fc.constant(0),
          skew: fc.constantFrom(0, 300, 2_000),
        }),
        load => {
          const most = mostInWindow(replay(load));
          expect(most).toBeLessThanOrEqual(allowedIn(load.rate));
        },
      ),
      {seed: 35, numRuns: 60},
    );
  });

  it.each([
    [6, 2, 1.4],
    [8, 4, 3],
    [42, 16, 1.1],
    [42, 16, 20],
  ])(
    'stays within the limit while %s entries become %s more (limit %s)',
    (entries, added, rate) => {
      const load = {entries, rate, added, demand: 40, idle: 5_000, skew: 0};
      const most = mostInWindow(replay(load));
      expect(most).toBeLessThanOrEqual(allowedIn(rate));
    },
  );

  it.each([
    [1, 4],
    [6, 1.4],
    [42, 1.1],
    [42, 60],
  ])('lets %s entries use most of a limit of %s', (entries, rate) => {
    const load = {entries, rate, added: 0, demand: 40, idle: 0, skew: 0};
    const sent = replay(load);
    const seconds = (30_000 - SETTLING_TIME) / 1_000;
    expect(sent.length / seconds).toBeGreaterThan(0.8 * rate);
    expect(sent.length / seconds).toBeLessThan(1.1 * rate + 0.2);
  });

  it('sends an upstream with a limit of 0 only trials', () => {
    const sent = replay({
      ...{entries: 1, rate: 0, added: 0, demand: 40, idle: 0, skew: 0},
    });
    expect(sent.length).toBeGreaterThan(0);
    expect(mostInWindow(sent)).toBe(1);
  });

  it('applies the lowest of several limits until it is outdated', () => {
    const limits = new UpstreamLimits();
    expect(limits.recordNamed(0, 0, UPSTREAM, 2)).toBe(true);
    expect(limits.recordNamed(1_000, 1_000, UPSTREAM, 9)).toBe(false);
    expect(limits.rateOf(UPSTREAM)).toBe(2);
    expect(limits.recordNamed(2_000, 2_000, UPSTREAM, 1)).toBe(true);
    expect(limits.recordNamed(5_900, 5_900, UPSTREAM, 9)).toBe(false);
    expect(limits.recordNamed(6_100, 6_100, UPSTREAM, 9)).toBe(true);
    expect(limits.rateOf(UPSTREAM)).toBe(9);
  });

  it('ends with the response to a request that was sent under the limit', () => {
    const limits = new UpstreamLimits();
    limits.recordNamed(1_000, 1_000, UPSTREAM, 2);
    // This request was sent before the limit was named.
    expect(limits.recordUnnamed(1_100, UPSTREAM, 900)).toBe(false);
    expect(limits.recordUnnamed(1_200, UPSTREAM, 1_050)).toBe(true);
    expect(limits.allows(1_200, UPSTREAM)).toBe(true);
    expect(limits.size).toBe(0);
  });

  it('takes the later of what it and other entries have seen', () => {
    const limits = new UpstreamLimits();
    const report = {upstream: UPSTREAM, rate: 3};
    expect(limits.merge(1_000, 1_000, {...report, age: 10})).toBe(true);
    const end = {upstream: UPSTREAM, rate: undefined};
    expect(limits.merge(1_100, 1_100, {...end, age: 200})).toBe(false);
    expect(limits.merge(1_100, 1_100, {...end, age: 10})).toBe(true);
    // This report was on its way as the limit ended.
    expect(limits.merge(1_150, 1_150, {...report, age: 100})).toBe(false);
    expect(limits.rateOf(UPSTREAM)).toBeUndefined();
  });

  it('sends little until it knows how many entries share the limit', () => {
    const limits = new UpstreamLimits();
    limits.recordNamed(0, 0, UPSTREAM, 2);
    let sent = 0;
    for (let now = TICK; now < 30_000; now += TICK) {
      if (!limits.allows(now, UPSTREAM)) continue;
      limits.recordSent(now, UPSTREAM);
      sent += 1;
    }
    expect(sent).toBeLessThanOrEqual(2);
  });

  it('forgets upstreams that are gone', () => {
    const limits = new UpstreamLimits();
    limits.recordNamed(0, 0, UPSTREAM, 2);
    limits.prune(() => false);
    expect(limits.size).toBe(0);
  });
});
