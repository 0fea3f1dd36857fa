import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {bufferWork} from '../../test/support/buffer_work.js';
import {SegmentedBuffer} from './index.js';

/** Fills a buffer with chunks of the same length. */
function filled(bytes: number, chunk: number): SegmentedBuffer {
  const buffer = new SegmentedBuffer();
  for (let n = 0; n < bytes; n += chunk) buffer.append(Buffer.alloc(chunk));
  return buffer;
}

describe('SegmentedBuffer', () => {
  it('returns the bytes in their order', () => {
    const length = fc.oneof(fc.nat(5), fc.nat(3_000), fc.constant(1_024));
    fc.assert(
      fc.property(fc.array(length, {maxLength: 60}), lengths => {
        const buffer = new SegmentedBuffer();
        const chunks = lengths.map((n, i) => Buffer.alloc(n, i + 1));
        for (const chunk of chunks) buffer.append(chunk);
        const all = Buffer.concat(chunks);
        expect(buffer.size).toBe(all.length);
        expect(buffer.join().equals(all)).toBe(true);
        expect(buffer.take().equals(all)).toBe(true);
        expect(buffer.size).toBe(0);
        buffer.append(Buffer.from('next'));
        expect(buffer.take().toString()).toBe('next');
      }),
    );
  });

  it('goes on after its bytes were read', () => {
    const buffer = filled(1_000, 1);
    expect(buffer.join()).toHaveLength(1_000);
    buffer.append(Buffer.from('x'));
    expect(buffer.join()).toHaveLength(1_001);
    expect(buffer.some(byte => byte === 120)).toBe(true);
    expect(buffer.some(byte => byte === 121)).toBe(false);
  });

  // An object for each chunk of one byte took some hundreds of times its memory.
  it('holds few objects, whatever the size of the chunks', () => {
    expect(filled(64 * 2 ** 10, 1).segmentCount).toBeLessThan(20);
    const mixed = new SegmentedBuffer();
    for (let n = 0; n < 100; n++) {
      mixed.append(Buffer.alloc(2 ** 10));
      mixed.append(Buffer.alloc(1));
    }
    expect(mixed.segmentCount).toBeLessThanOrEqual(201);
  });

  it('does work in proportion to the bytes', () => {
    const small = bufferWork(() => filled(2 ** 14, 1).take());
    const large = bufferWork(() => filled(2 ** 15, 1).take());
    expect(large).toBeLessThan(2.2 * small);
  });
});
