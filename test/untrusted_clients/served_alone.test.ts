/** Requests within the limits that cost much, while nothing else goes on. */
import {connect} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {startDirectEntry} from './processes.js';
import type {Running} from './processes.js';

const BODY_BYTES = 4 * 2 ** 20;
const BLOCK_CHUNKS = 2 ** 14;

let entry: Running;

beforeEach(async () => {
  entry = await startDirectEntry();
});
afterEach(() => entry.close());

// What bounds crowds with such bodies must not reject a single one.
it('a body of 4 MB in chunks of one byte is served', async () => {
  const socket = connect(entry.ports['callers']!, '127.0.0.1');
  let text = '';
  socket.on('data', bytes => (text += bytes.toString('latin1')));
  socket.write(
    'POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: c1\r\n' +
      'Authorization: Bearer k1\r\nDeadline-Ms: 60000\r\n' +
      'Transfer-Encoding: chunked\r\n\r\n',
  );
  const block = Buffer.from('1\r\nx\r\n'.repeat(BLOCK_CHUNKS));
  for (let sent = 0; sent < BODY_BYTES; sent += BLOCK_CHUNKS)
    socket.write(block);
  socket.write('0\r\n\r\n');
  await expect.poll(() => text, {timeout: 55_000}).toMatch(/^HTTP\/1.1 200 /);
  socket.destroy();
}, 75_000);
