import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

/** Memory of the smallest VM, MB: a process beyond it is killed. */
const VM_MEMORY_MB = 250;
const LARGE = 3_900_000;
const ROUTE = {TimeoutMs: 9_000};
/** Time for which the load is applied and sound callers send, ms. */
const LOAD_TIME = 4_000;
const SOUND_REQUESTS = 20;

let estate: DirectEstate;
let entry: EntryProcess;
let callers: Socket[];

beforeEach(async () => {
  callers = [];
  estate = new DirectEstate();
  await estate.start(0);
});
afterEach(async () => {
  for (const caller of callers) caller.destroy();
  await entry.end('SIGKILL');
  await estate.close();
});

/** Callers and upstreams share a process, which the large bodies hold up. */
const PATIENT = {'Deadline-Ms': '8000'};

/** Starts an entry whose upstreams answer requests for `/slow/` late or never. */
async function startEntry(delay: number): Promise<void> {
  const answer = (head: string) => sealedAnswer(head, 'ok');
  for (let count = 0; count < 3; count += 1) {
    await estate.addUpstream(({head, socket}) => {
      if (!head.includes('/slow/')) socket.write(answer(head));
      else setTimeout(() => socket.write(answer(head)), delay);
    });
  }
  estate.store.put('keyed.op', 'config', {
    Version: 2,
    Routes: [
      wireRoute('/sheet/', 'safe', ROUTE),
      wireRoute('/slow/', 'safe', ROUTE),
      wireRoute('/once/', 'unsafe', ROUTE),
    ],
    Services: [{Name: 'app', MaxConnections: 64}],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4 * 2 ** 20,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
  });
  entry = new EntryProcess(estate.addressOfStore, await freePorts());
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
}

/** Memory of the entry at its peak, MB. */
function peakMemory(): number {
  const status = readFileSync(`/proc/${entry.child.pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 2 ** 10;
}

const headOf = (path: string, framing: string, key = 'k1') =>
  `POST ${path} HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: b${callers.length}\r\n` +
  `Authorization: Bearer ${key}\r\nDeadline-Ms: 9000\r\n${framing}\r\n\r\n`;
const lengthOf = (bytes: number) => `Content-Length: ${bytes}`;

/** Opens a connection that sends bytes; returns what it received so far. */
function send(...parts: (string | Buffer)[]): () => string {
  const [host, port] = entry.callers.split(':');
  const socket = connect(Number(port), host);
  callers.push(socket);
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', chunk => (text += chunk.toString('latin1')));
  for (const part of parts) socket.write(part);
  return () => text;
}

/** Number of sound callers with small requests that are served under the load. */
async function serveSound(): Promise<number> {
  const answers = [];
  for (let sent = 0; sent < SOUND_REQUESTS; sent += 1) {
    answers.push(estate.callAt(entry.callers, '/sheet/1', PATIENT));
    await pause(LOAD_TIME / SOUND_REQUESTS);
  }
  const results = await Promise.allSettled(answers);
  return results.filter(
    result => result.status === 'fulfilled' && result.value.status === 200,
  ).length;
}

async function expectBounded(): Promise<void> {
  expect(await serveSound()).toBeGreaterThanOrEqual(SOUND_REQUESTS - 1);
  expect(entry.hasEnded).toBe(false);
  expect(peakMemory()).toBeLessThan(VM_MEMORY_MB);
}

const filler = Buffer.alloc(LARGE, 'x');

// Callers saw all of their open requests end with the process.
describe('the memory of an entry stays within its VM', () => {
  it.each([
    ['200 bodies of 3.9 MB', 200, LARGE],
    ['800 bodies of 0.9 MB', 800, 900_000],
    ['400 bodies of 0.2 MB', 400, 200_000],
  ])('under %s that stall before their end', async (_, count, length) => {
    await startEntry(0);
    const body = filler.subarray(0, length - 1_000);
    for (let sent = 0; sent < count; sent += 1)
      send(headOf('/sheet/2', lengthOf(length)), body);
    await expectBounded();
  });

  it('under 200 bodies in chunks that never end', async () => {
    await startEntry(0);
    const begin = `${LARGE.toString(16)}\r\n`;
    for (let sent = 0; sent < 200; sent += 1)
      send(headOf('/sheet/2', 'Transfer-Encoding: chunked'), begin, filler);
    await expectBounded();
  });

  it('under 200 whole bodies of 3.9 MB beside slow upstreams', async () => {
    await startEntry(3_000);
    const texts = Array.from({length: 200}, () =>
      send(headOf('/slow/2', lengthOf(LARGE)), filler),
    );
    await expectBounded();
    await expect
      .poll(() => texts.every(text => text() !== ''), {timeout: 9_000})
      .toBe(true);
    const refused = texts.filter(text => / 503 /.test(text())).length;
    const served = texts.filter(text => / 200 /.test(text())).length;
    expect(served).toBeGreaterThan(0);
    expect(served + refused).toBe(200);
    for (const text of texts) {
      if (/ 503 /.test(text())) expect(text()).toMatch(/retry-after/i);
    }
  });
});
