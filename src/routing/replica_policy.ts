import type {AvailabilityZone, Chance, Millis} from '../core/index.js';
import type {Candidate} from './types.js';

/** What is known of the call that needs an upstream. */
export interface Choice {
  readonly now: Millis;
  readonly chance: Chance;
  /** The entry's own availability zone. */
  readonly ownZone: AvailabilityZone;
}

/** A way to choose among the upstreams of a service. */
export abstract class ReplicaPolicy {
  /** Name of the policy in settings and reports. */
  abstract readonly name: string;

  /**
   * Chooses an upstream.
   * @param candidates - at least one upstream that takes new work
   * @param choice - the call and its circumstances
   */
  abstract choose(candidates: readonly Candidate[], choice: Choice): Candidate;
}

/** Calls ahead of a new one, as far as the entry knows. */
function backlog({load, inFlight}: Candidate): number {
  const reported = load === undefined ? 0 : load.queued + load.running;
  return Math.max(reported, inFlight);
}

const SAMPLE = 2;

/** The less loaded of two drawn candidates, own zone first. */
export class PowerOfTwoPolicy extends ReplicaPolicy {
  readonly name = 'power-of-two';

  choose(candidates: readonly Candidate[], choice: Choice): Candidate {
    const near = candidates.filter(
      ({availabilityZone}) => availabilityZone === choice.ownZone,
    );
    const pool = near.length > 0 ? near : candidates;
    const drawn = choice.chance.sample(pool, SAMPLE);
    return drawn.reduce((best, next) =>
      backlog(next) < backlog(best) ? next : best,
    );
  }
}
