import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  requestIdOf,
  wireRoute,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

const GRACE_S = 6;
/** As large as a response that an entry receives completely before it sends it. */
const BUFFERED_BYTES = 1_000_000;
/** Small beside what the system takes of what a caller does not read. */
const PART_BYTES = 250_000;
/** More than the system takes. */
const MAX_PARTS = 100;
/** After the time at which an entry closes idle connections, and ends if it is idle. */
const LATE_IN_DRAIN_MS = 4_000;
/** Marks the bytes of bodies. */
const BODY_BYTE = '~';

let estate: DirectEstate;
let entry: EntryProcess;
let callers: SlowCaller[];

const request = (bytes: number, framing: 'length' | 'close' = 'length') =>
  `GET /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: ${framing}\r\n` +
  `Bytes: ${bytes}\r\nAuthorization: Bearer k1\r\n\r\n`;

/** A caller that reads only as it is told to. */
class SlowCaller {
  private readonly socket: Socket;
  private readonly chunks: Buffer[] = [];
  private isReset = false;
  private readonly closed: Promise<void>;

  /** @param requests - the requests, which it sends at once */
  constructor(...requests: string[]) {
    const {callers: port} = entry.ports;
    this.socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    this.socket.on('error', () => (this.isReset = true));
    this.closed = new Promise(resolve => this.socket.on('close', resolve));
    this.socket.on('end', () => {
      // To a reader with unread bytes Node reports a reset as an orderly end.
      this.socket.write('\n', err => (this.isReset ||= err instanceof Error));
      this.socket.end();
    });
    this.socket.pause();
    this.socket.write(requests.join(''));
    callers.push(this);
  }

  /** Reads all that is left, and returns the bytes of bodies and the end. */
  async readRest(): Promise<{bodyBytes: number; isReset: boolean}> {
    this.socket.on('data', (chunk: Buffer) => this.chunks.push(chunk));
    this.socket.resume();
    await this.closed;
    const text = Buffer.concat(this.chunks).toString('latin1');
    const bodyBytes = text.split(BODY_BYTE).length - 1;
    return {bodyBytes, isReset: this.isReset};
  }

  leave(): void {
    this.socket.destroy();
  }
}

/** Answers at once with a body of the length that the request asks for. */
const atOnce: Script = ({head, socket}) => {
  const bytes = Number(/bytes: (\d+)/i.exec(head)?.[1]);
  const id = requestIdOf(head);
  const line =
    id === 'length' ? `Content-Length: ${bytes}` : 'Connection: close';
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n${line}\r\n\r\n`,
  );
  const body = BODY_BYTE.repeat(bytes);
  if (id === 'length') socket.write(body);
  else socket.end(body);
};

/** Returns the number of responses that the entry has not sent completely. */
async function countUnsent(): Promise<number> {
  const res = await fetch(`http://127.0.0.1:${entry.ports.operators}/status`);
  const {openRequests} = (await res.json()) as {openRequests: number};
  return openRequests;
}

/** Returns whether the entry sends all of its responses soon. */
async function isAllSent(): Promise<boolean> {
  for (let i = 0; i < 10; i++) {
    if ((await countUnsent()) === 0) return true;
    await pause(20);
  }
  return false;
}

/**
 * Starts a caller whose last answer is sent in part: answers that it does not read
 * fill the buffers of the system before. Their size varies, so it tries several numbers.
 */
async function startPartlySent(
  framing: 'length' | 'close',
): Promise<{caller: SlowCaller; bytes: number}> {
  for (let count = 1; count <= MAX_PARTS; count += 3) {
    const before = answersLogged();
    const parts = Array.from({length: count}, () => request(PART_BYTES));
    const caller = new SlowCaller(...parts, request(BUFFERED_BYTES, framing));
    const answered = () => answersLogged() - before;
    await expect.poll(answered, {timeout: 5_000}).toBe(count + 1);
    const bytes = count * PART_BYTES + BUFFERED_BYTES;
    if (!(await isAllSent())) return {caller, bytes};
    caller.leave();
  }
  throw new Error('the system takes all answers');
}

const answersLogged = () =>
  entry.lines.filter(
    line => line['event'] === 'request' && line['outcome'] === 'answered',
  ).length;
const cutLines = () =>
  entry.lines.filter(line => line['event'] === 'response_cut');

beforeEach(async () => {
  callers = [];
  estate = new DirectEstate();
  await estate.start(0);
  estate.configure(1, [wireRoute('/sheet/', 'safe', {TimeoutMs: 30_000})]);
  for (let i = 0; i < 4; i++) await estate.addUpstream(atOnce);
  entry = new EntryProcess(estate.addressOfStore, await freePorts(), GRACE_S);
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
});
afterEach(async () => {
  callers.forEach(caller => caller.leave());
  await entry.end('SIGKILL');
  await estate.close();
});

// Connections with unsent answers were closed as idle, and the process ended long
// before its grace (LOST).
describe('an entry that ends beside callers that read slowly', () => {
  it('sends pipelined answers whole within the grace period', async () => {
    const {caller, bytes} = await startPartlySent('length');
    const before = answersLogged();
    const idle = new SlowCaller(request(1));
    await expect.poll(answersLogged).toBe(before + 1);
    const ended = entry.end('SIGTERM');
    await pause(LATE_IN_DRAIN_MS);
    expect((await idle.readRest()).bodyBytes).toBe(1);
    expect(entry.hasEnded).toBe(false);
    const {bodyBytes, isReset} = await caller.readRest();
    expect(bodyBytes).toBe(bytes);
    expect(isReset).toBe(false);
    await ended;
    expect(entry.child.exitCode).toBe(0);
    expect(cutLines()).toEqual([]);
  }, 30_000);

  it('sends an answer without a length whole within the grace period', async () => {
    const {caller, bytes} = await startPartlySent('close');
    const ended = entry.end('SIGTERM');
    await pause(LATE_IN_DRAIN_MS);
    expect(await caller.readRest()).toEqual({bodyBytes: bytes, isReset: false});
    await ended;
    expect(cutLines()).toEqual([]);
  }, 30_000);

  // The cut response ended in order and looked complete (MIXED).
  it('resets what it could not send of an answer without a length', async () => {
    const {caller, bytes} = await startPartlySent('close');
    const startedAt = performance.now();
    await entry.end('SIGTERM');
    const lasted = performance.now() - startedAt;
    const {bodyBytes, isReset} = await caller.readRest();
    expect(bodyBytes).toBeLessThan(bytes);
    expect(isReset).toBe(true);
    expect(lasted).toBeGreaterThan(GRACE_S * 1_000 - 1_000);
    expect(cutLines()).toEqual([
      expect.objectContaining({id: 'close', reason: 'shutdown'}),
    ]);
    expect(Number(cutLines()[0]?.['unsent_bytes'])).toBeGreaterThan(0);
  }, 30_000);
});
