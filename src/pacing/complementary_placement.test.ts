import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../test/support/direct_samples.js';
import {ENGINE} from '../../test/support/pacing_load.js';
import {Chance, availabilityZone, incarnation} from '../core/index.js';
import {LeastLoadedGroupPolicy, LoadTracker} from '../direct/index.js';
import type {PlacementPolicy, Upstream} from '../direct/index.js';
import {ComplementaryPolicy} from './index.js';

const ZONE = availabilityZone('a');
const PROMPT_TOKENS = 830;
const STEP = 10;

interface Estate {
  readonly entries: number;
  readonly ranks: number;
  /** Streams of each entry. */
  readonly streams: number;
  readonly isComplementary: boolean;
  /** Slowdown factor of a rank in the view of an entry. */
  readonly slowdown?: (rank: number, entry: number, now: number) => number;
  /** Number of entries in the view of an entry. */
  readonly countSeen?: (entry: number, now: number) => number;
  /** Whether a rank accepts requests in the view of an entry. */
  readonly accepts?: (rank: number, entry: number) => boolean;
}

/** Returns the load of each rank every 100 ms, of streams that last 2 s. */
function loadsOver(estate: Estate): number[][] {
  const {entries, ranks, streams, slowdown = () => 1} = estate;
  const chance = new Chance(7);
  const upstreams: Upstream[] = Array.from({length: ranks}, (_, i) => ({
    registration: testRegistration(`rank-${String(i).padStart(2, '0')}`),
    incarnation: incarnation(`rank-${i}@1`),
    warmAt: 0,
    registeredAt: 0,
    isRestart: false,
  }));
  let now = 0;
  const nodes = Array.from({length: entries}, (_, entry) => {
    const loads = new LoadTracker();
    const view = {
      groupOf: () => 'g',
      slowdownOf: (rank: Upstream) =>
        slowdown(upstreams.indexOf(rank), entry, now),
      upstreamsOf: () => upstreams,
      pacingOf: () => ({engine: ENGINE, gapTarget: 120}),
    };
    const complementary = new ComplementaryPolicy(loads, ZONE, view);
    const policy: PlacementPolicy = estate.isComplementary
      ? complementary
      : new LeastLoadedGroupPolicy(loads, ZONE, view);
    const candidates = upstreams.filter(
      (_, rank) => estate.accepts?.(rank, entry) ?? true,
    );
    return {entry, loads, policy, complementary, candidates};
  });
  const onRank = new Array<number>(ranks).fill(0);
  const samples: number[][] = [];
  const ends: {at: number; end: () => void}[] = [];
  for (; now < 20_000; now += STEP) {
    for (const one of ends.filter(({at}) => at <= now)) {
      one.end();
      ends.splice(ends.indexOf(one), 1);
    }
    for (const {entry, loads, policy, complementary, candidates} of nodes) {
      if (chance.fraction() >= (streams * STEP) / 2_000) continue;
      const count = estate.countSeen?.(entry, now) ?? entries;
      complementary.setShare({index: Math.min(entry, count - 1), count});
      const req = {promptTokens: PROMPT_TOKENS};
      const rank = policy.choose(now, req, candidates, chance)!;
      const at = upstreams.indexOf(rank);
      loads.recordSent(rank.incarnation, PROMPT_TOKENS);
      onRank[at]! += 1;
      const end = () => {
        loads.recordEnded(0, rank.incarnation, PROMPT_TOKENS, 'good');
        onRank[at]! -= 1;
      };
      const span = -Math.log(1 - chance.fraction()) * 2_000;
      ends.push({at: now + span, end});
    }
    if (now >= 5_000 && now % 100 === 0) samples.push([...onRank]);
  }
  return samples;
}

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;
/** Mean over time of the load of the most loaded rank over that of all. */
const peakOverMean = (samples: readonly number[][]) =>
  mean(samples.map(loads => Math.max(...loads) / mean(loads)));
/** Mean load of a rank over the mean load of all. */
const partOf = (samples: readonly number[][], rank: number) =>
  mean(samples.map(loads => loads[rank]!)) / mean(samples.map(mean));

describe('placement of the streams of many entries', () => {
  it.each([
    {entries: 14, ranks: 72, streams: 20},
    {entries: 38, ranks: 63, streams: 8},
    {entries: 38, ranks: 72, streams: 5},
  ])('lowers the peak load: $entries entries, $ranks ranks', size => {
    const before = peakOverMean(loadsOver({...size, isComplementary: false}));
    const after = peakOverMean(loadsOver({...size, isComplementary: true}));
    // Entries that choose independently load a rank as by random choice.
    expect(before).toBeGreaterThan(1.6);
    expect(after - 1).toBeLessThan(0.75 * (before - 1));
  });

  const size = {entries: 38, ranks: 63, streams: 8, isComplementary: true};

  it('stays even while entries disagree on their number', () => {
    // Half of the entries learn 3 s later that ten of them have joined.
    const countSeen = (entry: number, now: number) =>
      entry % 2 === 0 && now < 13_000 ? 28 : 38;
    const independent = loadsOver({...size, isComplementary: false});
    const samples = loadsOver({...size, countSeen});
    expect(peakOverMean(samples)).toBeLessThan(peakOverMean(independent));
  });

  it('gives slow ranks the streams that they run in the time of the others', () => {
    // At 102 ms a healthy rank has 61 ms for streams and the slow ones less.
    const factors = new Map([
      [5, 1.3],
      [9, 1.6],
      [20, 5],
    ]);
    const slowdown = (rank: number) => factors.get(rank) ?? 1;
    const samples = loadsOver({...size, slowdown});
    expect(partOf(samples, 5)).toBeLessThan(0.85);
    expect(partOf(samples, 9)).toBeLessThan(0.55);
    expect(partOf(samples, 20)).toBe(0);
    expect(partOf(samples, 5)).toBeGreaterThan(partOf(samples, 9));
  });

  it('does not oscillate when entries learn of a slow rank at different times', () => {
    // Each entry sees the pace of a flapping rank up to 2 s late.
    const slowdown = (rank: number, entry: number, now: number) => {
      const seen = now - (entry % 5) * 500;
      return rank === 5 && Math.floor(seen / 3_000) % 2 === 1 ? 5 : 1;
    };
    const samples = loadsOver({...size, slowdown});
    const ofRank = samples.map(loads => loads[5]!);
    const ofAll = mean(samples.map(mean));
    // It returns to its load without more, and the others hardly notice.
    expect(Math.max(...ofRank)).toBeLessThan(2 * ofAll);
    const calm = peakOverMean(loadsOver(size));
    expect(peakOverMean(samples)).toBeLessThan(1.1 * calm);
  });

  it('uses the other ranks evenly when some accept no requests', () => {
    // As after a zone was evacuated: a third of the ranks is no candidate.
    const accepts = (rank: number) => rank % 3 !== 0;
    const samples = loadsOver({...size, accepts});
    const accepting = samples.map(loads => loads.filter((_, i) => accepts(i)));
    const independent = loadsOver({...size, accepts, isComplementary: false});
    const before = independent.map(loads => loads.filter((_, i) => accepts(i)));
    expect(peakOverMean(accepting)).toBeLessThan(peakOverMean(before));
    expect(partOf(samples, 0)).toBe(0);
  });
});
