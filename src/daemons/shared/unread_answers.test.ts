import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SystemClock} from '../../observability/index.js';
import {CallerConnections} from './caller_connections.js';
import type {CutResponse} from './connection_events.js';

const ANSWER_BYTES = 1_000_000;
/** More answers than the buffers of the system take. */
const ANSWERS = 16;
const SEND_TIMEOUT_MS = 1_000;

let server: Server;
let connections: CallerConnections;
let caller: Socket;
let cuts: CutResponse[];

beforeEach(async () => {
  cuts = [];
  server = createServer((req, res) => {
    if (!connections.accept(req, res)) return;
    connections.beginInTurn(req, res, isTurn => {
      if (isTurn) res.end(Buffer.alloc(ANSWER_BYTES));
    });
  });
  const events = {
    formatError: () => 'HTTP/1.1 400 Bad Request\r\n\r\n',
    onUnreadable: () => undefined,
    onCut: (cut: CutResponse) => void cuts.push(cut),
    onOverBudget: () => undefined,
    onThrottled: () => undefined,
  };
  connections = new CallerConnections(server, events, new SystemClock());
  connections.setSendTimeout(SEND_TIMEOUT_MS);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.pause();
  const request = 'GET / HTTP/1.1\r\nHost: vans.example\r\n\r\n';
  caller.write(request.repeat(ANSWERS));
  await expect.poll(() => connections.openResponses).toBeGreaterThan(0);
});
afterEach(() => {
  caller.destroy();
  server.close();
});

const openResponses = () => connections.openResponses;

// It was kept, with the requests behind it, for as long as the caller stayed.
describe('an answer of which its caller reads nothing', () => {
  it('is cut by reset after the time that is set', async () => {
    await expect.poll(openResponses, {timeout: 10_000}).toBe(0);
    expect(cuts.map(({reason}) => reason)).toEqual(['unread']);
    expect(cuts[0]?.unsentBytes).toBeGreaterThan(0);
  });

  it('is kept while a drain has a bound of its own', async () => {
    connections.setSendTimeout(Infinity);
    const closed = once(caller, 'close').then(() => 'closed');
    const waited = new Promise(resolve =>
      setTimeout(() => resolve('waited'), 3 * SEND_TIMEOUT_MS),
    );
    expect(await Promise.race([closed, waited])).toBe('waited');
    expect(openResponses()).toBeGreaterThan(0);
    expect(cuts).toEqual([]);
  });
});
