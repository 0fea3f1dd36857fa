import {Chance} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {Estate} from './estate.js';
import type {EstateShape} from './estate_parts.js';
import {Tally} from './tally.js';
import {Workload} from './workload.js';
import type {WorkloadShape} from './workload.js';

/** What a run is made of. */
export interface RunPlan {
  readonly shape: EstateShape;
  readonly workload: WorkloadShape;
  /** Requests a second. */
  readonly rate: number;
  /** Time that is not counted at the start, ms. */
  readonly warmUp: Millis;
  /** Time that is counted, ms. */
  readonly span: Millis;
  readonly seed: number;
  /** Changes the estate during the run, if given; called at the start. */
  readonly disturb?: (estate: Estate, tally: Tally) => void;
}

/** What a run gave. */
export interface RunResult {
  readonly tally: Tally;
  readonly estate: Estate;
}

/**
 * Lets requests arrive at random, at a rate.
 * @param estate - where
 * @param workload - what
 * @param chance - draws the times
 * @param rate - requests a second
 * @param span - from when to when, ms from now
 * @param tallyAt - what counts a request made at a time
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
 * @param plan - what the run is made of
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
