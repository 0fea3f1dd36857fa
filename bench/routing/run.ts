import {Chance} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {Estate} from './estate.js';
import type {EstateShape} from './estate_parts.js';
import {Tally} from './tally.js';
import {Workload} from './workload.js';
import type {WorkloadShape} from './workload.js';

/** Parameters of a simulation run. */
export interface RunPlan {
  readonly shape: EstateShape;
  readonly workload: WorkloadShape;
  /** Request rate, per second. */
  readonly rate: number;
  /** Time at the start that is excluded from the counts, ms. */
  readonly warmUp: Millis;
  /** Measured time after the warm-up, ms. */
  readonly span: Millis;
  readonly seed: number;
  /** Schedules changes of the estate; called at the start of the run. */
  readonly disturb?: (estate: Estate, tally: Tally) => void;
}

/** Results of a simulation run. */
export interface RunResult {
  readonly tally: Tally;
  readonly estate: Estate;
}

/**
 * Schedules Poisson arrivals of requests.
 * @param estate - estate that receives the requests
 * @param workload - source of the requests
 * @param chance - random source of the arrival times
 * @param rate - request rate, per second
 * @param span - start and end of the arrivals, ms from now
 * @param tallyAt - returns the tally for a request made at a time
 */
export function arrive(
  estate: Estate,
  workload: Workload,
  chance: Chance,
  rate: number,
  [from, to]: readonly [Millis, Millis],
  tallyAt: (now: Millis) => Tally,
): void {
  const {clock} = estate;
  const next = () => {
    const gap = (-Math.log(1 - chance.fraction()) * 1_000) / rate;
    clock.after(gap, () => {
      if (clock.now >= to) return;
      estate.request(workload.next(), tallyAt(clock.now));
      next();
    });
  };
  clock.after(from, next);
}

/**
 * Runs an estate under a workload.
 * @param plan - parameters of the run
 */
export function simulate(plan: RunPlan): RunResult {
  const {shape, rate, warmUp, span, seed} = plan;
  const estate = new Estate(shape, seed);
  const workload = new Workload(plan.workload, new Chance(seed + 1));
  const tally = new Tally();
  const ignored = new Tally();
  const end = warmUp + span;
  plan.disturb?.(estate, tally);
  const tallyAt = (now: Millis) => (now < warmUp ? ignored : tally);
  const chance = new Chance(seed + 2);
  arrive(estate, workload, chance, rate, [0, end], tallyAt);
  estate.clock.run(end + 60_000);
  return {tally, estate};
}
