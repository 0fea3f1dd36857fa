import {describe, expect, it} from 'vitest';

import {
  BALANCED_SKEW,
  replay,
  shiftingSkew,
} from '../../../../test/support/entry_replay.js';
import type {
  ReplayLoad,
  ReplayPolicies,
  ReplayResult,
} from '../../../../test/support/entry_replay.js';

const SEEDS = [1, 2, 3, 4];

/** Returns the results of all seeds together. */
function total(
  load: Omit<ReplayLoad, 'seed'>,
  policies: Partial<ReplayPolicies> = {},
): ReplayResult {
  const sum: ReplayResult = {inTime: 0, late: 0, lost: 0, rejections: []};
  for (const seed of SEEDS) {
    const result = replay({...load, seed}, policies);
    sum.inTime += result.inTime;
    sum.late += result.late;
    sum.lost += result.lost;
    sum.rejections.push(...result.rejections);
  }
  return sum;
}

const callers = ({inTime, late, lost}: ReplayResult) => inTime + late + lost;
const shareInTime = (result: ReplayResult) => result.inTime / callers(result);
const shareServed = (result: ReplayResult) => 1 - result.lost / callers(result);

describe('Dispatcher while demand shifts', () => {
  // The skew of the old map makes each pass of a nearly full group longer than
  // the gap that streams may have, and arrivals make it longer still.
  const shifts = {
    entries: 8,
    perSecond: 42,
    duration: 20_000,
    skew: shiftingSkew(3_900, 3.4),
  };

  it.each([4, 8, 40])(
    'keeps more streams in time, with %i entries',
    entries => {
      const limited = total({...shifts, entries});
      const unlimited = total({...shifts, entries}, {limitsStreams: false});
      expect(shareInTime(limited)).toBeGreaterThan(shareInTime(unlimited));
      expect(shareServed(limited)).toBeGreaterThan(0.97);
    },
  );

  it('keeps two thirds of the streams in time with few entries', () => {
    // 0.60 of them are in time without a limit on streams.
    expect(shareInTime(total(shifts))).toBeGreaterThan(2 / 3);
  });

  it('delays no stream while the gaps are below their target', () => {
    const calm = {...shifts, perSecond: 36, skew: () => BALANCED_SKEW};
    const {late, rejections} = total(calm);
    expect(late).toBe(0);
    expect(rejections).toEqual([]);
  });

  it('loses no more callers when no number of streams meets the target', () => {
    // One slow rank makes every pass longer than the target.
    const slow = {...shifts, perSecond: 6, skew: () => 30};
    const limited = total(slow);
    const unlimited = total(slow, {limitsStreams: false});
    expect(shareServed(limited)).toBeGreaterThan(shareServed(unlimited) - 0.1);
  });
});

describe('Dispatcher before a group that is down', () => {
  const outage = (from: number, until: number) => ({
    entries: 8,
    perSecond: 36,
    duration: 20_000,
    skew: () => BALANCED_SKEW,
    isBroken: (now: number) => now >= from && now < until,
  });

  it.each([8, 40])('sends as soon as it recovers, with %i entries', entries => {
    const {rejections} = total({...outage(5_000, 10_000), entries});
    const after = rejections.filter(({at}) => at >= 10_000);
    expect(rejections.length).toBeGreaterThan(36 * 4 * SEEDS.length);
    // An entry learns of the recovery from its next request.
    expect(after.length).toBeLessThan(36 * 0.1 * SEEDS.length);
  });

  it('lets the retries of callers reach the end of a short outage', () => {
    // Retry-After is a third of what callers have left, 2.7 of 8 seconds.
    const {lost} = total(outage(5_000, 7_400));
    expect(lost).toBeLessThan(0.05 * 36 * 2.4 * SEEDS.length);
  });

  it('rejects at once while it is down, whatever its duration', () => {
    const {rejections} = total(outage(5_000, 17_000));
    expect(rejections.length).toBeGreaterThan(36 * 11 * SEEDS.length);
    expect(Math.max(...rejections.map(({waited}) => waited))).toBeLessThan(100);
  });
});
