import {describe, expect, it} from 'vitest';

import {LockstepEngine} from '../../../standins/lockstep_engine.js';
import {LockstepSimulation} from '../../../test/support/lockstep_simulation.js';
import type {FaultPlan} from '../../../test/support/lockstep_simulation.js';
import {testReport} from '../../../test/support/rank_samples.js';
import {
  CutoverCoordinator,
  RANKS_PER_ROUND,
  fenceVersion,
  firstToken,
  nextToken,
  rankOfToken,
} from './index.js';
import type {CutoverOrder, IssuedOrder, RankReport} from './index.js';
import {VersionFence} from './version_fence.js';

const RANKS = 4;
const STEP = 7;
const HELD = 8;
const IN_USE = [[[0], [1], [2], [3]]];
const PLANNED = [[[0, 1], [1], [2], [3]]];

/** An idle group of engines that check no tokens, left amid a switch. */
class AbandonedGroup {
  readonly version = firstToken(1, 0);
  readonly engines: LockstepEngine[] = [];
  private now = 0;

  /** @param armed - ranks that the former coordinator has armed */
  constructor(armed: readonly number[]) {
    for (let rank = 0; rank < RANKS; rank++) {
      this.engines.push(new LockstepEngine(0, false, IN_USE));
      this.apply(rank, this.former('prepare'));
      if (armed.includes(rank)) this.apply(rank, this.former('arm'));
    }
    this.apply(1, {kind: 'hold', step: HELD});
  }

  /** Returns an order of the former coordinator. */
  former(kind: 'prepare' | 'arm'): CutoverOrder {
    return kind === 'arm'
      ? {kind, map: this.version, step: HELD}
      : {kind, map: this.version, experts: PLANNED};
  }

  apply(rank: number, order: CutoverOrder, token = this.version) {
    return this.engines[rank]!.applyOrder(this.now, STEP, order, token);
  }

  report(rank: number): RankReport {
    const {map, prepared, armed, heldAt} = this.engines[rank]!;
    const state = {map, prepared, armed: armed?.map ?? null, heldAt};
    return testReport(rank, {...state, size: RANKS, step: STEP});
  }

  /**
   * Lets a successor clean up; its orders are executed at once.
   * @param before - called before each of them
   */
  cleanUp(
    successor: CutoverCoordinator,
    before: (given: IssuedOrder) => void = () => undefined,
  ): CutoverOrder[] {
    const orders: CutoverOrder[] = [];
    for (let round = 0; round < 20 && successor.phase !== 'idle'; round++) {
      this.now += 60;
      for (let rank = 0; rank < RANKS; rank++)
        successor.recordReport(this.now, this.report(rank));
      for (const given of successor.tick(this.now)) {
        before(given);
        orders.push(given.order);
        const outcome = this.apply(given.rank, given.order, given.token);
        const report = this.report(given.rank);
        successor.recordOutcome(this.now, given, outcome, report);
      }
    }
    return orders;
  }
}

const successorWith = (lookup?: () => typeof IN_USE | undefined) =>
  new CutoverCoordinator(1, RANKS, 2, 0, lookup);

