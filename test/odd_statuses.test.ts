import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

import {pack} from 'msgpackr';
import {okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';
import {afterEach, describe, expect, it} from 'vitest';

import {PlatformRankClient} from '../platform/rank_client.js';
import {PlatformStore} from '../platform/store_client.js';
import {HttpRankEngineClient, KeyedStore} from '../src/clients/index.js';
import type {KeyedListing, KeyedPage} from '../src/clients/index.js';
import {vmName} from '../src/core/index.js';
import type {LogPosition} from '../src/core/index.js';
import {PeerChannel} from '../src/daemons/direct/peer_channel.js';
import {ZoneStore} from '../src/daemons/direct/zone_store.js';
import {configurationTiming} from '../src/direct/index.js';
import type {Fault} from '../src/errors/index.js';
import {SILENT_LOGGER, SystemClock} from '../src/observability/index.js';
import {position} from './support/positions.js';
import {recordUncaught} from './support/uncaught.js';

const STATUSES = ['000 OK', '000', '0', '099 OK', '150 OK', '600 OK', '999 OK'];
const TOPIC = 'topic';

const uncaught = recordUncaught();
const servers: Server[] = [];
afterEach(() => {
  servers.splice(0).forEach(server => server.close());
  expect(uncaught).toEqual([]);
});

/** Answers each request with a status line and a body that would be good. */
async function answerWith(status: string, body: Buffer | object) {
  const bytes = Buffer.isBuffer(body)
    ? body
    : Buffer.from(JSON.stringify(body));
  let requests = 0;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      const fields = 'Contact-Age: 0\r\nLog-Era: 0\r\nContent-Length: ';
      const head = `HTTP/1.1 ${status}\r\n${fields}${bytes.length}\r\n\r\n`;
      socket.write(Buffer.concat([Buffer.from(head), bytes]));
    });
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, count: () => requests};
}

/** A store without records. */
class EmptyStore extends KeyedStore {
  list(): ResultAsync<KeyedListing, Fault> {
    return okAsync({records: [], startedAt: position(0)});
  }

  read(): ResultAsync<KeyedPage, Fault> {
    return okAsync({kind: 'records', records: [], next: position(0)});
  }

  put(): ResultAsync<LogPosition, Fault> {
    return okAsync(position(0));
  }
}

// A replica with a fault answered with status 000, and a client took the answer.
describe.each(STATUSES)('an answer whose status line is %j', status => {
  it('is none of an engine to its sidecar', async () => {
    const group = {Name: 'g', epoch: 1, rank: 0, State: 'open'};
    const {address} = await answerWith(status, {group, size: 2});
    const client = new PlatformRankClient(address);
    expect((await client.report()).isErr()).toBe(true);
    const release = {kind: 'release', step: 4} as const;
    expect(await client.sendOrder(release, 1, 1)).toBe('unanswered');
    expect(await client.sendOrderAndReport(release, 1, 1, 0)).toEqual({
      outcome: 'unanswered',
      report: undefined,
    });
    const own = await answerWith(status, {have: 3});
    const engine = new HttpRankEngineClient(`http://${own.address}`);
    const loaded = await engine.loadedBytes({layer: 0, expert: 0});
    expect(loaded.isErr()).toBe(true);
  });

  it('is none of the store', async () => {
    const listing = {Items: [], HasMore: false, End: 0, Offset: 0};
    const {address} = await answerWith(status, listing);
    const store = new PlatformStore(address);
    expect((await store.list(TOPIC)).isErr()).toBe(true);
    expect((await store.put(TOPIC, 'k', Buffer.from('v'))).isErr()).toBe(true);
  });

  it('is none of another entry to a message', async () => {
    const {address} = await answerWith(status, pack([]));
    const peers = new PeerChannel(new SystemClock(), SILENT_LOGGER);
    peers.setPeers([address]);
    const message = Buffer.from('message');
    expect(await peers.broadcast('/x', message, () => 'taken')).toEqual([]);
    await peers.close();
  });

  // With 600 and 999 each read asked the relay first, and no line named it.
  it('is none of a relay, which is then skipped', async () => {
    const records = [['k', 0, Buffer.from('v')]];
    const relay = await answerWith(status, pack({next: 1, records}));
    const names = Array.from({length: 6}, (_, i) => vmName(`entry-${i}`));
    const timings = new Map([[TOPIC, configurationTiming(1_000)]]);
    const clock = new SystemClock();
    const zone = new ZoneStore(
      new EmptyStore(),
      names[5]!,
      timings,
      clock,
      SILENT_LOGGER,
    );
    const entries = names.map((name, i) => ({
      name,
      relay: i === 0 ? relay.address : '127.0.0.1:9',
    }));
    zone.setEntries(entries, () => true);
    await zone.list(TOPIC);
    for (let i = 0; i < 3; i++) {
      const read = await zone.read(TOPIC, position(0), 200);
      expect(read._unsafeUnwrap()).toMatchObject({
        kind: 'records',
        records: [],
      });
    }
    expect(relay.count()).toBe(1);
    await zone.close();
  });
});
