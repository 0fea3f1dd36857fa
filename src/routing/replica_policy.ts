import type {AvailabilityZone, Chance, Millis} from '../core/index.js';
import type {Candidate} from './types.js';

/** What is known of the call that needs an upstream. */
export interface Choice {
  readonly now: Millis;
  readonly chance: Chance;
  /** The entry's own availability zone. */
  readonly ownZone: AvailabilityZone;
  /** Blocks of the prompt; 0 for a call without one. */
  readonly promptBlocks: number;
  /** Hash of the start of the prompt, the same for like prompts. */
  readonly affinity: number | undefined;
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

/**
 * Calls ahead of a new one, as far as the entry knows.
 * @param candidate - the upstream
 */
export function backlog({load, inFlight, sentCalls}: Candidate): number {
  const reported = load === undefined ? 0 : load.queued + load.running;
  return Math.max(reported + sentCalls, inFlight);
}

/** The candidates of the entry's own zone, or all when it has none. */
function near(candidates: readonly Candidate[], {ownZone}: Choice) {
  const own = candidates.filter(c => c.availabilityZone === ownZone);
  return own.length > 0 ? own : candidates;
}

/** Each in turn. */
export class RoundRobinPolicy extends ReplicaPolicy {
  readonly name = 'round-robin';
  private turn = 0;

  choose(candidates: readonly Candidate[]): Candidate {
    this.turn += 1;
    return candidates[this.turn % candidates.length] as Candidate;
  }
}

/** Any. */
export class RandomPolicy extends ReplicaPolicy {
  readonly name = 'random';

  choose(candidates: readonly Candidate[], {chance}: Choice): Candidate {
    return chance.pick(candidates);
  }
}

/** The one that has the fewest calls of this entry. */
export class LeastInFlightPolicy extends ReplicaPolicy {
  readonly name = 'least-in-flight';

  choose(candidates: readonly Candidate[], {chance}: Choice): Candidate {
    const least = Math.min(...candidates.map(({inFlight}) => inFlight));
    return chance.pick(candidates.filter(c => c.inFlight === least));
  }
}

const SAMPLE = 2;

/** The less loaded of two drawn candidates, own zone first. */
export class PowerOfTwoPolicy extends ReplicaPolicy {
  readonly name = 'power-of-two';

  choose(candidates: readonly Candidate[], choice: Choice): Candidate {
    const drawn = choice.chance.sample(near(candidates, choice), SAMPLE);
    return drawn.reduce((best, next) =>
      backlog(next) < backlog(best) ? next : best,
    );
  }
}
