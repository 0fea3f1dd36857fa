import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {withTimeout} from './time_limit.js';

const LIMIT = 60;
/** Server that answers after the delay in the request path, ms. */
const SERVER = `
  const {parentPort} = require('node:worker_threads');
  const server = require('node:http').createServer((req, res) => {
    setTimeout(() => res.end('answer'), Number(req.url.slice(1)));
  });
  server.listen(0, '127.0.0.1', () => {
    parentPort.postMessage(server.address().port);
  });
`;

describe('withTimeout', () => {
  let worker: Worker;
  let port: number;

  beforeEach(async () => {
    worker = new Worker(SERVER, {eval: true});
    [port] = (await once(worker, 'message')) as [number];
    await ask(0, 10 * LIMIT);
  });

  afterEach(async () => void (await worker.terminate()));

  const ask = (delay: number, limit = LIMIT): Promise<string> =>
    withTimeout(limit, async signal => {
      const res = await request(`http://127.0.0.1:${port}/${delay}`, {signal});
      return res.body.text();
    });

  function block(ms: number): void {
    const end = performance.now() + ms;
    while (performance.now() < end);
  }

  it('accepts an answer that arrived in time while the process was busy', async () => {
    const answer = ask(LIMIT / 2);
    await new Promise(resolve => setTimeout(resolve, LIMIT / 6));
    // Timers run next; the sockets are read after them.
    await new Promise(resolve => setImmediate(resolve));
    block(3 * LIMIT);
    await expect(answer).resolves.toBe('answer');
  });

  it('aborts a call that is not answered', async () => {
    const startedAt = performance.now();
    await expect(ask(20 * LIMIT)).rejects.toThrow('no answer within 60 ms');
    expect(performance.now() - startedAt).toBeLessThan(5 * LIMIT);
  });
});
