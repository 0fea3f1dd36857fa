import {describe, expect, it} from 'vitest';

import {Chance, serviceName} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {SharedRetryBudget} from './index.js';

const ASSISTANT = serviceName('assistant');

describe('SharedRetryBudget', () => {
  const bound = {ratio: 0.2, slack: 88, window: 10_000};

  it('keeps all entries within the bound in every window, including restarts', () => {
    // Six entries whose clients retry at once; one entry is killed every 3 s.
    const create = (startedAt: Millis) => {
      const budget = new SharedRetryBudget(bound);
      budget.setEntryCount(6);
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
        if (budget.trySpend(now, ASSISTANT)) retries.push(now);
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
    const budget = new SharedRetryBudget(bound);
    budget.startServing(-20_000);
    let spent = 0;
    while (budget.trySpend(0, ASSISTANT)) spent += 1;
    expect(spent).toBeLessThanOrEqual(88 / 64);
  });
});
