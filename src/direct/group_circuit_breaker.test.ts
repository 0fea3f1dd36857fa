import {describe, expect, it} from 'vitest';

import {Chance} from '../core/index.js';
import {GroupCircuitBreaker, retryAfter} from './index.js';

describe('GroupCircuitBreaker', () => {
  it('sends only probes to an unavailable group and closes on a response', () => {
    const breaker = new GroupCircuitBreaker();
    expect(breaker.markUnavailable(0, 'g')).toBe(true);
    expect(breaker.markUnavailable(1, 'g')).toBe(false);
    let sent = 0;
    for (let now = 0; now < 4_000; now += 10) {
      if (!breaker.allowsRequest(now, 'g')) continue;
      breaker.recordRequest(now, 'g');
      sent += 1;
    }
    // 400 requests in four seconds, at most ten of them probes.
    expect(sent).toBeLessThanOrEqual(10);
    expect(sent).toBeGreaterThanOrEqual(9);
    // A response to a request from before the outage is no evidence.
    expect(breaker.markAvailable('g', -5)).toBe(false);
    expect(breaker.markAvailable('g', 3_990)).toBe(true);
    expect(breaker.allowsRequest(4_000, 'g')).toBe(true);
    expect(breaker.allowsRequest(4_000, 'other')).toBe(true);
  });

  it('probes again soon after a rejection, and sees a probe that is not rejected', () => {
    const breaker = new GroupCircuitBreaker();
    breaker.markUnavailable(0, 'g');
    expect(breaker.isRecovering(50, 'g')).toBe(false);
    for (let now = 100; now < 1_000; now += 100) {
      expect(breaker.allowsRequest(now, 'g')).toBe(true);
      breaker.recordRequest(now, 'g');
      expect(breaker.allowsRequest(now + 3, 'g')).toBe(false);
      breaker.markUnavailable(now + 4, 'g');
      breaker.recordEndedUnstarted('g');
      expect(breaker.isRecovering(now + 5, 'g')).toBe(false);
    }
    breaker.recordRequest(1_000, 'g');
    expect(breaker.isRecovering(1_200, 'g')).toBe(true);
    // Ranks that stall leave their probes without an outcome.
    expect(breaker.isRecovering(1_400, 'g')).toBe(false);
    expect(breaker.allowsRequest(1_400, 'g')).toBe(true);
    breaker.recordRequest(1_400, 'g');
    expect(breaker.isRecovering(1_500, 'g')).toBe(false);
  });

  it('gives callers of an unavailable group almost the longest Retry-After', () => {
    const chance = new Chance(3);
    const delays = Array.from({length: 200}, () =>
      retryAfter('group_down', 6_000, chance),
    );
    expect(Math.max(...delays)).toBeLessThanOrEqual(2_000);
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(1_800);
    // Those that a stalled group rejects at once do not return together.
    const spread = Math.max(...delays) - Math.min(...delays);
    expect(spread).toBeGreaterThan(150);
    expect(retryAfter('busy', 100, chance)).toBeLessThan(34);
    expect(retryAfter('busy', -5, chance)).toBe(0);
  });

  it('spreads the retries of callers that were rejected for load', () => {
    const chance = new Chance(4);
    const delays = Array.from({length: 200}, () =>
      retryAfter('busy', 6_000, chance),
    );
    expect(Math.min(...delays)).toBeLessThan(260);
    expect(Math.max(...delays)).toBeGreaterThan(380);
  });

  it('returns no Retry-After shorter than the delay of the first upstream', () => {
    const chance = new Chance(5);
    const delays = Array.from({length: 100}, () =>
      retryAfter('busy', 6_000, chance, 1_500),
    );
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(1_500);
    expect(Math.max(...delays)).toBeLessThanOrEqual(2_100);
  });
});
