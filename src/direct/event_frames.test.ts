import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {EventFramer, StreamProgress} from './index.js';

const bytes = (text: string) => Buffer.from(text);

describe('EventFramer and StreamProgress', () => {
  const stream = Array.from(
    {length: 6},
    (_, i) => `id: ${i + 1}\ndata: piece ${i + 1}\n\n`,
  ).join('');

  it('returns the same events regardless of chunk boundaries', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length)), cuts => {
        const framer = new EventFramer();
        const at = [...new Set([0, ...cuts, stream.length])].sort(
          (a, b) => a - b,
        );
        const frames = at
          .slice(1)
          .flatMap((end, i) => framer.push(bytes(stream.slice(at[i], end))));
        expect(frames.map(({id}) => id)).toEqual([1, 2, 3, 4, 5, 6]);
        const whole = Buffer.concat(frames.map(f => f.bytes)).toString();
        expect(whole).toBe(stream);
        expect(framer.rest()).toHaveLength(0);
      }),
    );
  });

  it('joins two runs without gaps or duplicates', () => {
    const progress = new StreamProgress(undefined);
    const first = new EventFramer();
    const cut = stream.indexOf('piece 4') + 3;
    const got = first
      .push(bytes(stream.slice(0, cut)))
      .filter(frame => progress.accept(frame));
    expect(progress.lastId).toBe(3);
    // The second run repeats one event that was already delivered.
    const again = stream.slice(stream.indexOf('id: 3'));
    const rest = new EventFramer()
      .push(bytes(again))
      .filter(frame => progress.accept(frame));
    const all = Buffer.concat([...got, ...rest].map(f => f.bytes)).toString();
    expect(all).toBe(stream);
  });

  it('accepts lines that end in CR LF, and events without an id', () => {
    const framer = new EventFramer();
    const frames = framer.push(bytes('data: x\r\n\r\nid:7\r\ndata: y\r\n\r\n'));
    expect(frames.map(({id}) => id)).toEqual([undefined, 7]);
  });
});
