import {describe, expect, it} from 'vitest';

import {Chance, serviceName} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {SharedRetryBudget} from './index.js';

const ASSISTANT = serviceName('assistant');

/** Spends a retry whose attempt ends at once. */
function spend(budget: SharedRetryBudget, now: Millis): boolean {
  const request = {};
  const isSpent = budget.trySpend(now, ASSISTANT, request);
  budget.settle(now, ASSISTANT, request);
  return isSpent;
}

describe('SharedRetryBudget', () => {
  const bound = {ratio: 0.2, slack: 88, window: 10_000};

  it('keeps all entries within the bound in every window, including restarts', () => {
    // Six entries whose clients retry at once; one entry is killed every 3 s.
    const create = (startedAt: Millis) => {
      const readAt = Infinity;
      const budget = new SharedRetryBudget(bound, () => ({count: 6, readAt}));
      budget.startServing(startedAt);
      budget.join(startedAt, 'restarted');
      return budget;
    };
    const entries = Array.from({length: 6}, () => ({budget: create(-20_000)}));
    const chance = new Chance(7);
    const requests: number[] = [];
    const retries: number[] = [];
    for (let now = 0; now < 40_000; now += 10) {
      if (now % 3_000 === 0) {
        chance.pick(entries).budget = create(now);
      }
      const {budget} = chance.pick(entries);
      budget.recordRequest(now, ASSISTANT);
      requests.push(now);
      for (let i = 0; i < 3; i++) {
        if (spend(budget, now)) retries.push(now);
      }
    }
    const within = (times: number[], from: number) =>
      times.filter(t => t >= from && t < from + bound.window).length;
    for (let from = 0; from <= 30_000; from += 100) {
      const allowed = bound.ratio * within(requests, from) + bound.slack;
      expect(within(retries, from)).toBeLessThanOrEqual(allowed);
    }
    expect(retries.length).toBeGreaterThan(400);
  });

  it('assumes many entries until the number is known', () => {
    const unknown = {count: 1, readAt: undefined};
    const budget = new SharedRetryBudget(bound, () => unknown);
    budget.startServing(-20_000);
    let spent = 0;
    while (spend(budget, 0)) spent += 1;
    expect(spent).toBeLessThanOrEqual(88 / 64);
  });

  it('counts a retry until a window after its attempt has ended', () => {
    const one = {count: 1, readAt: Infinity};
    const least = {...bound, slack: 1.2, ratio: 0};
    const budget = new SharedRetryBudget(least, () => one);
    budget.startServing(0);
    budget.join(0, 'restarted');
    const request = {};
    expect(budget.trySpend(20_000, ASSISTANT, request)).toBe(true);
    expect(spend(budget, 60_000)).toBe(false);
    budget.settle(61_000, ASSISTANT, request);
    budget.settle(62_000, ASSISTANT, request);
    expect(spend(budget, 70_999)).toBe(false);
    expect(budget.trySpend(71_001, ASSISTANT, request)).toBe(true);
    budget.abandon(72_000, ASSISTANT, request, 'i-1');
    budget.settle(72_000, ASSISTANT, request);
    expect(spend(budget, 111_999)).toBe(false);
    expect(spend(budget, 112_001)).toBe(true);
  });

  it('counts a retry that was given up until its upstream has read it', () => {
    const one = {count: 1, readAt: Infinity};
    const least = {...bound, slack: 1.2, ratio: 0};
    const budget = new SharedRetryBudget(least, () => one);
    budget.startServing(0);
    budget.join(0, 'restarted');
    const request = {};
    expect(budget.trySpend(30_000, ASSISTANT, request)).toBe(true);
    budget.abandon(31_000, ASSISTANT, request, 'i-1');
    budget.recordResponse(32_000, ASSISTANT, 'i-1', 30_500);
    budget.recordResponse(32_000, ASSISTANT, 'i-2', 31_500);
    expect(spend(budget, 53_001)).toBe(false);
    budget.recordResponse(54_000, ASSISTANT, 'i-1', 53_500);
    expect(spend(budget, 64_999)).toBe(false);
    expect(spend(budget, 65_001)).toBe(true);
  });

  it('allows for as many entries again while it cannot read of them', () => {
    const known = {count: 2, readAt: 0};
    const fixed = {...bound, ratio: 0};
    const budget = new SharedRetryBudget(fixed, () => known);
    budget.startServing(0);
    budget.join(0, 'restarted');
    const spendAll = (now: Millis) => {
      let spent = 0;
      while (spend(budget, now)) spent += 1;
      return spent;
    };
    expect(spendAll(20_000)).toBe(39);
    expect(spendAll(30_001)).toBe(19);
    known.readAt = 40_000;
    expect(spendAll(40_002)).toBe(39);
  });
});
