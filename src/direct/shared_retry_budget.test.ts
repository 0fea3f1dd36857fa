import {describe, expect, it} from 'vitest';

import {Chance, serviceName} from '../core/index.js';
import {SharedRetryBudget} from './index.js';

const ASSISTANT = serviceName('assistant');

describe('SharedRetryBudget', () => {
  const bound = {ratio: 0.2, slack: 88, window: 10_000};

  it('keeps the bound of all entries in every window, restarts included', () => {
    // Six entries under clients that repeat at once; one is killed each 3 s.
    const entries = Array.from({length: 6}, () => ({
      allowance: new SharedRetryBudget(bound, -20_000),
    }));
    for (const {allowance} of entries) allowance.setEntryCount(6);
    const chance = new Chance(7);
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let now = 0; now < 40_000; now += 10) {
      if (now % 3_000 === 0) {
        const reborn = chance.pick(entries);
        reborn.allowance = new SharedRetryBudget(bound, now);
        reborn.allowance.setEntryCount(6);
      }
      const {allowance} = chance.pick(entries);
      allowance.recordRequest(now, ASSISTANT);
      requests.push(now);
      for (let i = 0; i < 3; i++) {
        if (allowance.trySpend(now, ASSISTANT)) repeats.push(now);
      }
    }
    const within = (times: number[], from: number) =>
      times.filter(t => t >= from && t < from + bound.window).length;
    for (let from = 0; from <= 30_000; from += 100) {
      const allowed = bound.ratio * within(requests, from) + bound.slack;
      expect(within(repeats, from)).toBeLessThanOrEqual(allowed);
    }
    expect(repeats.length).toBeGreaterThan(400);
  });

  it('assumes many entries until their number is known', () => {
    const allowance = new SharedRetryBudget(bound, -20_000);
    let spent = 0;
    while (allowance.trySpend(0, ASSISTANT)) spent += 1;
    expect(spent).toBeLessThanOrEqual(88 / 64);
  });
});
