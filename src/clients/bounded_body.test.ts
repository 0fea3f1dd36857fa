import {describe, expect, it, vi} from 'vitest';

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

  // A peer that sent a byte at a time made its reader hold an object for each byte.
  it('holds no more objects of a body in small chunks', async () => {
    const objectsOf = async (size: number) => {
      async function* body() {
        for (let n = 0; n < 2 ** 16; n += size) yield new Uint8Array(size);
        await Promise.resolve();
      }
      const concat = vi.spyOn(Buffer, 'concat');
      expect(await readBounded(body(), 2 ** 16)).toHaveLength(2 ** 16);
      const [[objects = []] = []] = concat.mock.calls;
      concat.mockRestore();
      return objects.length;
    };
    expect(await objectsOf(1)).toBeLessThanOrEqual(await objectsOf(2 ** 10));
  });
});
