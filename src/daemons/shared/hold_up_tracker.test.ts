import {describe, expect, it} from 'vitest';

import {HoldUpTracker, PASS_INTERVAL} from './hold_up_tracker.js';

const HOLD_UP = 600;

/** Returns a tracker whose last pass before a hold-up was at 1,000. */
function heldUpTracker(): HoldUpTracker {
  const tracker = new HoldUpTracker();
  for (let now = 0; now <= 1_000; now += PASS_INTERVAL) tracker.recordPass(now);
  return tracker;
}

describe('HoldUpTracker', () => {
  // Requests that had waited for 0.6 s were handed on with their whole limit.
  it('counts requests that are read after a hold-up from the pass before it', () => {
    const tracker = heldUpTracker();
    const wake = 1_000 + HOLD_UP;
    expect(tracker.earliestArrival(wake)).toBe(1_000);
    expect(tracker.recordPass(wake + 1)).toBe(HOLD_UP);
    // Each pass reads one of the connections that waited.
    for (let pass = 2; pass < 40; pass++) {
      expect(tracker.earliestArrival(wake + pass)).toBe(1_000);
      expect(tracker.recordPass(wake + pass)).toBeUndefined();
    }
    tracker.recordPass(wake + 89);
    expect(tracker.earliestArrival(wake + 90)).toBe(1_000);
    tracker.recordPass(wake + 190);
    expect(tracker.earliestArrival(wake + 191)).toBe(wake + 191);
  });

  it('counts requests as read some time later, if they go on to come', () => {
    const tracker = heldUpTracker();
    const wake = 1_000 + HOLD_UP;
    for (let now = wake; now < wake + 250; now += 10) {
      expect(tracker.earliestArrival(now)).toBe(1_000);
      tracker.recordPass(now);
    }
    tracker.recordPass(wake + 250);
    expect(tracker.earliestArrival(wake + 251)).toBe(wake + 251);
  });

  it('counts them so when a timer comes first', () => {
    const tracker = heldUpTracker();
    expect(tracker.recordPass(1_000 + HOLD_UP)).toBe(HOLD_UP);
    expect(tracker.recordPass(1_001 + HOLD_UP)).toBeUndefined();
    expect(tracker.earliestArrival(1_002 + HOLD_UP)).toBe(1_000);
  });

  it.each([20, 100, 200])(
    'counts requests beside passes of %i ms as read',
    ms => {
      const tracker = heldUpTracker();
      for (let now = 1_000 + ms; now < 3_000; now += ms) {
        expect(tracker.earliestArrival(now)).toBe(now);
        tracker.recordPass(now);
      }
    },
  );

  it('counts from the first of two hold-ups until it has run for some time', () => {
    const tracker = heldUpTracker();
    const run = (wake: number, until: number) => {
      for (let now = wake; now < until; now += 20) {
        tracker.earliestArrival(now);
        tracker.recordPass(now);
      }
    };
    run(1_600, 1_800);
    expect(tracker.earliestArrival(2_400)).toBe(1_000);
    run(2_420, 2_490);
    expect(tracker.earliestArrival(2_491)).toBe(1_780);
    run(2_500, 2_600);
    expect(tracker.earliestArrival(3_200)).toBe(1_780);
  });

  // All requests counted from the first hold-up, 17.4 s before, and were refused.
  it('counts from no earlier hold-up for good if it runs for less than an interval', () => {
    const tracker = heldUpTracker();
    const run = 30;
    let now = 1_000;
    let longest = 0;
    for (let cycle = 0; cycle < 60; cycle++) {
      now += 260;
      tracker.recordPass(now);
      for (const until = now + run; now < until; now += 5)
        longest = Math.max(longest, now - tracker.earliestArrival(now));
    }
    expect(longest).toBeLessThan(2_000);
  });

  it('counts from a hold-up that takes longer than any series', () => {
    const tracker = heldUpTracker();
    expect(tracker.earliestArrival(4_000)).toBe(1_000);
  });

  it('takes no time before its first pass for a hold-up', () => {
    const tracker = new HoldUpTracker();
    expect(tracker.earliestArrival(5_000)).toBe(5_000);
    expect(tracker.recordPass(9_000)).toBeUndefined();
  });
});
