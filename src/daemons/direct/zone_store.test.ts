import {connect} from 'node:net';

import {errAsync, okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {freePort} from '../../../test/support/direct_estate.js';
import {KeyedStore} from '../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../clients/index.js';
import {hostPort, offset, vmName} from '../../core/index.js';
import type {Millis, Offset} from '../../core/index.js';
import type {KeyedChange} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import {SILENT, SystemClock} from '../../observability/index.js';
import {KeyedFollower} from './keyed_follower.js';
import {ZoneStore} from './zone_store.js';

const TOPIC = 'topic';
const BOUND = 1_000;
const ENTRIES = 8;

/** A store in memory that counts its calls and may turn an entry away. */
class CountedStore extends KeyedStore {
  calls = 0;
  isAway = false;

  constructor(private readonly log: string[]) {
    super();
  }

  list(): ResultAsync<KeyedListing, Fault> {
    this.calls += 1;
    return okAsync({records: [], startedAt: offset(0)});
  }

  read(
    _topic: string,
    from: Offset,
    wait: Millis,
  ): ResultAsync<KeyedPage, Fault> {
    this.calls += 1;
    if (this.isAway) return errAsync(new Fault('store_unavailable'));
    const page = async (): Promise<KeyedPage> => {
      const end = performance.now() + wait;
      while (this.log.length <= from && performance.now() < end) {
        await new Promise(resolve => setTimeout(resolve, 5));
      }
      const records = this.log.slice(from).map((text, i) => ({
        key: `${from + i}`,
        offset: offset(from + i),
        value: Buffer.from(text),
      }));
      return {kind: 'records', records, next: offset(this.log.length)};
    };
    return okAsync(undefined).map(page);
  }

  put(): ResultAsync<Offset, Fault> {
    return errAsync(new Fault('store_unavailable'));
  }
}

interface Entry {
  readonly store: CountedStore;
  readonly zone: ZoneStore;
  readonly follower: KeyedFollower;
  readonly heard: string[];
}

describe('ZoneStore', () => {
  let log: string[];
  let entries: Entry[];
  /** Addresses at which the entries relay. */
  let relays: string[];

  beforeEach(async () => {
    log = [];
    entries = [];
    const clock = new SystemClock();
    const known: {name: ReturnType<typeof vmName>; relay: string}[] = [];
    for (let i = 0; i < ENTRIES; i++) {
      const relay = hostPort('127.0.0.1', await freePort());
      known.push({name: vmName(`entry-${i}`), relay});
    }
    relays = known.map(({relay}) => relay);
    for (const {name, relay} of known) {
      const store = new CountedStore(log);
      const bounds = new Map([[TOPIC, BOUND]]);
      const zone = new ZoneStore(store, name, bounds, clock, SILENT);
      await zone.listen(relay);
      zone.setEntries(known);
      const heard: string[] = [];
      const take = (changes: readonly KeyedChange[]) =>
        changes.forEach(({value}) =>
          heard.push(Buffer.from(value!).toString()),
        );
      const follower = new KeyedFollower(
        zone,
        {topic: TOPIC, wait: BOUND, spacing: 0},
        clock,
        {onChanges: take, onRecovered: () => undefined},
        SILENT,
      );
      follower.start();
      entries.push({store, zone, follower, heard});
    }
    await pause(2 * BOUND);
  });

  afterEach(async () => {
    for (const {follower} of entries) follower.stop();
    await Promise.all(entries.map(({zone}) => zone.close()));
  });

  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

  /** Time until all entries have heard a text. */
  async function heardBy(
    text: string,
    whom: readonly Entry[],
  ): Promise<number> {
    const startedAt = performance.now();
    while (whom.some(({heard}) => !heard.includes(text))) {
      if (performance.now() - startedAt > 10_000) throw new Error('not heard');
      await pause(5);
    }
    return performance.now() - startedAt;
  }

  it('has one entry read for all, and each hears everything once', async () => {
    const before = entries.map(({store}) => store.calls);
    for (let i = 0; i < 20; i++) {
      log.push(`news ${i}`);
      await pause(60);
    }
    expect(await heardBy('news 19', entries)).toBeLessThan(BOUND);
    for (const {heard} of entries) {
      expect(heard).toEqual(Array.from({length: 20}, (_, i) => `news ${i}`));
    }
    const calls = entries.map(({store}, i) => store.calls - before[i]!);
    expect(calls.slice(1).every(count => count === 0)).toBe(true);
    expect(calls[0]).toBeLessThan(20);
  });

  it.each<[string, (reader: Entry) => unknown]>([
    ['loses the store', ({store}) => (store.isAway = true)],
    [
      'ends',
      ({zone, follower}) => {
        follower.stop();
        return zone.close();
      },
    ],
  ])(
    'hears in time when the entry that reads %s',
    async (_name, harm) => {
      await harm(entries[0]!);
      log.push('after');
      const others = entries.slice(1);
      expect(await heardBy('after', others)).toBeLessThan(BOUND);
    },
    15_000,
  );

  it('does not end when news and the end of a wait meet on a slow connection', async () => {
    log.push('first');
    await heardBy('first', entries);
    const relay = relays[0]!;
    const uncaught: unknown[] = [];
    const note = (thrown: unknown) => uncaught.push(thrown);
    process.on('uncaughtException', note);
    // The second answer waits behind the first one on its connection, so that
    // it is written long before it is taken.
    const ask = (from: number, wait: number) =>
      `GET /?topic=${TOPIC}&from=${from}&wait=${wait} HTTP/1.1\r\nHost: relay\r\n\r\n`;
    const socket = connect(Number(relay.split(':')[1]), '127.0.0.1');
    let answers = '';
    socket.on('data', (chunk: Buffer) => (answers += chunk.toString('latin1')));
    socket.write(ask(1_000, 800) + ask(log.length, 400));
    await pause(150);
    log.push('second');
    await heardBy('second', entries);
    await pause(1_000);
    socket.destroy();
    process.off('uncaughtException', note);
    expect(uncaught).toEqual([]);
    expect(answers.match(/^HTTP\/1\.1 \d+/gm)).toEqual([
      'HTTP/1.1 204',
      'HTTP/1.1 200',
    ]);
  });

  it('answers a question whose address is none', async () => {
    const res = await new Promise<string>((resolve, reject) => {
      const socket = connect(Number(relays[0]!.split(':')[1]), '127.0.0.1');
      socket.on('data', (chunk: Buffer) => resolve(chunk.toString('latin1')));
      socket.on('error', reject);
      socket.on('close', () => reject(new Error('closed')));
      socket.write('GET // HTTP/1.1\r\nHost: relay\r\n\r\n');
    });
    expect(res).toMatch(/^HTTP\/1\.1 503/);
  });

  it('hears what is too large to relay from the store itself', async () => {
    log.push('x'.repeat(2 ** 18));
    expect(await heardBy(log[0]!, entries)).toBeLessThan(BOUND);
  });
});
