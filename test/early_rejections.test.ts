import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  pause,
  sealedAnswer,
} from './support/direct_estate.js';

let estate: DirectEstate;
let caller: Socket;
let text: string;
let hasEnded: boolean;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
  await estate.addUpstream(({head, socket}) => {
    socket.write(sealedAnswer(head, 'done'));
  });
  estate.store.put('keyed.op', 'config', {
    Version: 3,
    Routes: ROUTES,
    Services: [{Name: 'app', MaxConnections: 8}],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4 * 2 ** 20,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
  });
  await estate.waitUntilReady();
  const [host, port] = estate.callersAddress.split(':');
  caller = connect(Number(port), host);
  [text, hasEnded] = ['', false];
  caller.on('error', () => undefined);
  caller.on('data', chunk => (text += chunk.toString('latin1')));
  caller.on('end', () => (hasEnded = true));
});
afterEach(async () => {
  caller.destroy();
  await estate.close();
});

const head = (path: string, framing: string, key = 'k1') =>
  `POST ${path} HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: b1\r\n` +
  `Authorization: Bearer ${key}\r\n${framing}\r\n\r\n`;
const LARGE = 'Content-Length: 65000';
const TOO_LARGE_TO_DISCARD = 'Content-Length: 65537';
const CHUNKED = 'Transfer-Encoding: chunked';

const rejections: [string, string, string, string][] = [
  ['without a valid key', '/sheet/1', 'k2', '401'],
  ['on an unknown route', '/nowhere/1', 'k1', '404'],
];

// Callers were made to upload the whole body for a rejection that was certain.
describe('a request that cannot be served is rejected before its body is read', () => {
  it.each(rejections)('%s', async (_, path, key, status) => {
    caller.write(head(path, LARGE, key));
    await expect.poll(() => text).toContain(`HTTP/1.1 ${status} `);
    caller.write('x'.repeat(65_000) + head('/sheet/1', 'Content-Length: 0'));
    await expect.poll(() => text).toContain('done');
  });

  it.each(rejections)(
    '%s, and its connection ends if much is left',
    async (_, path, key, status) => {
      caller.write(head(path, TOO_LARGE_TO_DISCARD, key));
      await expect.poll(() => text).toContain(`HTTP/1.1 ${status} `);
      expect(text).toMatch(/connection: close/i);
      await expect.poll(() => hasEnded).toBe(true);
    },
  );

  it.each(rejections)('%s, in chunks', async (_, path, key, status) => {
    caller.write(head(path, CHUNKED, key));
    await expect.poll(() => text).toContain(`HTTP/1.1 ${status} `);
    await expect.poll(() => hasEnded).toBe(true);
  });

  it('after the responses before it', async () => {
    caller.write(head('/sheet/1', 'Content-Length: 0'));
    caller.write(head('/nowhere/1', TOO_LARGE_TO_DISCARD));
    await expect.poll(() => text).toContain('HTTP/1.1 404 ');
    expect(text.indexOf('done')).toBeGreaterThan(0);
    expect(text.indexOf('done')).toBeLessThan(text.indexOf(' 404 '));
  });

  it('and is not told to send it', async () => {
    caller.write(head('/nowhere/1', `${LARGE}\r\nExpect: 100-continue`));
    await expect.poll(() => text).toContain('HTTP/1.1 404 ');
    expect(text).not.toContain('100 Continue');
    await expect.poll(() => hasEnded).toBe(true);
  });
});

// The configuration may change while a body is read.
it('decides again by the configuration in force at the end of the body', async () => {
  caller.write(head('/sheet/1', 'Content-Length: 4') + 'xx');
  await pause(100);
  estate.configure(7, []);
  await expect
    .poll(async () => (await estate.call('/sheet/1')).status)
    .toBe(404);
  caller.write('xx');
  await expect.poll(() => text).toContain('HTTP/1.1 404 ');
});
