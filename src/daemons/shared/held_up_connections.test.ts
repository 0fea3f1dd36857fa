import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import type {Fault} from '../../errors/index.js';
import {SystemClock} from '../../observability/index.js';
import {CallerConnections} from './caller_connections.js';

const TIMEOUT_MS = 300;
/** Beyond both timeouts, and what Node adds to them. */
const HELD_UP_MS = 2_500;

let server: Server;
let caller: Socket;
let text: string;

const request = (id: string) =>
  `GET /${id} HTTP/1.1\r\nHost: vans.example\r\n\r\n`;

/** Blocks the event loop of the server. */
function holdUp(): void {
  const until = performance.now() + HELD_UP_MS;
  while (performance.now() < until);
}

beforeEach(async () => {
  text = '';
  server = createServer(
    {connectionsCheckingInterval: TIMEOUT_MS / 3},
    (req, res) => {
      if (connections.accept(req, res)) res.end(`answer to ${req.url}`);
    },
  );
  server.keepAliveTimeout = TIMEOUT_MS;
  server.headersTimeout = 3 * TIMEOUT_MS;
  const events = {
    formatError: ({reason}: Fault) => `HTTP/1.1 400 ${reason}\r\n\r\n`,
    onUnreadable: () => undefined,
    onCut: () => undefined,
    onOverBudget: () => undefined,
    onThrottled: () => undefined,
  };
  const connections = new CallerConnections(server, events, new SystemClock());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.on('data', bytes => (text += bytes.toString('latin1')));
  await once(caller, 'connect');
  caller.write(request('first'));
  await expect.poll(() => text).toMatch(/answer to \/first/);
});
afterEach(() => {
  caller.destroy();
  server.close();
});

// Its connection was reset, or it was answered as too slow, though all of it was there.
describe('a request that comes while its server is held up', () => {
  it('is served though its kept connection was idle for long', async () => {
    caller.write(request('second'));
    holdUp();
    await expect.poll(() => text).toMatch(/answer to \/second/);
  });

  it('is served though its head began long before', async () => {
    const second = request('second');
    caller.write(second.slice(0, 10));
    await new Promise(resolve => setTimeout(resolve, 50));
    caller.write(second.slice(10));
    holdUp();
    await expect.poll(() => text).toMatch(/answer to \/second/);
  });
});
