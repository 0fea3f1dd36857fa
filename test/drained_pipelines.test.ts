import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

const GRACE_S = 6;
/** After the time at which requests are no longer accepted in a drain. */
const LATE_IN_DRAIN_MS = 4_000;
/** After the time that a caller may take for a head, and two checks of the server. */
const HEAD_TIMEOUT_PASSED_MS = 5_500;
/** Time in a drain after which idle connections are closed. */
const CLOSES_IDLE_MS = 3_000;
/** More than the system takes of an answer that its caller does not read. */
const LARGE_BYTES = 16 * 2 ** 20;

let estate: DirectEstate;
let entry: EntryProcess;
let socket: Socket;

const request = (id: string) =>
  `GET /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: ${id}\r\n` +
  'Authorization: Bearer k1\r\n\r\n';
const linesOf = (id: string) => entry.lines.filter(line => line['id'] === id);

/** Sends both requests at once, reads nothing, and waits for the first answer. */
async function sendPipelined(): Promise<void> {
  socket = connect({port: entry.ports.callers, host: '127.0.0.1'});
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(request('large') + request('behind'));
  const {received} = estate.upstreams[0]!;
  await expect.poll(() => received.length, {timeout: 5_000}).toBe(1);
  await pause(300);
}

/** Reads all that comes, as Latin-1 text, until the connection ends. */
async function readAll(): Promise<string> {
  const chunks: Buffer[] = [];
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  socket.resume();
  await closed;
  return Buffer.concat(chunks).toString('latin1');
}

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start(0);
  estate.configure(1, [wireRoute('/sheet/', 'safe', {TimeoutMs: 30_000})]);
  await estate.addUpstream(({head, socket: near}) => {
    const isLarge = requestIdOf(head) === 'large';
    near.write(sealedAnswer(head, '~'.repeat(isLarge ? LARGE_BYTES : 1)));
  });
  entry = new EntryProcess(estate.addressOfStore, await freePorts(), GRACE_S);
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
});
afterEach(async () => {
  socket.destroy();
  await entry.end('SIGKILL');
  await estate.close();
});

describe('a pipelined request behind an answer that is read slowly', () => {
  it('is refused with a true status once its turn comes late in a drain', async () => {
    await sendPipelined();
    const ended = entry.end('SIGTERM');
    await pause(LATE_IN_DRAIN_MS);
    const text = await readAll();
    const last = text.slice(text.lastIndexOf('HTTP/1.1 '));
    expect(text.split('~').length - 1).toBe(LARGE_BYTES);
    expect(last).toMatch(/^HTTP\/1\.1 503 /);
    expect(last).toMatch(/\r\nRetry-After/i);
    expect(last).toMatch(/\r\nConnection: close\r\n/);
    await ended;
    expect(linesOf('behind')).toEqual([
      expect.objectContaining({event: 'refused', reason: 'draining'}),
    ]);
  }, 30_000);

  // Nobody can answer it then; its line said that its caller had left.
  it('is logged as cut by the shutdown if it is still read slowly at its end', async () => {
    await sendPipelined();
    await entry.end('SIGTERM');
    expect(await readAll()).not.toMatch(/Request-Id: behind/);
    expect(linesOf('large')).toEqual([
      expect.objectContaining({event: 'request', outcome: 'shut_down'}),
    ]);
    expect(linesOf('behind')).toEqual([
      expect.objectContaining({event: 'refused', reason: 'draining'}),
    ]);
  }, 30_000);

  // Its rest lay in the connection, which the entry did not read: it got no answer.
  it('is answered though the entry stopped reading amid its head', async () => {
    await sendPipelined();
    const last = request('last');
    socket.write(request('second') + last.slice(0, 40));
    await pause(300);
    socket.write(last.slice(40));
    await pause(HEAD_TIMEOUT_PASSED_MS);
    const text = readAll();
    await expect.poll(() => linesOf('last').length, {timeout: 5_000}).toBe(1);
    expect(linesOf('last')[0]).toMatchObject({outcome: 'answered'});
    socket.destroy();
    const ids = [...(await text).matchAll(/Request-Id: (\w+)/g)];
    expect(ids.map(([, id]) => id)).toEqual([
      'large',
      'behind',
      'second',
      'last',
    ]);
  }, 30_000);

  it('times out if the rest of its head never comes', async () => {
    await sendPipelined();
    socket.write(request('second') + request('last').slice(0, 40));
    await pause(HEAD_TIMEOUT_PASSED_MS);
    const text = await readAll();
    expect(text).toMatch(/Request-Id: second/);
    expect(text).not.toMatch(/Request-Id: last/);
    expect(entry.lines).toContainEqual(
      expect.objectContaining({event: 'refused', reason: 'request_timeout'}),
    );
  }, 30_000);
});

describe('a request that lay in its connection while the entry was held up', () => {
  // The check of the drain came before the read: its connection was reset.
  it('is answered before a drain closes idle connections', async () => {
    socket = connect({port: entry.ports.callers, host: '127.0.0.1'});
    socket.on('error', () => undefined);
    const text = readAll();
    socket.write(request('first'));
    await expect.poll(() => linesOf('first').length, {timeout: 5_000}).toBe(1);
    const ended = entry.end('SIGTERM');
    await pause(CLOSES_IDLE_MS - 300);
    entry.child.kill('SIGSTOP');
    await pause(500);
    socket.write(request('second'));
    await pause(500);
    entry.child.kill('SIGCONT');
    const last = (await text).split('HTTP/1.1 ').at(-1);
    expect(last).toMatch(/^503 /);
    expect(last).toMatch(/\r\nRetry-After/i);
    await ended;
  }, 30_000);
});
