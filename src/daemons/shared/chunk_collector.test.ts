import {once} from 'node:events';
import {createServer, get} from 'node:http';
import type {IncomingMessage, Server} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {
  ChunkCollector,
  ResponseChunkCollector,
  hasCostlyChunks,
} from './chunk_collector.js';

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

let server: Server;
let lengths: number[];

beforeEach(async () => {
  lengths = [];
  server = createServer((req, res) => {
    new ChunkCollector(req, bytes => lengths.push(bytes));
    res.flushHeaders();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Sends a body in chunks of given lengths; returns its request. */
async function send(sizes: readonly number[]): Promise<IncomingMessage> {
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  const chunks = sizes.map((size, i) => {
    const letter = String.fromCharCode(97 + (i % 26));
    return `${size.toString(16)}\r\n${letter.repeat(size)}\r\n`;
  });
  socket.write(`${HEAD}${chunks.join('')}0\r\n\r\n`);
  const [req] = (await once(server, 'request')) as [IncomingMessage];
  return req;
}

async function textOf(req: IncomingMessage): Promise<string> {
  let text = '';
  for await (const part of req) text += String(part);
  return text;
}

const textOfSizes = (sizes: readonly number[]) =>
  sizes.map((n, i) => String.fromCharCode(97 + (i % 26)).repeat(n)).join('');

it.each([
  ['small ones', Array.from({length: 5_000}, () => 1)],
  ['large ones between small ones', [1, 3_000, 2, 1_024, 1_023, 1_023, 5]],
  ['none', []],
])('passes on all bytes in order: %s', async (_name, sizes) => {
  const req = await send(sizes);
  expect(await textOf(req)).toBe(textOfSizes(sizes));
  expect(lengths).toEqual(sizes);
});

// A body that waited for memory kept each chunk of one byte with 400 bytes of objects.
it('keeps few objects of a request that is not read', async () => {
  const req = await send(Array.from({length: 5_000}, () => 1));
  await expect.poll(() => req.complete).toBe(true);
  const sizes: number[] = [];
  req.on('data', (part: Buffer) => sizes.push(part.length));
  await once(req, 'end');
  expect(sizes.length).toBeLessThanOrEqual(10);
  expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(5_000);
});

it('tells costly chunks', async () => {
  const small = await send(Array.from({length: 300}, () => 1));
  await textOf(small);
  expect(hasCostlyChunks(small)).toBe(true);
  const large = await send(Array.from({length: 300}, () => 300));
  await textOf(large);
  expect(hasCostlyChunks(large)).toBe(false);
});

/** Sends a response in chunks of given lengths; returns the parts its reader gets. */
async function partsOfResponse(sizes: readonly number[]): Promise<string[]> {
  const upstream = createTcpServer(socket => {
    const chunks = sizes.map(
      size => `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`,
    );
    socket.write(
      `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks.join('')}0\r\n\r\n`,
    );
  });
  upstream.listen(0, '127.0.0.1');
  await once(upstream, 'listening');
  const {port} = upstream.address() as AddressInfo;
  const parts: string[] = [];
  await new Promise<void>(resolve => {
    get({port, agent: false}, res => {
      new ResponseChunkCollector(res);
      res.on('data', (part: Buffer) => parts.push(part.toString()));
      res.on('end', resolve);
    });
  });
  upstream.close();
  return parts;
}

it('passes on the first small chunks of a read of a response as they are', async () => {
  const sizes = [60, 70, 2_000, 80];
  const parts = await partsOfResponse(sizes);
  expect(parts.map(part => part.length)).toEqual(sizes);
});

it('collects the further small chunks of a read of a response', async () => {
  const parts = await partsOfResponse(Array.from({length: 5_000}, () => 1));
  expect(parts.join('')).toBe('x'.repeat(5_000));
  expect(parts.length).toBeLessThan(100);
});
