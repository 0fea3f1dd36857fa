import {expect, it} from 'vitest';

import {BodyBuffer} from './buffered_body.js';

/** Fills a buffer with chunks and grows it as they need; returns its content. */
function fill(capacity: number, chunks: readonly string[]): string {
  const buffer = new BodyBuffer(capacity);
  for (const text of chunks) {
    const chunk = Buffer.from(text);
    if (chunk.length > buffer.free)
      buffer.grow(Math.max(buffer.size + chunk.length, 2 * buffer.capacity));
    buffer.add(chunk);
  }
  expect(buffer.size).toBe(chunks.join('').length);
  return buffer.take().toString();
}

// A body that spans several segments must come out as it was sent.
it.each([
  [4, ['abcd']],
  [4, ['ab', 'cd']],
  [4, ['ab', 'cdefg', 'h']],
  [4, ['abcd', 'efgh', 'ijklmnop']],
  [4, ['abcdefghijkl', 'mnopqrstuvwxyz']],
  [16, ['a', 'b']],
  [4, []],
  [1, [...'abcdefghijklmnopqrstuvwxyz']],
])('first capacity %i, chunks %j', (capacity, chunks) => {
  expect(fill(capacity, chunks)).toBe(chunks.join(''));
});
