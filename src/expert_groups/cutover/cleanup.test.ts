import {describe, expect, it} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {FencedReports, OrphanDetector, nextCleanupStep} from './cleanup.js';
import {firstToken} from './tokens.js';
import type {RankReport} from './types.js';

/** A map made by the coordinator on rank 2. */
const VERSION = firstToken(3, 2);

const report = (rank: number, change: Partial<RankReport>): RankReport =>
  testReport(rank, {size: 4, prepared: VERSION, ...change});

function fenced(...reports: RankReport[]): FencedReports {
  const result = new FencedReports();
  for (const one of reports) result.add(one);
  return result;
}

const armed = (rank: number) => report(rank, {armed: VERSION});
const unarmed = (rank: number) => report(rank, {});
const holding = (rank: number) => report(rank, {heldAt: 12});

describe('nextCleanupStep', () => {
  it("disarms the local rank of the map's coordinator before others", () => {
    const reports = fenced(armed(0), unarmed(1), armed(2), holding(3));
    expect(nextCleanupStep(reports, [])).toMatchObject({
      kind: 'disarm',
      armed: [{rank: 2}],
    });
    reports.update(unarmed(2));
    expect(nextCleanupStep(reports, [])).toMatchObject({
      kind: 'disarm',
      armed: [{rank: 0}],
    });
    reports.update(unarmed(0));
    expect(nextCleanupStep(reports, [])).toMatchObject({
      kind: 'release',
      held: [{rank: 3}],
    });
  });

  it('proceeds without the rank that is armed last if another was unarmed', () => {
    const reports = fenced(armed(0), unarmed(1), holding(3));
    expect(nextCleanupStep(reports, [2])).toMatchObject({
      kind: 'disarm',
      armed: [{rank: 0}],
    });
    reports.update(unarmed(0));
    expect(nextCleanupStep(reports, [2])).toMatchObject({kind: 'release'});
    reports.update(unarmed(3));
    // The group keeps its map until the rank is back.
    expect(nextCleanupStep(reports, [2])).toEqual({kind: 'wait'});
  });

  const unknown: [string, RankReport[], number[]][] = [
    ['all others are armed', [armed(0), armed(1), armed(3)], [2]],
    ['another rank is missing', [unarmed(0), unarmed(2), holding(3)], [1]],
    ['two are missing', [unarmed(0), holding(3)], [1, 2]],
    [
      'not all others have the map',
      [report(0, {prepared: null}), unarmed(1), holding(3)],
      [2],
    ],
    [
      'one is armed for another map',
      [report(0, {armed: VERSION + 1}), unarmed(1), holding(3)],
      [2],
    ],
  ];
  it.each(unknown)(
    'waits for a rank that may be armed: %s',
    (_, found, gone) => {
      expect(nextCleanupStep(fenced(...found), gone)).toEqual({kind: 'wait'});
    },
  );

  it('ignores a later disarm when deciding whether a rank was found unarmed', () => {
    const reports = fenced(armed(0), armed(1), armed(3));
    reports.update(unarmed(0));
    expect(nextCleanupStep(reports, [2])).toEqual({kind: 'wait'});
  });

  it('starts over when the group restarted between two reports', () => {
    const reports = fenced(unarmed(0), report(1, {epoch: 2}));
    expect(nextCleanupStep(reports, [2, 3])).toEqual({kind: 'look_again'});
  });
});

describe('OrphanDetector', () => {
  it('fires once a hold has been orphaned for half a second', () => {
    const watch = new OrphanDetector();
    expect(watch.shouldClear(0, false)).toBe(false);
    expect(watch.shouldClear(400, true)).toBe(false);
    expect(watch.shouldClear(500, false)).toBe(false);
    expect(watch.shouldClear(1_000, false)).toBe(true);
  });
});
