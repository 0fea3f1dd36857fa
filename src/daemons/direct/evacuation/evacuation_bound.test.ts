import {errAsync, ok, okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {freePort} from '../../../../test/support/free_port.js';
import {testRegistration} from '../../../../test/support/direct_samples.js';
import {position} from '../../../../test/support/positions.js';
import {KeyedStore} from '../../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../../clients/index.js';
import {availabilityZone, hostPort, vmName} from '../../../core/index.js';
import type {LogPosition, Millis} from '../../../core/index.js';
import {UpstreamTable} from '../../../direct/index.js';
import type {KeyedRecord} from '../../../direct/index.js';
import {Fault} from '../../../errors/index.js';
import {
  Metrics,
  SILENT_LOGGER,
  SystemClock,
} from '../../../observability/index.js';
import type {Estate} from '../estate.js';
import {EstateTracker} from '../estate_tracker.js';
import {EvacuationKeeper} from './index.js';

const OPERATORS = 'operators';
const TOPICS = {
  ...{configuration: OPERATORS, upstreams: 'upstreams', entries: 'entries'},
  ...{ranks: 'ranks', quarantines: 'quarantines'},
};
const ZONE = availabilityZone('north');
/** The bound of the configuration alone would be far too long here. */
const BOUNDS = {
  configuration: 20_000,
  leavingUpstream: 2_000,
  evacuation: 2_000,
};

const pause = (ms: Millis) => new Promise(resolve => setTimeout(resolve, ms));

/** The store as one entry sees it; all entries share its topics. */
class SharedStore extends KeyedStore {
  isTurnedAway = false;
  private reads = 0;
  private losses = 0;

  constructor(private readonly topics: Map<string, KeyedRecord[]>) {
    super();
  }

  list(topic: string): ResultAsync<KeyedListing, Fault> {
    if (this.isTurnedAway) return errAsync(new Fault('store_unavailable'));
    const records = [...this.of(topic)];
    return okAsync({records, startedAt: position(records.length)});
  }

  read(
    topic: string,
    {offset: from}: LogPosition,
    wait: Millis,
    responseTimeout: Millis = 1_000,
  ): ResultAsync<KeyedPage, Fault> {
    if (this.isTurnedAway) return errAsync(new Fault('store_unavailable'));
    const isOperators = topic === OPERATORS;
    if (isOperators) this.reads += 1;
    const {losses} = this;
    const end = performance.now() + wait;
    const respond = async (): Promise<KeyedPage | undefined> => {
      const log = this.of(topic);
      while (log.length <= from && performance.now() < end) await pause(5);
      if (isOperators && this.losses > losses) {
        await pause(end + responseTimeout - performance.now());
        return undefined;
      }
      const next = position(log.length);
      return {kind: 'records', records: log.slice(from), next};
    };
    return okAsync(undefined)
      .map(respond)
      .andThen(page =>
        page ? okAsync(page) : errAsync(new Fault('store_unavailable')),
      );
  }

  put(
    topic: string,
    key: string,
    value: Uint8Array,
  ): ResultAsync<LogPosition, Fault> {
    const log = this.of(topic);
    log.push({key, position: position(log.length), value});
    return okAsync(position(log.length));
  }

  /** Loses the response to a read of the operators' topic that has just begun. */
  async loseNextRead(): Promise<void> {
    const {reads} = this;
    while (this.reads === reads) await pause(5);
    this.losses += 1;
  }

  private of(topic: string): KeyedRecord[] {
    const log = this.topics.get(topic) ?? [];
    this.topics.set(topic, log);
    return log;
  }
}

interface Entry {
  readonly store: SharedStore;
  readonly tracker: EstateTracker;
  readonly keeper: EvacuationKeeper;
}

/** Starts an entry that follows the topics of the store. */
async function startEntry(
  name: string,
  topics: Map<string, KeyedRecord[]>,
): Promise<Entry> {
  const store = new SharedStore(topics);
  const parts = {
    ...{
      clock: new SystemClock(),
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
    },
    estate: {
      ...{store, topics: TOPICS},
      parseConfiguration: () => undefined,
      parseEvacuation: ({key}: {key: string}) =>
        ok({zone: availabilityZone(key), state: 'requested' as const}),
    },
  };
  const keeper = new EvacuationKeeper(
    parts,
    {contactAt: () => undefined, upstreams: () => undefined},
    {onChanged: () => undefined, onZoneReturned: () => undefined},
  );
  const nothing = () => undefined;
  const tracker = new EstateTracker(
    {
      ...{vm: vmName(name), availabilityZone: availabilityZone('a')},
      relay: hostPort('127.0.0.1', await freePort()),
    },
    BOUNDS,
    parts.estate as unknown as Estate,
    ...([parts.clock, parts.logger, parts.metrics] as const),
    {
      ...{onConfiguration: nothing, onUpstreamRemoved: nothing},
      ...{onJoined: nothing, onShare: nothing, onPeers: nothing},
      ...{onPeerMessage: nothing, onQuarantines: nothing},
      onQuarantinesLost: nothing,
      onOperatorRecord: (...args) => keeper.apply(...args),
    },
  );
  tracker.start();
  return {store, tracker, keeper};
}

/** Brings the entries into a state before the evacuation is written. */
type Disturbance = (
  entries: Entry[],
  topics: Map<string, KeyedRecord[]>,
) => unknown;

const turnAway =
  (index: number): Disturbance =>
  entries =>
    (entries[index]!.store.isTurnedAway = true);

// Requests were sent to the zone after the bound, as the topic was read too late.
describe.concurrent('an evacuation is in force within its bound', () => {
  it.each<[string, number, Disturbance]>([
    ['at entries that read the store', 2, () => undefined],
    ['at entries that read through a relay', 8, () => undefined],
    ['at an entry that the store turns away', 2, turnAway(1)],
    ['when the store turns the relay away', 8, turnAway(0)],
    [
      'when a read that has just begun loses its response',
      2,
      entries => entries[1]!.store.loseNextRead(),
    ],
    [
      "when the relay's read loses its response",
      8,
      entries => entries[0]!.store.loseNextRead(),
    ],
    ['when the relay stops', 8, entries => entries.shift()!.tracker.stop()],
    [
      'at an entry that starts at the same time',
      2,
      async (entries, topics) => entries.push(await startEntry('late', topics)),
    ],
  ])(
    '%s',
    async (_name, count, disturb) => {
      const topics = new Map<string, KeyedRecord[]>();
      const entries: Entry[] = [];
      for (let i = 0; i < count; i++)
        entries.push(await startEntry(`entry-${i}`, topics));
      try {
        // Entries read of each other, which makes the first one the relay.
        await pause(4_500);
        await disturb(entries, topics);
        const table = new UpstreamTable();
        table.register(0, testRegistration('u', {availabilityZone: ZONE}));
        const [upstream] = table.all();
        const startedAt = performance.now();
        entries[0]!.store.put(OPERATORS, ZONE, Buffer.from('{}'));
        while (!entries.every(({keeper}) => keeper.isEvacuated(upstream!))) {
          if (performance.now() - startedAt > 10_000) break;
          await pause(5);
        }
        const took = performance.now() - startedAt;
        expect(took).toBeLessThan(BOUNDS.evacuation);
      } finally {
        for (const {tracker} of entries) tracker.stop();
      }
    },
    40_000,
  );
});
