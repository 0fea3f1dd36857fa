import {describe, expect, it} from 'vitest';

import {Chance} from '../core/index.js';
import {GroupCircuitBreaker, retryAfter} from './index.js';

describe('GroupHealth', () => {
  it('sends probes only while a group is down, and opens on an answer', () => {
    const health = new GroupCircuitBreaker();
    expect(health.markUnavailable(0, 'g')).toBe(true);
    expect(health.markUnavailable(1, 'g')).toBe(false);
    let sent = 0;
    for (let now = 0; now < 4_000; now += 10) {
      if (!health.allowsRequest(now, 'g')) continue;
      health.recordRequest(now, 'g');
      sent += 1;
    }
    // 400 requests in four seconds; ten of them find out how the group is.
    expect(sent).toBeLessThanOrEqual(10);
    expect(sent).toBeGreaterThanOrEqual(9);
    // An answer to a request from before the fall tells nothing.
    expect(health.markAvailable('g', -5)).toBe(false);
    expect(health.markAvailable('g', 3_990)).toBe(true);
    expect(health.allowsRequest(4_000, 'g')).toBe(true);
    expect(health.allowsRequest(4_000, 'other')).toBe(true);
  });

  it('tells callers of a fallen group to come back late, and spread', () => {
    const chance = new Chance(3);
    const told = Array.from({length: 200}, () =>
      retryAfter('group_down', 6_000, chance),
    );
    expect(Math.max(...told)).toBeLessThanOrEqual(2_000);
    expect(Math.min(...told)).toBeGreaterThanOrEqual(1_200);
    const spread = Math.max(...told) - Math.min(...told);
    expect(spread).toBeGreaterThan(600);
    expect(retryAfter('busy', 100, chance)).toBeLessThan(34);
    expect(retryAfter('busy', -5, chance)).toBe(0);
  });

  it('tells callers no time before the first upstream takes requests', () => {
    const chance = new Chance(5);
    const told = Array.from({length: 100}, () =>
      retryAfter('busy', 6_000, chance, 1_500),
    );
    expect(Math.min(...told)).toBeGreaterThanOrEqual(1_500);
    expect(Math.max(...told)).toBeLessThanOrEqual(2_100);
  });
});
