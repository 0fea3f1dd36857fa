import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  pause,
  sealedAnswer,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';

const BODY = 'x'.repeat(30_000);

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

async function startWith(...scripts: Script[]): Promise<void> {
  for (const script of scripts) await estate.addUpstream(script);
  estate.configure(3, ROUTES);
  await estate.waitUntilReady();
}

function send(path: string, body = BODY, declared = BODY.length): Socket {
  const [host, port] = estate.callersAddress.split(':');
  const caller = connect(Number(port), host);
  callers.push(caller);
  caller.on('error', () => undefined);
  caller.resume();
  caller.write(
    `POST ${path} HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: b${callers.length}\r\n` +
      'Authorization: Bearer k1\r\nDeadline-Ms: 1200\r\n' +
      `Content-Length: ${declared}\r\n\r\n${body}`,
  );
  return caller;
}

/** Bytes of callers' bodies that the entry holds. */
async function heldBytes(): Promise<number> {
  const {body} = await estate.operate('/status');
  return (JSON.parse(body) as {bodies_bytes: number}).bodies_bytes;
}

const silent: Script = () => undefined;
const answers: [string, Script][] = [
  ['a whole answer', ({head, socket}) => socket.write(sealedAnswer(head, 'a'))],
  [
    'a failure',
    ({head, socket}) =>
      socket.write(sealedAnswer(head, 'a', '500 Internal Server Error')),
  ],
  ['a reset', ({socket}) => socket.resetAndDestroy()],
  [
    'an answer that is cut',
    ({head, socket}) => socket.end(sealedAnswer(head, 'abc').slice(0, -1)),
  ],
];

// Bytes that were charged for good would stop the reading of all further bodies.
describe('the memory of a body is released', () => {
  it.each(answers)('after %s', async (_, script) => {
    await startWith(script, script);
    for (const path of ['/sheet/1', '/load/1', '/plan/1'])
      for (let count = 0; count < 3; count += 1) send(path);
    await pause(300);
    await expect.poll(heldBytes).toBe(0);
  });

  it('at the deadline, and while no upstream exists', async () => {
    await startWith(silent);
    send('/sheet/1');
    await expect.poll(heldBytes).toBe(BODY.length);
    await expect.poll(heldBytes, {timeout: 3_000}).toBe(0);
  });

  it('as its caller leaves, before and after its end', async () => {
    await startWith(silent);
    const callers = [send('/sheet/1'), send('/sheet/2', 'x')];
    await expect.poll(heldBytes).toBe(2 * BODY.length);
    for (const caller of callers) caller.destroy();
    await expect.poll(heldBytes).toBe(0);
  });

  it('as its process stops', async () => {
    await startWith(silent);
    send('/sheet/1');
    await expect.poll(heldBytes).toBe(BODY.length);
    const drained = estate.drain();
    await expect.poll(heldBytes, {timeout: 3_000}).toBe(0);
    await drained;
  });
});

// It was kept until the end of the response, however long that took.
describe('a body that no attempt needs further', () => {
  it('is released once its only attempt was sent', async () => {
    await startWith(silent, silent);
    send('/load/1');
    send('/sheet/1');
    await pause(200);
    expect(await heldBytes()).toBe(BODY.length);
    expect(JSON.parse((await estate.operate('/status')).body)).toMatchObject({
      openRequests: 2,
    });
  });

  it('is kept for another upstream', async () => {
    const received: number[] = [];
    await startWith(
      ({head, socket}) => {
        received.push(Number(/content-length: (\d+)/i.exec(head)?.[1]));
        setTimeout(() => socket.resetAndDestroy(), 100);
      },
      ({head, socket}) => {
        received.push(Number(/content-length: (\d+)/i.exec(head)?.[1]));
        setTimeout(() => socket.write(sealedAnswer(head, 'a')), 100);
      },
    );
    for (let count = 0; count < 4; count += 1) send('/sheet/1');
    await expect.poll(() => received.length).toBeGreaterThan(4);
    expect(new Set(received)).toEqual(new Set([BODY.length]));
    await expect.poll(heldBytes).toBe(0);
  });
});
