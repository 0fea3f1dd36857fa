import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {PlatformEstate} from '../platform/platform_estate.js';
import {
  Chance,
  availabilityZone,
  serviceName,
  vmName,
} from '../src/core/index.js';
import {MapSidecar} from '../src/daemons/direct/index.js';
import {
  Metrics,
  SILENT_LOGGER,
  SystemClock,
} from '../src/observability/index.js';
import {KeyedLogServer} from '../standins/keyed_log_server.js';
import type {StoreCopy} from '../standins/keyed_log_server.js';
import {LockstepRanks} from '../standins/lockstep_rank_server.js';
import {freePort} from './support/free_port.js';

const RANKS = 3;
const RANK_KEYS = ['g0/0', 'g0/1', 'g0/2'];
const EXPERTS = 6;
const PASS_DURATION = 30;
/** Ratio of the busiest rank to the mean above which the group slows down. */
const BALANCED_SKEW = 1.4;
/** From a shift in expert demand to the first pass on a map for it. */
const REBALANCE_TIMEOUT = 4_000;

async function waitUntil(
  condition: () => boolean,
  timeout: number,
): Promise<number> {
  const startedAt = Date.now();
  while (!condition()) {
    if (Date.now() - startedAt > timeout)
      throw new Error('condition not met in time');
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  return Date.now() - startedAt;
}

/** Returns routing counts of a pass that favour the given experts. */
const countsFavouring = (...wanted: number[]) =>
  Array.from({length: EXPERTS}, (_, i) => (wanted.includes(i) ? 900 : 60));

describe('sidecars of a group', () => {
  let store: KeyedLogServer;
  let address: string;
  /** The store before any sidecar has written to it. */
  let beforeStart: StoreCopy;
  let ranks: LockstepRanks;
  const sidecars: MapSidecar[] = [];

  beforeEach(async () => {
    store = new KeyedLogServer();
    address = (await store.listen()).replace('http://', '');
    ranks = new LockstepRanks(
      RANKS,
      EXPERTS,
      PASS_DURATION,
      countsFavouring(0, 3),
    );
    store.put('keyed.op', 'config', {
      Version: 1,
      Routes: [],
      Services: [
        {
          Name: 'llm',
          Engine: {
            Sets: 1,
            Experts: EXPERTS,
            Placements: 3,
            Spare: 2,
            ExpertMb: 1,
          },
        },
      ],
      Limits: {
        MaxHeaderBytes: 1,
        MaxBodyBytes: 1,
        HeaderTimeoutMs: 1,
        IdleTimeoutMs: 1,
      },
    });
    beforeStart = store.copy();
    for (const [rank, server] of ranks.servers.entries()) {
      const engine = (await server.listen()).replace('http://', '');
      const port = await freePort();
      const sidecar = new MapSidecar(
        {
          vm: vmName(`side-${rank}`),
          availabilityZone: availabilityZone('a'),
          ip: '127.0.0.1',
          callers: undefined,
          readiness: undefined,
          internalPorts: [port, port],
          operatorPort: await freePort(),
          linkKey: 'k',
          upstream: {address: engine, service: serviceName('llm')},
          retryBound: {ratio: 1, slack: 1, window: 1_000},
          stalenessBounds: {configuration: 2_000, leavingUpstream: 2_000},
          grace: 1_000,
        },
        {
          clock: new SystemClock(),
          chance: new Chance(rank),
          logger: SILENT_LOGGER,
          metrics: new Metrics(),
          estate: new PlatformEstate(address),
        },
      );
      await sidecar.start();
      sidecars.push(sidecar);
    }
  });

  afterEach(async () => {
    for (const sidecar of sidecars.splice(0)) await sidecar.drain();
    await ranks.close();
    await store.close();
  });

  /** Returns the ratio of the busiest rank's load to the mean. */
  const skew = () => {
    const {popularity} = ranks;
    const [set] = ranks.servers[0]!.engine.experts ?? [];
    if (set === undefined) return Infinity;
    const held = (expert: number) =>
      set.filter(experts => experts.includes(expert)).length;
    const loads = set.map(experts =>
      experts.reduce((sum, e) => sum + popularity[e]! / held(e), 0),
    );
    const total = loads.reduce((sum, load) => sum + load, 0);
    return (Math.max(...loads) * RANKS) / total;
  };

  it('spread the experts in demand over the ranks and follow a shift', async () => {
    await waitUntil(() => skew() < BALANCED_SKEW, 12_000);
    ranks.popularity = countsFavouring(1, 4);
    expect(skew()).toBeGreaterThan(BALANCED_SKEW);
    const took = await waitUntil(
      () => skew() < BALANCED_SKEW,
      3 * REBALANCE_TIMEOUT,
    );
    expect(ranks.mixedPasses).toBe(0);
    expect(took).toBeLessThan(REBALANCE_TIMEOUT);
  }, 30_000);

  it('believe late second responses of their ranks', async () => {
    for (const server of ranks.servers) server.repeatDelays = [1, 4, 12, 40];
    for (let change = 0; change < 4; change++) {
      ranks.popularity = countsFavouring(change % 3, 3 + ((change + 1) % 3));
      await waitUntil(() => skew() < BALANCED_SKEW, 15_000);
    }
    expect(ranks.mixedPasses).toBe(0);
  }, 70_000);

  it('register again when the store has lost their records', async () => {
    await waitUntil(() => ranks.changedAt.size > 1, 12_000);
    store.restore(beforeStart);
    const {store: client, topics} = new PlatformEstate(address);
    await vi.waitFor(
      async () => {
        const listing = await client.list(topics.ranks);
        const keys = listing._unsafeUnwrap().records.map(({key}) => key);
        expect(keys).toEqual(expect.arrayContaining(RANK_KEYS));
      },
      {timeout: 15_000, interval: 100},
    );
  }, 30_000);

  it('switch the map although a rank does not answer the arm order', async () => {
    ranks.servers[1]!.unansweredOperations.add('arm');
    await waitUntil(() => ranks.changedAt.size > 1, 12_000);
    expect(ranks.mixedPasses).toBe(0);
    expect(ranks.servers.every(({engine}) => engine.heldAt === null)).toBe(
      true,
    );
  }, 30_000);
});
