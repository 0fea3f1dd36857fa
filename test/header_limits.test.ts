import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {DirectEstate, ROUTES, sealedAnswer} from './support/direct_estate.js';

const MAX_HEADER_BYTES = 16_384;
/** Bytes of the shortest header line, as they count: `a:` and separators. */
const SHORTEST_LINE = 5;

let estate: DirectEstate;
let socket: Socket;
let text: string;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
  await estate.addUpstream(({head, socket: to}) =>
    to.write(sealedAnswer(head, 'done')),
  );
  configure(3, MAX_HEADER_BYTES);
  await estate.waitUntilReady();
  const [host, port] = estate.callersAddress.split(':');
  text = '';
  socket = connect(Number(port), host);
  socket.on('data', bytes => (text += bytes.toString('latin1')));
  socket.on('error', () => undefined);
});
afterEach(async () => {
  socket.destroy();
  await estate.close();
});

function configure(version: number, maxHeaderBytes: number): void {
  estate.store.put('keyed.op', 'config', {
    Version: version,
    Routes: ROUTES,
    Services: [{Name: 'app', MaxConnections: 8}],
    Limits: {
      MaxHeaderBytes: maxHeaderBytes,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
  });
}

const request = (id: string, lines = '') =>
  `POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: ${id}\r\n` +
  `Authorization: Bearer k1\r\nContent-Length: 0\r\n${lines}\r\n`;
const statuses = () =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);

// The bound on the number of lines must drop none of a request within the limit.
it('passes on all of 3,000 header lines within the limit', async () => {
  socket.write(request('many', 'a:\r\n'.repeat(3_000)));
  await expect.poll(statuses).toEqual(['200']);
  const [head = ''] = estate.upstreams[0]!.received;
  expect(head.match(/^a:/gm)).toHaveLength(3_000);
});

// Lines beyond the bound are dropped, so such a head must not be served.
it('rejects a head with more lines than the limit can hold', async () => {
  const count = Math.ceil(MAX_HEADER_BYTES / SHORTEST_LINE) + 500;
  socket.write(request('over', 'a:\r\n'.repeat(count)));
  await expect.poll(statuses).toEqual(['431']);
  expect(estate.upstreams[0]!.received).toEqual([]);
});

// A parser keeps the limits of its connection, and would drop lines within new ones.
it('closes a connection from before a raised limit after its next response', async () => {
  socket.write(request('first'));
  await expect.poll(statuses).toEqual(['200']);
  configure(4, 4 * MAX_HEADER_BYTES);
  await expect
    .poll(async () => (await estate.operate('/status')).body)
    .toMatch(/"version": 4/);
  let hasEnded = false;
  socket.on('end', () => (hasEnded = true));
  socket.write(request('second'));
  await expect.poll(statuses).toEqual(['200', '200']);
  await expect.poll(() => hasEnded).toBe(true);
});
