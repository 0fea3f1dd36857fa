import {describe, expect, it} from 'vitest';

import {
  RetryBudgetSimulation,
  WARM_UP,
} from '../../test/support/retry_budget_simulation.js';
import type {BudgetScenario} from '../../test/support/retry_budget_simulation.js';
import type {Chance, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

const BOUND = {ratio: 0.2, slack: 88, window: 10 * SECOND};
const SEEDS = Array.from({length: 12}, (_, seed) => seed + 1);

/** Estate whose upstreams fail from the end of the warm-up on. */
const STORM: Omit<BudgetScenario, 'seed'> = {
  entryCount: 6,
  duration: WARM_UP + 60 * SECOND,
  rate: 15,
  maxAttempts: 4,
  isFailing: now => now >= WARM_UP,
};

type Step = (
  now: Millis,
  simulation: RetryBudgetSimulation,
  chance: Chance,
) => void;

/** Returns the largest load of the bound over all seeds. */
function largestLoad(
  change: Partial<BudgetScenario>,
  createStep: () => Step = () => () => undefined,
): {load: number; retries: number} {
  const runs = SEEDS.map(seed => {
    const scenario = {...STORM, ...change, seed};
    return new RetryBudgetSimulation(BOUND, scenario, createStep()).run();
  });
  return {
    load: Math.max(...runs.map(({load}) => load)),
    retries: Math.min(...runs.map(({retries}) => retries)),
  };
}

/** Restarts an entry, by default with the time that a process takes. */
function restart(
  simulation: RetryBudgetSimulation,
  name: string,
  within: Millis = 1.2 * SECOND,
): void {
  simulation.kill(name);
  simulation.start(name, within);
}

const every = (period: Millis, now: Millis) =>
  now >= WARM_UP && (now - WARM_UP) % period === 0;

describe('retries of all entries together', () => {
  it('stay within the bound, and use most of it, without faults', () => {
    const {load, retries} = largestLoad({});
    expect(load).toBeLessThanOrEqual(1);
    expect(load).toBeGreaterThan(0.7);
    expect(retries).toBeGreaterThan(400);
  });

  it.each([0.5, 2, 15, 200])(
    'stay within the bound when all entries are killed at once, %s requests a second',
    rate => {
      const duration = WARM_UP + (rate > 100 ? 30 : 60) * SECOND;
      const {load} = largestLoad({rate, duration}, () => (now, simulation) => {
        if (!every(9 * SECOND, now) || now === WARM_UP) return;
        for (const name of simulation.running) restart(simulation, name);
      });
      expect(load).toBeLessThanOrEqual(1);
    },
  );

  it.each([1, 3, 6])(
    'stay within the bound when an entry is killed every %s s',
    seconds => {
      const {load} = largestLoad({}, () => {
        let index = 0;
        return (now, simulation) => {
          if (!every(seconds * SECOND, now)) return;
          restart(simulation, `entry-${index++ % 6}`);
        };
      });
      expect(load).toBeLessThanOrEqual(1);
    },
  );

  // Upstreams got up to 1.2 times the retries that are allowed in a window (BUDGET).
  it.each([20, 80, 200])(
    'stay within the bound when callers move to other entries, %s requests a second',
    rate => {
      const duration = WARM_UP + 30 * SECOND;
      const {load} = largestLoad({rate, duration}, () => {
        let killed: string[] = [];
        return (now, simulation) => {
          if (now === WARM_UP + 2 * SECOND) {
            killed = simulation.running.slice(0, 3);
            for (const name of killed) simulation.kill(name);
          }
          if (now !== WARM_UP + 12 * SECOND) return;
          for (const name of killed) simulation.start(name, 300);
        };
      });
      expect(load).toBeLessThanOrEqual(1);
      expect(load).toBeGreaterThan(0.7);
    },
  );

  it('stay within the bound when all entries are killed amid a burst', () => {
    const {load} = largestLoad(
      {rate: 40, isFailing: now => now >= WARM_UP + 20 * SECOND},
      () => (now, simulation) => {
        if (now !== WARM_UP + 23 * SECOND) return;
        for (const name of simulation.running) restart(simulation, name);
      },
    );
    expect(load).toBeLessThanOrEqual(1);
  });

  it('stay within the bound at the first start, before all entries are known', () => {
    const {load} = largestLoad({
      duration: 40 * SECOND,
      rate: 40,
      isFailing: () => true,
    });
    expect(load).toBeLessThanOrEqual(1);
  });

  it('stay within the bound when entries are added', () => {
    const {load} = largestLoad({rate: 40}, () => (now, simulation) => {
      if (now !== WARM_UP) return;
      for (let i = 0; i < 3; i++) simulation.start(`added-${i}`, 300);
    });
    expect(load).toBeLessThanOrEqual(1);
  });

  it('stay within the bound when entries are suspended', () => {
    const {load} = largestLoad({rate: 40}, () => (now, simulation, chance) => {
      if (!every(2 * SECOND, now)) return;
      const pause = chance.between(1, 6) * SECOND;
      simulation.pause(chance.pick(simulation.running), now + pause);
    });
    expect(load).toBeLessThanOrEqual(1);
  });

  it.each([1.4, 5, 8])(
    'stay within the bound when retries wait %s s at suspended upstreams',
    seconds => {
      const period = 13 * SECOND;
      const {load} = largestLoad({
        rate: 40,
        suspendedUntil: now => {
          const phase = (now - WARM_UP) % period;
          const wakesAt = now - phase + period;
          return wakesAt - now > seconds * SECOND ? undefined : wakesAt;
        },
      });
      expect(load).toBeLessThanOrEqual(1);
    },
  );

  // Upstreams got up to 1.7 times the retries that are allowed in a window (BUDGET).
  it.each([
    [15, 1],
    [15, 0.5],
    [15, 0.2],
    [30, 1],
  ])(
    'stay within the bound when upstreams stand still once for %i s with %d of the retries',
    (seconds, unreadPart) => {
      const wakesAt = WARM_UP + seconds * SECOND;
      const {load} = largestLoad({
        ...{rate: 40, unreadPart},
        suspendedUntil: now =>
          now >= WARM_UP && now < wakesAt ? wakesAt : undefined,
      });
      expect(load).toBeLessThanOrEqual(1);
    },
  );

  // Upstreams got up to 1.2 times the retries that are allowed in a window (BUDGET).
  it.each([6, 8, 10])(
    'stay within the bound when entries are killed of whose retries half wait %s s at suspended upstreams',
    seconds => {
      const wakesAt = WARM_UP + seconds * SECOND;
      const change: Partial<BudgetScenario> = {
        rate: 40,
        duration: WARM_UP + 30 * SECOND,
        unreadPart: 0.5,
        suspendedUntil: now =>
          now >= WARM_UP && now < wakesAt ? wakesAt : undefined,
      };
      const {load} = largestLoad(change, () => (now, simulation) => {
        if (now !== WARM_UP + 2 * SECOND) return;
        for (const name of simulation.running) restart(simulation, name, 600);
      });
      expect(load).toBeLessThanOrEqual(1);
    },
  );

  it('stay within the bound when entries are added that others cannot read of', () => {
    const {load} = largestLoad({rate: 40}, () => (now, simulation) => {
      if (now !== WARM_UP - 5 * SECOND) return;
      for (let i = 0; i < 4; i++)
        simulation.cut(`entry-${i}`, WARM_UP + 60 * SECOND);
      for (let i = 0; i < 3; i++) simulation.start(`added-${i}`, 300);
    });
    expect(load).toBeLessThanOrEqual(1);
  });
});
