import fc from 'fast-check';
import {expect, it} from 'vitest';

import {
  RetryBudgetSimulation,
  WARM_UP,
} from '../../test/support/retry_budget_simulation.js';
import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

const BOUND = {ratio: 0.2, slack: 88, window: 10 * SECOND};
const ENTRY_COUNT = 6;
const FAILING: Millis = 35 * SECOND;
const TICK: Millis = 20;

/** What is done to some entries at a time after the warm-up. */
interface Act {
  readonly kind: 'restart' | 'leave' | 'suspend' | 'cut' | 'add';
  readonly at: Millis;
  readonly length: Millis;
  /** Bits of the entries that it is done to. */
  readonly entries: number;
}

const times = (max: Millis) =>
  fc.integer({min: 0, max: max / TICK}).map(ticks => ticks * TICK);

const anyAct: fc.Arbitrary<Act> = fc.record({
  kind: fc.constantFrom('restart', 'leave', 'suspend', 'cut', 'add'),
  at: times(30 * SECOND).map(at => at - 10 * SECOND),
  length: times(8 * SECOND),
  entries: fc.integer({min: 1, max: 2 ** ENTRY_COUNT - 1}),
});

const anyPlay = fc.record({
  seed: fc.integer({min: 1, max: 1_000}),
  rate: fc.constantFrom(4, 15, 40, 120),
  acts: fc.array(anyAct, {minLength: 1, maxLength: 6}),
  failsAt: times(8 * SECOND),
  /** When upstreams begin to read nothing of retries, and for how long. */
  unreadAt: times(20 * SECOND),
  unreadFor: times(8 * SECOND),
  /** When callers stop to press, and for how long they do. */
  pressUntil: times(20 * SECOND),
  pressFor: fc.constantFrom(5, 10, 15, 60).map(seconds => seconds * SECOND),
  restPart: fc.constantFrom(0.05, 0.5, 1),
  unreadPart: fc.constantFrom(0.1, 0.3, 0.5),
});
type Play = typeof anyPlay extends fc.Arbitrary<infer T> ? T : never;

function perform(
  {kind, entries, length}: Act,
  now: Millis,
  simulation: RetryBudgetSimulation,
): void {
  const named = Array.from({length: ENTRY_COUNT}, (_, i) => `entry-${i}`);
  const chosen = named.filter((_, i) => (entries & (1 << i)) !== 0);
  for (const name of chosen) {
    const isRunning = simulation.running.includes(name);
    if (kind === 'add') simulation.start(`added-${now}-${name}`, 300);
    else if (!isRunning) continue;
    else if (kind === 'suspend') simulation.pause(name, now + length);
    else if (kind === 'cut') simulation.cut(name, now + length);
    else {
      simulation.kill(name);
      if (kind === 'restart') simulation.start(name, 300 + length);
    }
  }
}

/** Returns the largest part of the bound that a window uses. */
function loadOf(one: Play): number {
  const {seed, rate, acts, failsAt, unreadAt, unreadFor, unreadPart} = one;
  const pressUntil = WARM_UP + one.pressUntil;
  const pressFrom = pressUntil - one.pressFor;
  const unreadFrom = WARM_UP + unreadAt;
  const unreadUntil = unreadFrom + unreadFor;
  const simulation = new RetryBudgetSimulation(
    BOUND,
    {
      ...{seed, rate, entryCount: ENTRY_COUNT, maxAttempts: 4, unreadPart},
      duration: WARM_UP + FAILING,
      load: now => (now >= pressFrom && now < pressUntil ? 1 : one.restPart),
      isFailing: now => now >= WARM_UP + failsAt,
      suspendedUntil: now =>
        now >= unreadFrom && now < unreadUntil ? unreadUntil : undefined,
    },
    now => {
      for (const act of acts) {
        if (WARM_UP + act.at === now) perform(act, now, simulation);
      }
    },
  );
  return simulation.run().load;
}

// Upstreams got more retries in a window than are allowed (BUDGET).
it('retries stay within the bound whatever happens to entries in whatever order', () => {
  const property = fc.property(anyPlay, one => {
    expect(loadOf(one)).toBeLessThanOrEqual(1);
  });
  fc.assert(property, {seed: 20_261_206, numRuns: 100});
});
