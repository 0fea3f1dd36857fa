import type {Incarnation} from '../core/index.js';
import {ReplicaPolicy, backlog} from './replica_policy.js';
import type {RoutingContext} from './replica_policy.js';
import type {Candidate} from './types.js';

/** Largest backlog of a replica, as a multiple of the mean. */
const LOAD_BOUND = 1.25;
const FNV_PRIME = 0x01000193;

/**
 * Consistent hashing with bounded loads: rendezvous hashing ranks the replicas
 * per affinity key, and the first one within the load bound is selected.
 */
export class BoundedHashPolicy extends ReplicaPolicy {
  readonly name = 'bounded-hash';

  choose(candidates: readonly Candidate[], context: RoutingContext): Candidate {
    const {chance, affinityKey} = context;
    if (affinityKey === undefined) return chance.pick(candidates);
    const total = candidates.reduce((sum, c) => sum + backlog(c), 0);
    const bound = (LOAD_BOUND * (total + 1)) / candidates.length;
    const withinBound = candidates.filter(c => backlog(c) <= bound);
    const pool = withinBound.length > 0 ? withinBound : candidates;
    return pool.reduce((best, next) =>
      rendezvousWeight(affinityKey, next.incarnation) >
      rendezvousWeight(affinityKey, best.incarnation)
        ? next
        : best,
    );
  }
}

/** Returns the rendezvous hashing weight of a replica for a key. */
function rendezvousWeight(key: number, replica: Incarnation): number {
  let hash = key;
  for (let i = 0; i < replica.length; i++) {
    hash = Math.imul(hash ^ replica.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
