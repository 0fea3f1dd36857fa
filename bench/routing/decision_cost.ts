import {
  Chance,
  availabilityZone,
  callId,
  newIncarnation,
  serviceName,
  vmName,
} from '../../src/core/index.js';
import {
  BLOCK_CHARACTERS,
  MAX_PREFIX_BLOCKS,
  PREFIX_CAPACITY,
  Router,
  promptPrefix,
  promptText,
} from '../../src/routing/index.js';
import type {Replica} from '../../src/routing/index.js';

const ROUNDS = 20_000;
const MICROS = 1_000;
const MAX_HASH = 0xffff_ffff;

/** Cost of one routing decision at an entry. */
export interface DecisionCost {
  readonly replicas: number;
  /** Time of a decision, microseconds. */
  readonly p50: number;
  readonly p99: number;
  /** Time to hash a prompt of the maximum hashed length, microseconds, p99. */
  readonly hashP99: number;
  /** Memory per replica with a full prefix index, bytes. */
  readonly bytesPerReplica: number;
}

/**
 * Measures routing decisions at an entry with a number of replicas of one
 * service, each with a full prefix index.
 * @param count - number of replicas
 */
export function decisionCost(count: number): DecisionCost {
  const chance = new Chance(9);
  const zone = availabilityZone('zone');
  const replicas: Replica[] = Array.from({length: count}, (_, i) => ({
    incarnation: newIncarnation(vmName(`replica-${i}`), 0, 'a'),
    availabilityZone: availabilityZone(i % 3 === 0 ? 'zone' : `zone-${i % 3}`),
  }));
  const before = heapUsed();
  const router = new Router(zone, chance);
  for (const {incarnation} of replicas) fill(router, incarnation, chance);
  const bytesPerReplica = (heapUsed() - before) / count;
  const times = Array.from({length: ROUNDS}, (_, i) => {
    const prefix = Array.from({length: MAX_PREFIX_BLOCKS}, () =>
      chance.between(0, MAX_HASH),
    );
    const call = {
      callId: callId(`call-${i}`),
      service: serviceName('assistant'),
      prefix,
      deadlineAt: 1e9,
    };
    const start = performance.now();
    router.choose(i, {call, replicas, exclude: [], retryOf: undefined});
    const took = performance.now() - start;
    router.endCall(i, call.callId);
    return took * MICROS;
  });
  const [p50, p99] = [quantile(times, 0.5), quantile(times, 0.99)];
  return {replicas: count, p50, p99, hashP99: hashCost(), bytesPerReplica};
}

function fill(
  router: Router,
  replica: Replica['incarnation'],
  chance: Chance,
): void {
  const load = {queued: 1, running: 8, concurrency: 16, drainPerSecond: 9};
  const speed = {pendingBlocks: 9, msPerBlock: 30, msPerToken: 12};
  router.recordLoad(0, replica, {...load, ...speed});
  const stored = Array.from({length: PREFIX_CAPACITY}, () =>
    chance.between(0, MAX_HASH),
  );
  router.applyCacheEvents(replica, {
    type: 'cache',
    seq: 1,
    stored,
    removed: [],
  });
}

function hashCost(): number {
  const content = 'route '.repeat((BLOCK_CHARACTERS * MAX_PREFIX_BLOCKS) / 6);
  const messages = [{role: 'user', content}];
  const times = Array.from({length: 2_000}, () => {
    const start = performance.now();
    promptPrefix(promptText({messages}));
    return (performance.now() - start) * MICROS;
  });
  return quantile(times, 0.99);
}

function quantile(times: readonly number[], share: number): number {
  const sorted = times.toSorted((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN;
}

function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
