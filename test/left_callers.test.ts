import {once} from 'node:events';
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

const CALLERS = 40;

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

const head = (id: string, length: number) =>
  `POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: ${id}\r\n` +
  `Authorization: Bearer k1\r\nDeadline-Ms: 8000\r\nContent-Length: ${length}\r\n\r\n`;

async function connectCaller(): Promise<Socket> {
  const [host, port] = estate.callersAddress.split(':');
  const caller = connect({port: Number(port), host});
  caller.on('error', () => undefined);
  callers.push(caller);
  await once(caller, 'connect');
  return caller;
}

// An entry that was held up read requests and their callers' leaving together, and
// sent the requests on first (GONE).
it.each([0, 100, 30_000])(
  'requests with bodies of %i bytes are not sent on if their callers left before they were read',
  async length => {
    const arrived: string[] = [];
    await estate.addUpstream(({head: received, socket}) => {
      arrived.push(requestIdOf(received));
      setTimeout(() => socket.write(sealedAnswer(received, 'ok')), 20);
    });
    estate.configure(3, [wireRoute('/sheet/', 'safe', {TimeoutMs: 9_000})]);
    await estate.waitUntilReady();
    await Promise.all(
      Array.from({length: CALLERS}, (_, i) =>
        connectCaller().then(caller => {
          caller.resume();
          caller.write(head(`warm${i}`, 0));
        }),
      ),
    );
    await expect.poll(() => arrived.length).toBe(CALLERS);
    await pause(200);
    for (const [i, caller] of callers.entries()) {
      caller.write(head(`left${i}`, length) + 'x'.repeat(length));
      caller.destroy();
    }
    await pause(500);
    expect(arrived.filter(id => id.startsWith('left'))).toEqual([]);
  },
);
