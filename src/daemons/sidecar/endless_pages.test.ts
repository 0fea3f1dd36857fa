import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import {start} from 'nact';
import {expect, it} from 'vitest';

import {HttpWeightStoreClient} from '../../clients/index.js';
import {SILENT_LOGGER} from '../../observability/index.js';
import type {DaemonContext} from '../shared/context.js';
import {CacheEventsTask} from './cache_events_task.js';

const MIB = 2 ** 20;
/** What is written at most: beyond the limit of a page, and the system's buffers. */
const MAX_WRITTEN = 32 * MIB;
const PART = 'x'.repeat(64 * 2 ** 10);

/** Serves a body without end; `read` resolves with the bytes written when it is closed. */
async function endlessServer(status: string) {
  let onEnd: (written: number) => void;
  const read = new Promise<number>(resolve => (onEnd = resolve));
  const server = createServer(socket => {
    let written = 0;
    let timer: NodeJS.Timeout | undefined;
    const pour = () => {
      socket.write(PART);
      written += PART.length;
      if (written >= MAX_WRITTEN) socket.destroy();
    };
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearInterval(timer);
      server.close();
      onEnd(written);
    });
    socket.once('data', () => {
      socket.write(`HTTP/1.1 ${status}\r\n\r\n`);
      timer = setInterval(pour, 1);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}`, read};
}

// They were read until their timeout, the first as long as bytes came, and filled the
// memory of the sidecar (Fault).
it('reads no further than the limit of a page of cache events', async () => {
  const {url, read} = await endlessServer('200 OK');
  const context = {system: start('cache'), logger: SILENT_LOGGER};
  const task = new CacheEventsTask(
    context as unknown as DaemonContext,
    url,
    () => undefined,
  );
  expect(await read).toBeLessThan(MAX_WRITTEN);
  task.stop();
});

it.each(['206 Partial Content', '503 Busy'])(
  'reads no further than the requested weights: %s',
  async status => {
    const {url, read} = await endlessServer(status);
    const store = new HttpWeightStoreClient(url);
    const weights = await store.read('llm', {layer: 1, expert: 2}, 0, MIB);
    expect(weights._unsafeUnwrapErr().message).toMatch(/body of more than/);
    expect(await read).toBeLessThan(MAX_WRITTEN);
  },
);
