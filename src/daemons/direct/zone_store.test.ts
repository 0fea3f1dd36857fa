import {connect} from 'node:net';

import {errAsync, okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {freePort} from '../../../test/support/free_port.js';
import {position} from '../../../test/support/positions.js';
import {KeyedStore} from '../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../clients/index.js';
import {hostPort, vmName} from '../../core/index.js';
import type {LogPosition, Millis} from '../../core/index.js';
import {configurationTiming, registrationTiming} from '../../direct/index.js';
import type {KeyedChange} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import {SILENT_LOGGER, SystemClock} from '../../observability/index.js';
import {KeyedFollower} from './keyed_follower.js';
import {ZoneStore} from './zone_store.js';

const TOPIC = 'topic';
const BOUND = 1_000;
const ENTRIES = 8;

/** Response timeout of a store client that is given none. */
const DEFAULT_RESPONSE_TIMEOUT = 1_000;

/** An in-memory store that counts its calls and can become unavailable. */
class CountingStore extends KeyedStore {
  calls = 0;
  isUnavailable = false;
  /** Number of next reads whose responses are lost. */
  lostResponses = 0;

  constructor(private readonly log: string[]) {
    super();
  }

  list(): ResultAsync<KeyedListing, Fault> {
    this.calls += 1;
    return okAsync({records: [], startedAt: position(0)});
  }

  read(
    _topic: string,
    {offset: from}: LogPosition,
    wait: Millis,
    responseTimeout: Millis = DEFAULT_RESPONSE_TIMEOUT,
  ): ResultAsync<KeyedPage, Fault> {
    this.calls += 1;
    if (this.isUnavailable) return errAsync(new Fault('store_unavailable'));
    if (this.lostResponses > 0) {
      this.lostResponses -= 1;
      const timeout = pause(wait + responseTimeout);
      return okAsync(undefined)
        .map(() => timeout)
        .andThen(() => errAsync(new Fault('store_unavailable')));
    }
    const page = async (): Promise<KeyedPage> => {
      const end = performance.now() + wait;
      while (this.log.length <= from && performance.now() < end) {
        await new Promise(resolve => setTimeout(resolve, 5));
      }
      const records = this.log.slice(from).map((text, i) => ({
        key: `${from + i}`,
        position: position(from + i),
        value: Buffer.from(text),
      }));
      return {kind: 'records', records, next: position(this.log.length)};
    };
    return okAsync(undefined).map(page);
  }

  put(): ResultAsync<LogPosition, Fault> {
    return errAsync(new Fault('store_unavailable'));
  }
}

/** A store that came back in another era, and may not list what it has. */
class RestoredStore extends CountingStore {
  era = 1;

  override list(): ResultAsync<KeyedListing, Fault> {
    if (this.isUnavailable) return errAsync(new Fault('store_unavailable'));
    const startedAt = position(1, this.era);
    const record = {key: 'k', position: position(0, this.era)};
    return okAsync({
      records: [{...record, value: Buffer.from(`era ${this.era}`)}],
      startedAt,
    });
  }

  override read(
    _topic: string,
    from: LogPosition,
  ): ResultAsync<KeyedPage, Fault> {
    const isExpired = from.era < this.era;
    const {era} = position(0, this.era);
    return okAsync(
      isExpired
        ? {kind: 'expired', era}
        : {kind: 'records', records: [], next: from},
    );
  }
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

interface Entry {
  readonly store: CountingStore;
  readonly zone: ZoneStore;
  readonly follower: KeyedFollower;
  readonly received: string[];
}

describe('ZoneStore', () => {
  let log: string[];
  let entries: Entry[] = [];
  /** Relay addresses of the entries. */
  let relays: string[];

  beforeEach(() => startZone(ENTRIES));

  /** Starts entries of one zone and waits until they follow the topic. */
  async function startZone(
    count: number,
    timing = configurationTiming(BOUND),
  ): Promise<void> {
    await stopZone();
    log = [];
    entries = [];
    const clock = new SystemClock();
    const zoneEntries: {name: ReturnType<typeof vmName>; relay: string}[] = [];
    for (let i = 0; i < count; i++) {
      const relay = hostPort('127.0.0.1', await freePort());
      zoneEntries.push({name: vmName(`entry-${i}`), relay});
    }
    relays = zoneEntries.map(({relay}) => relay);
    for (const {name, relay} of zoneEntries) {
      const store = new CountingStore(log);
      const timings = new Map([[TOPIC, timing]]);
      const zone = new ZoneStore(store, name, timings, clock, SILENT_LOGGER);
      await zone.listen(relay);
      zone.setEntries(zoneEntries, () => true);
      const received: string[] = [];
      const onChanges = (changes: readonly KeyedChange[]) =>
        changes.forEach(({value}) =>
          received.push(Buffer.from(value!).toString()),
        );
      const follower = new KeyedFollower(
        zone,
        {topic: TOPIC, wait: BOUND, spacing: 0},
        clock,
        {
          onChanges,
          onRecovered: () => undefined,
          onRestored: () => undefined,
        },
        SILENT_LOGGER,
      );
      follower.start();
      entries.push({store, zone, follower, received});
    }
    await pause(2 * BOUND);
  }

  afterEach(() => stopZone());

  async function stopZone(): Promise<void> {
    for (const {follower} of entries) follower.stop();
    await Promise.all(entries.map(({zone}) => zone.close()));
    entries = [];
  }

  /** Returns the time until all given entries have received a text, ms. */
  async function timeUntilReceived(
    text: string,
    receivers: readonly Entry[],
  ): Promise<number> {
    const startedAt = performance.now();
    while (receivers.some(({received}) => !received.includes(text))) {
      if (performance.now() - startedAt > 10_000)
        throw new Error('not received');
      await pause(5);
    }
    return performance.now() - startedAt;
  }

  it('reads through one entry and delivers each record once', async () => {
    const before = entries.map(({store}) => store.calls);
    for (let i = 0; i < 20; i++) {
      log.push(`update ${i}`);
      await pause(60);
    }
    expect(await timeUntilReceived('update 19', entries)).toBeLessThan(BOUND);
    for (const {received} of entries) {
      expect(received).toEqual(
        Array.from({length: 20}, (_, i) => `update ${i}`),
      );
    }
    const calls = entries.map(({store}, i) => store.calls - before[i]!);
    expect(calls.slice(1).every(count => count === 0)).toBe(true);
    expect(calls[0]).toBeLessThan(20);
  });

  it('reads a topic that changes all the time through one entry', async () => {
    await startZone(ENTRIES, registrationTiming(BOUND));
    const before = entries.map(({store}) => store.calls);
    const end = performance.now() + 6 * BOUND;
    while (performance.now() < end) {
      log.push('heartbeat');
      await pause(20);
    }
    const calls = entries.map(({store}, i) => store.calls - before[i]!);
    expect(calls.slice(1)).toEqual(calls.slice(1).map(() => 0));
  }, 20_000);

  it('polls each topic of the relay without waiting for the others', async () => {
    const topics = ['a', 'b', 'c', 'd', 'e'];
    const timings = new Map(
      topics.map(name => [name, {bound: 4 * BOUND, busySpacing: 0}]),
    );
    const clock = new SystemClock();
    const [listener, relay] = ['entry-7', 'entry-0'].map(
      name =>
        new ZoneStore(
          new CountingStore(log),
          vmName(name),
          timings,
          clock,
          SILENT_LOGGER,
        ),
    ) as [ZoneStore, ZoneStore];
    const address = hostPort('127.0.0.1', await freePort());
    await relay.listen(address);
    const names = Array.from({length: 6}, (_, i) => vmName(`entry-${i}`));
    listener.setEntries(
      names.map(name => ({name, relay: address})),
      () => true,
    );
    for (const name of topics) await relay.read(name, position(0), 0);
    const startedAt = performance.now();
    await Promise.all(
      topics.map(name => listener.read(name, position(0), BOUND)),
    );
    expect(performance.now() - startedAt).toBeLessThan(1.5 * BOUND);
    await Promise.all([listener.close(), relay.close()]);
  });

  it('delivers a burst of updates well within the bound', async () => {
    let longest = 0;
    for (let i = 0; i < 20; i++) {
      log.push(`update ${i}`);
      longest = Math.max(
        longest,
        await timeUntilReceived(`update ${i}`, entries),
      );
    }
    expect(longest).toBeLessThan(BOUND / 3);
  });

  it.each<[string, (reader: Entry) => unknown]>([
    ['loses the store', ({store}) => (store.isUnavailable = true)],
    [
      'stops',
      ({zone, follower}) => {
        follower.stop();
        return zone.close();
      },
    ],
  ])(
    'receives updates within the bound when the reading entry %s',
    async (_name, injectFault) => {
      await injectFault(entries[0]!);
      log.push('after');
      const others = entries.slice(1);
      expect(await timeUntilReceived('after', others)).toBeLessThan(BOUND);
    },
    15_000,
  );

  it.each([2, ENTRIES])(
    'reads from peers when the store turns away half of %s entries',
    async count => {
      await startZone(count);
      const turnedAway = entries.slice(0, count / 2);
      for (const {store} of turnedAway) store.isUnavailable = true;
      for (let i = 0; i < 5; i++) {
        log.push(`update ${i}`);
        const delay = await timeUntilReceived(`update ${i}`, turnedAway);
        expect(delay).toBeLessThan(BOUND);
      }
    },
    30_000,
  );

  it.each([2, ENTRIES])(
    'receives updates within the bound after a lost response at each of %s entries',
    async count => {
      await startZone(count);
      for (const {store} of entries) store.lostResponses = 1;
      // The next read of each entry that reads for itself has begun by then.
      await pause(0.6 * BOUND);
      log.push('after');
      expect(await timeUntilReceived('after', entries)).toBeLessThan(BOUND);
    },
    30_000,
  );

  it('does not take two entries without the store for each other', async () => {
    await startZone(2);
    const [first, second] = entries as [Entry, Entry];
    first.store.isUnavailable = true;
    second.store.isUnavailable = true;
    await pause(2 * BOUND);
    const lost = await first.zone.read(TOPIC, position(log.length), 0);
    expect(lost.isErr()).toBe(true);
  });

  // An entry that knew of the new era asked only the store, which did not list.
  it('lists a topic of a restored store from a peer if the store does not', async () => {
    const clock = new SystemClock();
    const addresses = [await freePort(), await freePort()].map(port =>
      hostPort('127.0.0.1', port),
    );
    const stores = [new RestoredStore([]), new RestoredStore([])] as const;
    const timings = new Map([[TOPIC, configurationTiming(BOUND)]]);
    const [turnedAway, peer] = stores.map(
      (store, i) =>
        new ZoneStore(store, vmName(`z-${i}`), timings, clock, SILENT_LOGGER),
    ) as [ZoneStore, ZoneStore];
    const both = addresses.map((relay, i) => ({name: vmName(`z-${i}`), relay}));
    turnedAway.setEntries(both, () => true);
    await peer.listen(addresses[1]!);
    for (const store of stores) store.era = 2;
    await peer.list(TOPIC);
    await peer.read(TOPIC, position(1, 2), 0);
    stores[0].isUnavailable = true;
    const page = (await turnedAway.read(TOPIC, position(7, 1), 0)).unwrapOr(
      undefined,
    );
    await Promise.all([turnedAway.close(), peer.close()]);
    expect(page).toMatchObject({kind: 'listing', relayedBy: 'z-1'});
  });

  it('survives a record that coincides with a poll timeout on a slow connection', async () => {
    log.push('first');
    await timeUntilReceived('first', entries);
    const relay = relays[0]!;
    const uncaught: unknown[] = [];
    const record = (thrown: unknown) => uncaught.push(thrown);
    process.on('uncaughtException', record);
    // The second response is queued behind the first on its connection, so it
    // is written long before it is sent.
    const poll = (from: number, wait: number) =>
      `GET /?topic=${TOPIC}&from=${from}&wait=${wait} HTTP/1.1\r\nHost: relay\r\n\r\n`;
    const socket = connect(Number(relay.split(':')[1]), '127.0.0.1');
    let responses = '';
    socket.on(
      'data',
      (chunk: Buffer) => (responses += chunk.toString('latin1')),
    );
    socket.write(poll(1_000, 800) + poll(log.length, 400));
    await pause(150);
    log.push('second');
    await timeUntilReceived('second', entries);
    await pause(1_000);
    socket.destroy();
    process.off('uncaughtException', record);
    expect(uncaught).toEqual([]);
    expect(responses.match(/^HTTP\/1\.1 \d+/gm)).toEqual([
      'HTTP/1.1 204',
      'HTTP/1.1 200',
    ]);
  });

  it('responds to a request with an invalid URL', async () => {
    const res = await new Promise<string>((resolve, reject) => {
      const socket = connect(Number(relays[0]!.split(':')[1]), '127.0.0.1');
      socket.on('data', (chunk: Buffer) => resolve(chunk.toString('latin1')));
      socket.on('error', reject);
      socket.on('close', () => reject(new Error('closed')));
      socket.write('GET // HTTP/1.1\r\nHost: relay\r\n\r\n');
    });
    expect(res).toMatch(/^HTTP\/1\.1 503/);
  });

  it('reads a record too large for the relay from the store itself', async () => {
    log.push('x'.repeat(2 ** 18));
    expect(await timeUntilReceived(log[0]!, entries)).toBeLessThan(BOUND);
  });
});
