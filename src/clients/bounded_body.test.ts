import {describe, expect, it} from 'vitest';

import {readBounded} from './bounded_body.js';

const CHUNK = new Uint8Array(1_000);

describe('readBounded', () => {
  // Responses of the store, peers and engines were read to their end, if any (LOST).
  it('reads no further than its limit, and closes the body', async () => {
    let [chunks, isClosed] = [0, false];
    async function* endless() {
      try {
        for (;;) {
          chunks += 1;
          yield CHUNK;
          await Promise.resolve();
        }
      } finally {
        isClosed = true;
      }
    }
    await expect(readBounded(endless(), 5_000)).rejects.toThrow(
      'body of more than 5000 bytes',
    );
    expect(chunks).toBe(6);
    expect(isClosed).toBe(true);
  });

  it('returns a body of exactly its limit', async () => {
    async function* body() {
      yield CHUNK;
      await Promise.resolve();
      yield CHUNK;
    }
    expect(await readBounded(body(), 2_000)).toHaveLength(2_000);
  });
});
