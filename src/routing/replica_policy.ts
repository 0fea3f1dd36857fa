import type {AvailabilityZone, Chance, Millis} from '../core/index.js';
import type {Candidate} from './types.js';

/** What is known of the call that needs an upstream. */
export interface RoutingContext {
  readonly now: Millis;
  readonly chance: Chance;
  /** The entry's own availability zone. */
  readonly ownZone: AvailabilityZone;
  /** Blocks of the prompt; 0 for a call without one. */
  readonly promptBlocks: number;
  /** Hash of the start of the prompt, the same for like prompts. */
  readonly affinityKey: number | undefined;
}

/** A way to choose among the upstreams of a service. */
export abstract class ReplicaPolicy {
  /** Name of the policy in settings and reports. */
  abstract readonly name: string;

  /**
   * Chooses an upstream.
   * @param candidates - at least one upstream that takes new work
   * @param context - the call and its circumstances
   */
  abstract choose(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate;
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
function preferOwnZone(
  candidates: readonly Candidate[],
  {ownZone}: RoutingContext,
) {
  const own = candidates.filter(c => c.availabilityZone === ownZone);
  return own.length > 0 ? own : candidates;
}

/** Each in turn. */
export class RoundRobinPolicy extends ReplicaPolicy {
  readonly name = 'round-robin';
  private counter = 0;

  choose(candidates: readonly Candidate[]): Candidate {
    this.counter += 1;
    return candidates[this.counter % candidates.length] as Candidate;
  }
}

/** Any. */
export class RandomPolicy extends ReplicaPolicy {
  readonly name = 'random';

  choose(
    candidates: readonly Candidate[],
    {chance}: RoutingContext,
  ): Candidate {
    return chance.pick(candidates);
  }
}

/** The one that has the fewest calls of this entry. */
export class LeastInFlightPolicy extends ReplicaPolicy {
  readonly name = 'least-in-flight';

  choose(
    candidates: readonly Candidate[],
    {chance}: RoutingContext,
  ): Candidate {
    const least = Math.min(...candidates.map(({inFlight}) => inFlight));
    return chance.pick(candidates.filter(c => c.inFlight === least));
  }
}

const SAMPLE_SIZE = 2;

/** The less loaded of two drawn candidates, own zone first. */
export class PowerOfTwoPolicy extends ReplicaPolicy {
  readonly name = 'power-of-two';

  choose(candidates: readonly Candidate[], context: RoutingContext): Candidate {
    const sampled = context.chance.sample(
      preferOwnZone(candidates, context),
      SAMPLE_SIZE,
    );
    return sampled.reduce((best, next) =>
      backlog(next) < backlog(best) ? next : best,
    );
  }
}
