import type {AvailabilityZone, Chance, Millis} from '../core/index.js';
import type {Candidate} from './types.js';

/** The call to be routed and its circumstances. */
export interface RoutingContext {
  readonly now: Millis;
  readonly chance: Chance;
  /** The entry's own availability zone. */
  readonly ownZone: AvailabilityZone;
  /** Blocks of the prompt; 0 without a prompt. */
  readonly promptBlocks: number;
  /** Hash of the start of the prompt; equal for prompts that share it. */
  readonly affinityKey: number | undefined;
}

/** Load balancing policy: selects among the upstreams of a service. */
export abstract class ReplicaPolicy {
  /** Name of the policy in settings and reports. */
  abstract readonly name: string;

  /**
   * Selects an upstream.
   * @param candidates - upstreams that accept new calls; at least one
   * @param context - the call and its circumstances
   */
  abstract choose(
    candidates: readonly Candidate[],
    context: RoutingContext,
  ): Candidate;
}

/**
 * Estimates the calls ahead of a new one from the last load report and the
 * calls sent since.
 * @param candidate - the upstream
 */
export function backlog({load, inFlight, sentCalls}: Candidate): number {
  const reported = load === undefined ? 0 : load.queued + load.running;
  return Math.max(reported + sentCalls, inFlight);
}

/** Returns the candidates in the entry's own zone, or all if there are none. */
function preferOwnZone(
  candidates: readonly Candidate[],
  {ownZone}: RoutingContext,
) {
  const own = candidates.filter(c => c.availabilityZone === ownZone);
  return own.length > 0 ? own : candidates;
}

/** Selects the candidates in turn. */
export class RoundRobinPolicy extends ReplicaPolicy {
  readonly name = 'round-robin';
  private counter = 0;

  choose(candidates: readonly Candidate[]): Candidate {
    this.counter += 1;
    return candidates[this.counter % candidates.length] as Candidate;
  }
}

/** Selects a random candidate. */
export class RandomPolicy extends ReplicaPolicy {
  readonly name = 'random';

  choose(
    candidates: readonly Candidate[],
    {chance}: RoutingContext,
  ): Candidate {
    return chance.pick(candidates);
  }
}

/** Selects the candidate with the fewest calls of this entry. */
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

/** Power of two choices, preferring candidates in the entry's own zone. */
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
