import {describe, expect, it, vi} from 'vitest';

import {BufferBudget} from './buffer_budget.js';
import {ResponseBuffer} from './response_buffer.js';

const KIB = 2 ** 10;
const MIB = 2 ** 20;
const chunkOf = (bytes: number) => Buffer.alloc(bytes, 'x');

describe('ResponseBuffer', () => {
  it('overflows above its limit', () => {
    const buffer = new ResponseBuffer(new BufferBudget(4 * MIB));
    expect(buffer.add(chunkOf(MIB))).toBe(false);
    expect(buffer.add(chunkOf(1))).toBe(true);
    expect(buffer.take()).toHaveLength(MIB + 1);
    expect(buffer.add(chunkOf(5))).toBe(true);
    expect(buffer.take()).toHaveLength(5);
  });

  it('overflows when the buffers of all requests hold the budget', () => {
    const budget = new BufferBudget(10 * KIB);
    const buffers = Array.from({length: 300}, () => new ResponseBuffer(budget));
    const overflowing = buffers.filter(buffer => buffer.add(chunkOf(KIB)));
    expect(overflowing).toHaveLength(290);
    expect(budget.usedBytes).toBe(10 * KIB);
  });

  it('counts a removed body until it is sent', () => {
    const budget = new BufferBudget(KIB);
    const [first, second] = [
      new ResponseBuffer(budget),
      new ResponseBuffer(budget),
    ];
    first.add(chunkOf(KIB));
    first.take();
    expect(second.add(chunkOf(1))).toBe(true);
    first.release();
    expect(budget.usedBytes).toBe(0);
  });

  it('keeps the count of a removed body when the next one is dropped', () => {
    const budget = new BufferBudget(4 * KIB);
    const buffer = new ResponseBuffer(budget);
    buffer.add(chunkOf(KIB));
    buffer.take();
    buffer.clear();
    buffer.add(chunkOf(2 * KIB));
    buffer.clear();
    expect(budget.usedBytes).toBe(KIB);
    buffer.release();
    expect(budget.usedBytes).toBe(0);
  });

  it('buffers the next response after one that overflowed', () => {
    const buffer = new ResponseBuffer(new BufferBudget(KIB));
    expect(buffer.add(chunkOf(KIB + 1))).toBe(true);
    buffer.clear();
    expect(buffer.add(chunkOf(KIB))).toBe(false);
    expect(buffer.take()).toHaveLength(KIB);
  });

  // Each chunk was held as an object of some hundreds of bytes: answers in chunks of one
  // byte ended their entry at its heap limit (Fault).
  it('holds no more objects of a body in small chunks', () => {
    const objectsOf = (chunk: number) => {
      const buffer = new ResponseBuffer(new BufferBudget());
      for (let n = 0; n < 64 * KIB; n += chunk) buffer.add(chunkOf(chunk));
      const concat = vi.spyOn(Buffer, 'concat');
      expect(buffer.take()).toHaveLength(64 * KIB);
      const [[objects = []] = []] = concat.mock.calls;
      concat.mockRestore();
      return objects.length;
    };
    expect(objectsOf(1)).toBeLessThanOrEqual(objectsOf(KIB));
  });
});
