import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  chunk,
  requestIdOf,
  sendRaw,
} from './support/direct_estate.js';

const SMALL_CHUNKS = 20_000;
/** More than an entry buffers of a response. */
const LARGE_CHUNK = 'x'.repeat(2 ** 20 + 1);

let estate: DirectEstate;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(() => estate.close());

/** Returns the chunks of a body in chunked encoding. */
function chunksOf(encoded: string): string[] {
  const chunks: string[] = [];
  let at = 0;
  for (;;) {
    const start = encoded.indexOf('\r\n', at) + 2;
    const length = parseInt(encoded.slice(at, start), 16);
    if (!(length > 0)) return chunks;
    chunks.push(encoded.slice(start, start + length));
    at = start + length + 2;
  }
}

describe('an answer in chunks of one byte', () => {
  // Each chunk was written by itself. A caller that read nothing made its entry hold some
  // megabytes of objects, and 20 such callers 159 MB (Fault).
  it.each([
    ['a body', '/load/1', 'x', LARGE_CHUNK],
    ['an event stream', '/plan/1', '\n', ''],
  ])('is passed on in few writes: %s', async (_name, path, byte, begin) => {
    const body = begin + byte.repeat(SMALL_CHUNKS);
    await estate.addUpstream(({head, socket}) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
          'Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n' +
          (begin === '' ? '' : chunk(begin)) +
          chunk(byte).repeat(SMALL_CHUNKS) +
          '0\r\n\r\n',
      );
    });
    estate.configure(3, ROUTES);
    await estate.waitUntilReady();
    const {text} = await sendRaw(
      estate.callersAddress,
      `POST ${path} HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: r1\r\n` +
        'Authorization: Bearer k1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n',
    );
    const chunks = chunksOf(text.slice(text.indexOf('\r\n\r\n') + 4));
    expect(chunks.join('') === body).toBe(true);
    expect(chunks.length).toBeLessThan(SMALL_CHUNKS / 20);
  });
});
