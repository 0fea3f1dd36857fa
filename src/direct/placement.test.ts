import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../core/index.js';
import {
  LeastLoadedGroupPolicy,
  ExpectedWaitPolicy,
  LoadTracker,
  UpstreamTable,
} from './index.js';
import type {Upstream} from './index.js';

const ASSISTANT = serviceName('assistant');

describe('placement', () => {
  const upstreams = (count: number) => {
    const table = new UpstreamTable();
    for (let i = 0; i < count; i++) {
      const zone = availabilityZone(i % 3 === 0 ? 'a' : 'b');
      table.register(0, testRegistration(`u${i}`, {availabilityZone: zone}));
    }
    return table.forService(ASSISTANT);
  };
  const zone = availabilityZone('a');
  const oneGroup = {groupOf: () => 'g', slowdownOf: () => 1};

  it('balances streams over groups, regardless of the zones of their callers', () => {
    // Sixty entries with a few streams each, two thirds of them in one zone.
    const ranks = upstreams(72);
    const view = {
      ...oneGroup,
      groupOf: ({registration: entry}: Upstream) => entry.availabilityZone,
    };
    const streams = new Map<string, number>();
    const chance = new Chance(9);
    for (let entry = 0; entry < 60; entry++) {
      const loads = new LoadTracker();
      const own = availabilityZone(entry % 3 === 0 ? 'b' : 'a');
      const policy = new LeastLoadedGroupPolicy(loads, own, view);
      for (let i = 0; i < 8; i++) {
        const rank = policy.choose(0, {promptTokens: 800}, ranks, chance)!;
        loads.recordSent(rank.incarnation, 800);
        const group = view.groupOf(rank);
        streams.set(group, (streams.get(group) ?? 0) + 1);
      }
    }
    // Zone a has a third of the ranks and gets a third of the streams.
    const share = streams.get('a')! / (60 * 8);
    expect(share).toBeGreaterThan(0.28);
    expect(share).toBeLessThan(0.42);
  });

  it('balances streams evenly over the ranks of all zones', () => {
    const loads = new LoadTracker();
    const policy = new LeastLoadedGroupPolicy(loads, zone, oneGroup);
    const ranks = upstreams(12);
    const chance = new Chance(5);
    for (let i = 0; i < 48; i++) {
      const rank = policy.choose(0, {promptTokens: 800}, ranks, chance)!;
      loads.recordSent(rank.incarnation, 800);
    }
    const counts = ranks.map(r => loads.loadOf(r.incarnation).inFlight);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
  });

  it('sends streams to a slow rank only once the others are full', () => {
    const loads = new LoadTracker();
    const ranks = upstreams(4);
    const paceOf = (of: Upstream) => (of === ranks[2] ? 8 : 1);
    const policy = new LeastLoadedGroupPolicy(loads, zone, {
      ...oneGroup,
      slowdownOf: paceOf,
    });
    const chance = new Chance(5);
    for (let i = 0; i < 12; i++) {
      const rank = policy.choose(0, {promptTokens: 800}, ranks, chance)!;
      loads.recordSent(rank.incarnation, 800);
    }
    const counts = ranks.map(r => loads.loadOf(r.incarnation).inFlight);
    expect(counts).toEqual([4, 4, 0, 4]);
  });

  it('avoids an upstream that fails or is slow', () => {
    const loads = new LoadTracker();
    const policy = new ExpectedWaitPolicy(loads, zone);
    const [bad, slow, good] = upstreams(3);
    for (let i = 0; i < 20; i++) {
      loads.recordSent(bad!.incarnation, 0);
      loads.recordEnded(
        i,
        bad!.incarnation,
        0,
        i % 2 === 0 ? 'bad' : 'good',
        20,
      );
      loads.recordSent(slow!.incarnation, 0);
      loads.recordEnded(i, slow!.incarnation, 0, 'good', 200);
      loads.recordSent(good!.incarnation, 0);
      loads.recordEnded(i, good!.incarnation, 0, 'good', 25);
    }
    const chance = new Chance(2);
    const chosen = policy.choose(
      50,
      {promptTokens: 0},
      [bad!, slow!, good!],
      chance,
    );
    expect(chosen).toBe(good);
  });

  it('backs off exponentially from an unreachable upstream', () => {
    const loads = new LoadTracker();
    const [first] = upstreams(1);
    const {incarnation} = first!;
    const suspendedAfter = (now: number) => {
      loads.recordSent(incarnation, 0);
      loads.recordEnded(now, incarnation, 0, 'unreachable');
      let at = now;
      while (loads.isSuspended(at, incarnation)) at += 10;
      return at - now;
    };
    expect(suspendedAfter(0)).toBe(500);
    expect(suspendedAfter(1_000)).toBe(1_000);
    expect(suspendedAfter(5_000)).toBe(2_000);
    loads.recordSent(incarnation, 0);
    loads.recordEnded(9_000, incarnation, 0, 'good');
    expect(suspendedAfter(10_000)).toBe(500);
  });
});