describe('CutoverCoordinator of engines that check no tokens', () => {
  it('lets no late order of a killed coordinator arm a rank of an idle group', () => {
    const group = new AbandonedGroup([1, 3]);
    const successor = successorWith(() => IN_USE);
    group.cleanUp(successor);
    expect(successor.phase).toBe('idle');
    for (let rank = 0; rank < RANKS; rank++) {
      expect(group.apply(rank, group.former('arm'))).toBe('refused');
      expect(group.apply(rank, group.former('prepare'))).toBe('refused');
      expect(group.apply(rank, group.former('arm'))).toBe('refused');
      expect(group.report(rank)).toMatchObject({armed: null, heldAt: null});
    }
  });

  it('does not disarm ranks that the former coordinator can still release', () => {
    // It arms the last rank, sees all armed, and releases the group, as the
    // successor has just seen that rank unarmed.
    const group = new AbandonedGroup([1, 2, 3]);
    const successor = successorWith(() => IN_USE);
    const orders = group.cleanUp(successor, ({order}) => {
      if (order.kind !== 'prepare' || group.engines[0]!.armed !== null) return;
      group.apply(0, group.former('arm'));
      group.apply(1, {kind: 'release', step: HELD});
    });
    const disarmed = orders.filter(
      order => order.kind === 'disarm' && order.map === group.version,
    );
    expect(disarmed).toEqual([]);
    expect(group.engines.map(({armed}) => armed?.map)).toEqual(
      Array.from({length: RANKS}, () => group.version),
    );
  });

  it('cleans up as before while the map in use is not known', () => {
    const unknown = new AbandonedGroup([1, 3]);
    const orders = unknown.cleanUp(successorWith(() => undefined));
    expect(orders).toEqual(new AbandonedGroup([1, 3]).cleanUp(successorWith()));
  });

  it('fences an idle group once the map in use becomes known', () => {
    const group = new AbandonedGroup([1, 3]);
    const known: (typeof IN_USE)[] = [];
    const successor = successorWith(() => known[0]);
    group.cleanUp(successor);
    expect(group.report(0).prepared).toBe(group.version);
    known.push(IN_USE);
    successor.tick(5_000);
    expect(successor.phase).toBe('recovering');
    group.cleanUp(successor);
    expect(group.report(0).prepared).toBeGreaterThan(group.version);
  });

  it('does not take a fence for the switch of a coordinator that stands still', () => {
    // Rank 1 coordinates, has fenced the others, and stands still with its
    // VM while its own rank is still armed by the first coordinator.
    const fenced = fenceVersion(firstToken(2, 1));
    const next = new CutoverCoordinator(2, RANKS, 3, 0, () => IN_USE);
    const others = [0, 2, 3].map(rank =>
      testReport(rank, {size: RANKS, prepared: fenced, heldAt: HELD}),
    );
    for (const report of others) next.recordReport(0, report);
    const orders: IssuedOrder[] = [];
    for (let now = 0; now < 600; now += 60) {
      for (const given of next.tick(now)) {
        orders.push(given);
        const report = others.find(({rank}) => rank === given.rank)!;
        const prepared = fenceVersion(firstToken(3, 2));
        next.recordOutcome(now, given, 'accepted', {...report, prepared});
      }
    }
    expect(orders.length).toBeGreaterThan(0);
    expect(orders.filter(({order}) => order.kind === 'release')).toEqual([]);
  });

  it('resigns when a rank has a map of a newer claim', () => {
    const former = new CutoverCoordinator(0, RANKS, 1, 0, () => IN_USE);
    const prepared = firstToken(2, 1);
    former.recordReport(0, testReport(2, {size: RANKS, prepared}));
    expect(former.phase).toBe('resigned');
  });

  const NO_FAULTS: FaultPlan = {
    lateOrders: 0,
    lostAnswers: 0,
    lateReports: 0,
    pauses: [],
    claims: [],
    restarts: [],
    checksFencing: false,
  };
  const held = {after: 5_000, forMs: 2_500, next: 400};
  const cases: [string, Partial<FaultPlan>][] = [
    ['two that live', {claims: [7_000]}],
    ['successive ones', {lateOrders: 0.3, claims: [4_000, 4_100, 9_000]}],
    ['late reports', {lateOrders: 0.3, lateReports: 0.6, claims: [7_000]}],
    ['lost answers', {lateOrders: 0.2, lostAnswers: 0.2, claims: [7_000]}],
    [
      'a restarting group',
      {lateOrders: 0.3, claims: [7_000], restarts: [7_100, 9_000]},
    ],
    [
      'a paused coordinator, which resumes',
      {lateOrders: 0.3, pauses: [[6_000, 1_500]], claims: [7_000]},
    ],
    [
      'a VM that is paused at a hold',
      {lateOrders: 0.2, claims: [6_000, 9_000], pauseAtHold: held},
    ],
    [
      'an idle group',
      {lateOrders: 0.3, claims: [7_000], idle: [[6_900, 4_000]]},
    ],
    [
      'a killed one',
      {lateOrders: 0.3, claims: [7_400], ends: [7_000], idle: [[7_000, 7_000]]},
    ],
  ];

  it.each(cases)('never begins a pass with two maps: %s', (_name, faults) => {
    const mixed: number[] = [];
    for (let seed = 1; seed <= 24; seed++) {
      const simulation = new LockstepSimulation(seed, {
        ...NO_FAULTS,
        ...faults,
      });
      simulation.run(24_000);
      if (simulation.mixedPasses > 0) mixed.push(seed);
    }
    expect(mixed).toEqual([]);
  });
});

describe('fence versions', () => {
  it('are above their token, below the next one, and name no rank', () => {
    const token = firstToken(2, 5);
    expect(fenceVersion(token)).toBeGreaterThan(token);
    expect(fenceVersion(token)).toBeLessThan(nextToken(token)!);
    expect(rankOfToken(fenceVersion(token))).toBe(RANKS_PER_ROUND - 1);
  });
});

describe('VersionFence', () => {
  const report = (prepared: number | null, armed: number | null = null) =>
    testReport(0, {prepared, armed});

  it('orders the map in use under its own version, once all ranks use one', () => {
    const fence = new VersionFence(map => (map === 5 ? IN_USE : undefined));
    expect(fence.order(9, [])).toBeUndefined();
    expect(fence.order(9, [testReport(0, {map: 4})])).toBeUndefined();
    const used = testReport(0, {map: 5});
    expect(fence.order(9, [used, testReport(1, {map: 4})])).toBeUndefined();
    const order = {kind: 'prepare', map: 9, experts: IN_USE};
    expect(fence.order(9, [used])).toEqual(order);
    expect(fence.order(10, [used])).toEqual({...order, map: 10});
  });

  it('holds for unarmed ranks that have the version, or have accepted it', () => {
    const fence = new VersionFence(() => IN_USE);
    expect(fence.has(report(8), 9)).toBe(false);
    expect(fence.has(report(9), 9)).toBe(true);
    expect(fence.has(report(9, 9), 9)).toBe(false);
    expect(fence.has(report(null), 9)).toBe(false);
    fence.recordAnswer(0, 9, true, report(null));
    expect(fence.has(report(null), 9)).toBe(true);
    fence.remove(0);
    expect(fence.has(report(null), 9)).toBe(false);
  });

  it('does not wait for a rank that keeps refusing though it is not armed', () => {
    const fence = new VersionFence(() => IN_USE);
    for (let i = 0; i < 9; i++) fence.recordAnswer(0, 9, false, report(8, 8));
    expect(fence.has(report(8), 9)).toBe(false);
    for (let i = 0; i < 5; i++) fence.recordAnswer(0, 9, false, report(10));
    expect(fence.has(report(10), 9)).toBe(true);
  });
});
