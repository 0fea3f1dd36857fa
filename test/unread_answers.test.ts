import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';

/** Buffered by an entry as a whole. */
const ANSWER_BYTES = 1_000_000;
/** More answers than the buffers of the system take. */
const ANSWERS = 16;
const ANSWER = '~'.repeat(ANSWER_BYTES);

let estate: DirectEstate;
let caller: Socket;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(async () => {
  caller.destroy();
  await estate.close();
});

async function startEntry(idleTimeoutMs: number): Promise<void> {
  for (let i = 0; i < 2; i++) {
    await estate.addUpstream(
      ({head, socket}) => void socket.write(sealedAnswer(head, ANSWER)),
    );
  }
  estate.store.put('keyed.op', 'config', {
    Version: 3,
    Routes: [wireRoute('/sheet/', 'safe', {TimeoutMs: 120_000})],
    Services: [{Name: 'app', MaxConnections: 64}],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: idleTimeoutMs,
    },
    Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
  });
  await estate.waitUntilReady();
}

/** Sends all requests on one connection, which is not read. */
function sendRequests(): void {
  const [host, port] = estate.callersAddress.split(':');
  caller = connect({port: Number(port), host});
  caller.on('error', () => undefined);
  caller.pause();
  const request = (i: number) =>
    `GET /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: r${i}\r\n` +
    'Authorization: Bearer k1\r\nDeadline-Ms: 110000\r\n\r\n';
  const requests = Array.from({length: ANSWERS}, (_, i) => request(i));
  caller.write(requests.join(''));
}

const countUnread = async () => {
  const {body} = await estate.operate('/metrics');
  const name = 'baobabspan_responses_cut_total\\{reason="unread"\\}';
  return Number(new RegExp(`${name} (\\d+)`).exec(body)?.[1] ?? 0);
};

describe('an answer that waits for its caller', () => {
  it('is sent whole to a caller that reads slowly for several idle timeouts', async () => {
    await startEntry(4_000);
    sendRequests();
    let received = 0;
    const startedAt = performance.now();
    const reader = setInterval(() => {
      const bytes = caller.read() as Buffer | null;
      received += bytes?.length ?? 0;
    }, 80);
    await expect
      .poll(() => received, {timeout: 60_000, interval: 100})
      .toBeGreaterThan(ANSWERS * ANSWER_BYTES);
    clearInterval(reader);
    expect(performance.now() - startedAt).toBeGreaterThan(12_000);
    expect(await countUnread()).toBe(0);
  }, 90_000);
});
