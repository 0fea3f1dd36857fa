import {describe, expect, it} from 'vitest';

import {ReplayBuffer} from './replay_buffer.js';

const piece = (text: string, event?: number) => ({
  body: new TextEncoder().encode(text),
  event,
});

describe('ReplayBuffer', () => {
  it('returns the pieces from a sequence number on', () => {
    const buffer = new ReplayBuffer(1_000);
    const texts = ['a', 'bc', '', 'def', 'g', 'hij'];
    const pieces = texts.map((text, index) => piece(text, index));
    for (const one of pieces) buffer.append(one);
    expect(buffer.piecesFrom(0)).toEqual(pieces);
    expect(buffer.piecesFrom(4)).toEqual(pieces.slice(3));
    expect(buffer.piecesFrom(7)).toEqual([]);
    buffer.append(piece('k'));
    expect(buffer.piecesFrom(7)).toEqual([piece('k')]);
    expect(buffer.bytes).toBe(11);
    buffer.discard();
    expect(buffer.piecesFrom(1)).toBeUndefined();
  });

  // A piece was an object of some hundreds of bytes, and the limits of the sidecar's
  // memory counted their content alone: short events filled its heap (Fault).
  it('counts the memory of short pieces', () => {
    const retained = (bytes: number) => {
      const buffer = new ReplayBuffer(64 * 2 ** 10);
      let count = 0;
      do {
        buffer.append(piece('x'.repeat(bytes)));
        count += 1;
      } while (buffer.retainedBytes > 0);
      return count;
    };
    expect(retained(1)).toBeLessThan(2 ** 12);
    expect(retained(2 ** 10)).toBeGreaterThan(60);
  });
});
