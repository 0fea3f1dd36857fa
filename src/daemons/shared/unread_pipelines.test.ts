/** Clients of ports that are not for callers, which pipeline requests. */
import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SILENT_LOGGER, SystemClock} from '../../observability/index.js';
import {Metrics} from '../../observability/metrics.js';
import {acceptLinks} from '../../links/index.js';
import {freePort} from '../../../test/support/free_port.js';
import {RelayServer} from '../direct/relay_server.js';
import {OperatorServer} from './operator_server.js';

const HOST = '127.0.0.1';
const REQUESTS = 10_000;
/** Size of a response. */
const RESPONSE_BYTES = 256 * 2 ** 10;
/** Responses that the system's buffers of a connection take, with room to spare. */
const MAX_BEGUN = 100;
/** Time in which the requests arrive. */
const ARRIVAL_MS = 1_000;

let sockets: Socket[];
let closeServer: () => unknown;

beforeEach(() => {
  sockets = [];
});
afterEach(async () => {
  sockets.forEach(socket => socket.destroy());
  await closeServer();
});

function pipeline(
  port: number,
  path: string,
  method = 'GET',
  body = '',
): Socket {
  const socket = connect({port, host: HOST});
  socket.on('error', () => undefined);
  socket.pause();
  const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
  const request = `${method} ${path} HTTP/1.1\r\nHost: a\r\n${length}\r\n${body}`;
  socket.write(request.repeat(REQUESTS));
  sockets.push(socket);
  return socket;
}

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

// Requests were read and begun without a bound, whether their responses were read or
// not: 118 to 166 MB for ten thousand (FAULT).
describe('requests that are pipelined and whose responses are not read', () => {
  // Those with a body all began as they were read: 1,236 responses, 419 MB.
  it.each([
    ['without a body', ''],
    ['with a body', 'x'],
  ])('begin in their turn at a port for operators, %s', async (_name, body) => {
    let begun = 0;
    const server = new OperatorServer({
      clock: new SystemClock(),
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
      notReadyReason: () => undefined,
      status: () => {
        begun += 1;
        return {text: 'x'.repeat(RESPONSE_BYTES)};
      },
    });
    closeServer = () => server.close();
    const address = await server.listen(HOST, 0);
    pipeline(Number(address.split(':')[1]), '/status', 'GET', body);
    await pause(ARRIVAL_MS);
    expect(begun).toBeGreaterThan(0);
    expect(begun).toBeLessThan(MAX_BEGUN);
    const health = await fetch(`http://${address}/healthz`);
    expect(health.status).toBe(200);
  });

  it('begin in their turn at a relay', async () => {
    let begun = 0;
    const port = await freePort();
    const server = new RelayServer(
      new Map(),
      new SystemClock(),
      SILENT_LOGGER,
      (_req, res) => {
        begun += 1;
        res.end('x'.repeat(RESPONSE_BYTES));
      },
    );
    closeServer = () => server.close();
    await server.listen(`${HOST}:${port}`);
    pipeline(port, '/limits', 'POST');
    await pause(ARRIVAL_MS);
    expect(begun).toBeGreaterThan(0);
    expect(begun).toBeLessThan(MAX_BEGUN);
  });

  it('are not read after the first at a port for links', async () => {
    const listener = {message: () => {}, open: () => {}, closed: () => {}};
    const server = await acceptLinks(
      HOST,
      0,
      () => {
        throw new Error('no links here');
      },
      listener,
    );
    closeServer = () => server.close();
    const socket = pipeline(Number(server.address.split(':')[1]), '/');
    let answers = 0;
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.setEncoding('latin1').on('data', (text: string) => {
      answers += text.split('HTTP/1.1 426').length - 1;
    });
    socket.resume();
    await closed;
    expect(answers).toBeLessThanOrEqual(1);
  });
});
