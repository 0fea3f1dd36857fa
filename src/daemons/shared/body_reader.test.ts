import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CallerMemory} from '../../admission/index.js';
import {Fault} from '../../errors/index.js';
import {SystemClock} from '../../observability/index.js';
import {BodyReader} from './body_reader.js';
import {deferContinue, failBody} from './request_body.js';

const KB = 2 ** 10;
const MAX_BYTES = 600 * KB;
const LARGE = 550 * KB;

let memory: CallerMemory<Socket>;
let server: Server;
let bodies: BodyReader<Socket>;
/** Releases the bodies that were read. */
let releases: (() => void)[];
let idleTimeout: number;
let callers: Socket[];

beforeEach(async () => {
  memory = new CallerMemory<Socket>({
    pauseAt: 1_250 * KB,
    closeAt: 1_650 * KB,
    ownPart: 64 * KB,
    pipeliningFrom: 32 * KB,
  });
  bodies = new BodyReader(new SystemClock(), memory);
  releases = [];
  callers = [];
  idleTimeout = 15_000;
  server = createServer();
  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    const limits = {maxBytes: MAX_BYTES, callerTimeout: 900, idleTimeout};
    if (req.url === '/unreadable')
      setTimeout(() => failBody(req, new Fault('bad_request')), 100);
    const body = await bodies.read(req, req.socket, limits);
    if (body.isErr()) {
      res.statusCode = body.error.status;
      res.shouldKeepAlive = false;
      res.end(body.error.reason);
      return;
    }
    const {bytes, release} = body.value;
    res.end(`${bytes.length} ${bytes.every(byte => byte === 120)}`);
    releases.push(release);
  };
  server.on('request', (req, res) => void serve(req, res));
  server.on('checkContinue', (req, res) => {
    deferContinue(req, res);
    server.emit('request', req, res);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  for (const caller of callers) caller.destroy();
  server.closeAllConnections();
  server.close();
});

/** A caller that sends raw bytes and keeps what it receives. */
function send(...parts: string[]): {socket: Socket; text: () => string} {
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  callers.push(socket);
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', chunk => (text += chunk.toString('latin1')));
  for (const part of parts) socket.write(part);
  return {socket, text: () => text};
}

/** Reads as many large bodies as the budget takes. */
async function fillBudget(): Promise<void> {
  for (let count = 0; count < 2; count += 1) {
    const {text} = send(head(LARGE), 'x'.repeat(LARGE));
    await expect.poll(text).toContain(`${LARGE} true`);
  }
}

const head = (length: number, path = '/', more = '') =>
  `POST ${path} HTTP/1.1\r\nHost: a\r\n${more}Content-Length: ${length}\r\n\r\n`;
const chunked =
  'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const chunk = (bytes: number) =>
  `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

describe('BodyReader', () => {
  it.each([0, 10, 64 * KB, 64 * KB + 1, LARGE])(
    'reads a body of %i bytes and charges it until its release',
    async length => {
      const {text} = send(head(length), 'x'.repeat(length));
      await expect.poll(text).toContain(`\r\n\r\n${length} true`);
      expect(memory.usedBytes).toBe(length);
      for (const release of [...releases, ...releases]) release();
      expect(memory.usedBytes).toBe(0);
    },
  );

  it.each([
    ['small chunks', Array.from({length: 300}, () => chunk(7)), 2_100],
    ['large chunks', Array.from({length: 7}, () => chunk(60 * KB)), 420 * KB],
    ['one chunk', [chunk(LARGE)], LARGE],
  ])('reads a body of %s', async (_, chunks, length) => {
    const {text} = send(chunked, ...chunks, '0\r\n\r\n');
    await expect.poll(text).toContain(`${length} true`);
    expect(memory.usedBytes).toBe(length);
    releases.forEach(release => release());
    expect(memory.usedBytes).toBe(0);
  });

  it('releases the memory of each body that is not whole', async () => {
    idleTimeout = 300;
    const tooLarge = send(chunked, chunk(400 * KB), chunk(300 * KB));
    await expect.poll(tooLarge.text).toContain('body_too_large');
    expect(memory.usedBytes).toBe(0);
    const unreadable = send(head(LARGE, '/unreadable'), 'x');
    await expect.poll(unreadable.text).toContain('bad_request');
    expect(memory.usedBytes).toBe(0);
    const gone = send(head(LARGE), 'x');
    await expect.poll(() => memory.usedBytes).toBe(LARGE);
    gone.socket.destroy();
    await expect.poll(() => memory.usedBytes).toBe(0);
    const idle = send(head(LARGE), 'x');
    await expect.poll(idle.text).toContain('request_timeout');
    expect(memory.usedBytes).toBe(0);
    expect(bodies.fields['bodies_incomplete']).toBe(0);
  });

  it('makes a body wait until another is released, and reads it then', async () => {
    await fillBudget();
    const second = send(
      head(LARGE, '/', 'Expect: 100-continue\r\n'),
      'x'.repeat(LARGE),
    );
    await expect.poll(() => bodies.fields['bodies_waiting']).toBe(1);
    expect(second.text()).toBe('');
    releases.forEach(release => release());
    await expect.poll(second.text).toContain(`${LARGE} true`);
    expect(second.text()).toContain('100 Continue');
    releases.forEach(release => release());
    expect(memory.usedBytes).toBe(0);
  });

  it('rejects a body that waits for longer than its caller, and reads small ones', async () => {
    await fillBudget();
    const second = send(head(LARGE), 'x'.repeat(LARGE));
    const third = send(chunked, chunk(LARGE));
    await expect.poll(() => bodies.fields['bodies_waiting']).toBe(2);
    const small = send(head(60 * KB), 'x'.repeat(60 * KB));
    await expect.poll(small.text).toContain(`${60 * KB} true`);
    await expect.poll(second.text).toContain('memory_exhausted');
    await expect.poll(third.text).toContain('memory_exhausted');
    expect(second.text()).toContain('503');
    releases.forEach(release => release());
    expect(memory.usedBytes).toBe(0);
  });

  it('rejects a stalled body that another waits for', async () => {
    const [stalled] = [send(head(LARGE), 'x'), send(head(LARGE), 'x')];
    await expect.poll(() => memory.usedBytes).toBe(2 * LARGE);
    await new Promise(resolve => setTimeout(resolve, 800));
    const whole = send(head(LARGE), 'x'.repeat(LARGE));
    await expect.poll(whole.text).toContain(`${LARGE} true`);
    expect(stalled.text()).toContain('408');
    releases.forEach(release => release());
    expect(memory.usedBytes).toBe(0);
  });
});
