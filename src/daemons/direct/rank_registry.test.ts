import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {PlatformStore} from '../../../platform/store_client.js';
import {KeyedLogServer} from '../../../standins/keyed_log_server.js';
import type {ClaimResult} from './rank_registry.js';
import {RankRegistry} from './rank_registry.js';

const GROUP = 'g0';
const record = (rank: number) => ({
  sidecar: `10.0.0.${rank}:1`,
  engine: `10.0.0.${rank}:2`,
  pace: 1,
});

describe('RankRegistry', () => {
  let store: KeyedLogServer;
  let registry: RankRegistry;

  beforeEach(async () => {
    store = new KeyedLogServer();
    const address = (await store.listen()).replace('http://', '');
    registry = new RankRegistry(new PlatformStore(address), 'ranks');
  });
  afterEach(() => store.close());

  /** Claims once more after the answer that another claim exists. */
  async function claim(rank: number, known: number): Promise<ClaimResult> {
    const first = await registry.claim(GROUP, record(rank), known);
    const result = first._unsafeUnwrap();
    if (result.isOwn) return result;
    const second = await registry.claim(GROUP, record(rank), result.claim);
    return second._unsafeUnwrap();
  }

  it.each([0, 1, 5, 9])(
    'never numbers two claims alike, with a loss of the last %s of 10 records',
    async lost => {
      const numbers: number[] = [];
      const copies = [store.copy()];
      for (let i = 0; i < 10; i++) {
        // A sidecar that has just started knows of no claim.
        const known = i % 3 === 0 ? 0 : numbers.at(-1)!;
        numbers.push((await claim(i, known)).claim);
        copies.push(store.copy());
      }
      store.restore(copies[10 - lost]!);
      for (let i = 0; i < 10; i++) numbers.push((await claim(i, 0)).claim);
      store.restore(copies[0]!);
      numbers.push((await claim(1, 0)).claim);
      expect(numbers).toEqual([...numbers].sort((a, b) => a - b));
      expect(new Set(numbers).size).toBe(numbers.length);
      expect(numbers.every(Number.isSafeInteger)).toBe(true);
    },
  );
});

it('numbers two claims alike when the store answers an append twice, late', async () => {
  let end = 0;
  const repeats = new Map<Socket, string>();
  const server = createServer((req, res) => {
    const isAppend = req.url!.startsWith('/api/log-append');
    const own = isAppend ? {Offset: end++, End: end} : {Items: [], End: end};
    const text = JSON.stringify(own);
    const repeat = isAppend ? repeats.get(req.socket) : undefined;
    if (isAppend)
      repeats.set(
        req.socket,
        `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
      );
    if (repeat !== undefined) req.socket.write(repeat);
    setTimeout(() => res.end(text), repeat === undefined ? 0 : 20);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const store = new PlatformStore(`127.0.0.1:${port}`);
  const registry = new RankRegistry(store, 'ranks');
  const numbers: number[] = [];
  for (let i = 0; i < 8; i++) {
    const claimed = await registry.claim(GROUP, record(1), 0);
    if (claimed.isOk()) numbers.push(claimed.value.claim);
    await new Promise(resolve => setTimeout(resolve, 30));
  }
  server.closeAllConnections();
  server.close();
  expect(numbers.length).toBeGreaterThan(0);
  expect(new Set(numbers).size).toBe(numbers.length);
});
