import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';

const BODY_BYTES = 4_000;
const BODY = 'x'.repeat(BODY_BYTES);
/** What a replica may be told beyond the caller's own limit, ms. */
const TOLERANCE_MS = 500;

let estate: DirectEstate;
let callers: Socket[];

beforeEach(async () => {
  callers = [];
  estate = new DirectEstate();
  await estate.start();
});
afterEach(async () => {
  for (const caller of callers) caller.destroy();
  await estate.close();
});

async function configure(idleTimeoutMs = 15_000): Promise<void> {
  estate.store.put('keyed.op', 'config', {
    Version: 3,
    Routes: [wireRoute('/sheet/', 'safe', {TimeoutMs: 9_000})],
    Services: [{Name: 'app', MaxConnections: 64}],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4 * 2 ** 20,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: idleTimeoutMs,
    },
    Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
  });
  await estate.waitUntilReady();
}

function connectCaller(): Socket {
  const [host, port] = estate.callersAddress.split(':');
  const caller = connect({port: Number(port), host, allowHalfOpen: true});
  caller.on('error', () => undefined);
  callers.push(caller);
  return caller;
}

const head = (id: string, length = BODY_BYTES) =>
  `POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: ${id}\r\n` +
  `Authorization: Bearer k1\r\nDeadline-Ms: 8000\r\nContent-Length: ${length}\r\n\r\n`;
const pipeline = (caller: number, count: number) =>
  Array.from({length: count}, (_, i) => head(`c${caller}-${i}`) + BODY).join(
    '',
  );

// Upstreams received requests whose callers had left more than 0.5 s before (GONE).
it.each([20, 300, 2_000])(
  'none of %i pipelined requests is sent once their caller has left',
  async count => {
    const arrivals: number[] = [];
    await estate.addUpstream(({head: received, socket}) => {
      arrivals.push(performance.now());
      setTimeout(() => socket.write(sealedAnswer(received, 'ok')), 1_000);
    });
    await configure();
    for (let i = 0; i < 5; i++) {
      const caller = connectCaller();
      caller.resume();
      caller.write(pipeline(i, count));
    }
    await pause(300);
    const leftAt = performance.now();
    for (const caller of callers) caller.destroy();
    await pause(3_000);
    const late = arrivals.filter(at => at > leftAt + TOLERANCE_MS);
    expect(late).toEqual([]);
    expect(arrivals.length).toBeGreaterThanOrEqual(5);
  },
  20_000,
);

// Requests that the entry read late were handed on with their whole limit (BUDGET).
it('pipelined requests hand on the time that is left since they were sent', async () => {
  const excesses: number[] = [];
  let sentAt = 0;
  await estate.addUpstream(({head: received, socket}) => {
    const left = Number(/deadline-ms: (\d+)/i.exec(received)?.[1]);
    excesses.push(performance.now() - sentAt + left - 8_000);
    setTimeout(() => socket.write(sealedAnswer(received, 'ok')), 100);
  });
  await configure();
  const caller = connectCaller();
  caller.resume();
  sentAt = performance.now();
  caller.write(pipeline(0, 40));
  await expect.poll(() => excesses.length, {timeout: 15_000}).toBe(40);
  expect(excesses.filter(excess => excess > TOLERANCE_MS)).toEqual([]);
}, 20_000);

// A caller got 408 for bytes that the entry itself did not read.
it('pipelined bodies are not idle while the entry does not read them', async () => {
  await estate.addUpstream(({head: received, socket}) => {
    setTimeout(() => socket.write(sealedAnswer(received, 'ok')), 100);
  });
  await configure(1_000);
  const caller = connectCaller();
  let text = '';
  caller.on('data', bytes => (text += bytes.toString('latin1')));
  caller.write(pipeline(0, 40));
  const answers = () => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)];
  await expect.poll(() => answers().length, {timeout: 15_000}).toBe(40);
  expect(answers().every(([, status]) => status === '200')).toBe(true);
}, 20_000);

// Its memory was charged for good, until all further bodies were refused.
it('a body behind an answer that closes the connection is released', async () => {
  await estate.addUpstream(({head: received, socket}) => {
    const id = requestIdOf(received);
    const answer = `HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: ${id}\r\nConnection: close\r\n\r\nhello`;
    setTimeout(() => socket.end(answer), 100);
  });
  await configure();
  for (let i = 0; i < 3; i++) {
    const caller = connectCaller();
    caller.resume();
    const second = `${head(`b${i}`, 60_000)}${'y'.repeat(20_000)}`;
    caller.write(`${head(`a${i}`)}${BODY}${second}`);
    await pause(500);
    caller.write('y'.repeat(40_000));
    await pause(300);
    caller.destroy();
  }
  const held = async () => {
    const {body} = await estate.operate('/status');
    return (JSON.parse(body) as {memory_used: number}).memory_used;
  };
  await expect.poll(held, {timeout: 10_000}).toBe(0);
}, 20_000);

// A caller that read late lost its answer to the requests that it sent behind it.
it('an answer before discarded requests is delivered to a caller that reads late', async () => {
  const bytes = 700_000;
  await estate.addUpstream(({head: received, socket}) => {
    const id = requestIdOf(received);
    const answer = `HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nRequest-Id: ${id}\r\n\r\n`;
    socket.end(answer + '~'.repeat(bytes));
  });
  await configure();
  const caller = connectCaller();
  caller.pause();
  caller.write(head('a') + BODY);
  await pause(500);
  for (let i = 0; i < 40; i++) {
    caller.write(head(`b${i}`, 0));
    await pause(20);
  }
  await pause(3_000);
  let received = 0;
  caller.on('data', part => {
    received += part.toString('latin1').split('~').length - 1;
  });
  caller.resume();
  await expect.poll(() => received, {timeout: 10_000}).toBe(bytes);
}, 20_000);
