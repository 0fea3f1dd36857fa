import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {bufferWork} from '../../test/support/buffer_work.js';
import {EventFramer, StreamDelivery} from './index.js';

const bytes = (text: string) => Buffer.from(text);

describe('EventFramer and StreamDelivery', () => {
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
    const delivery = new StreamDelivery(undefined, 0);
    const cut = stream.indexOf('piece 4') + 3;
    const first = delivery.push(100, bytes(stream.slice(0, cut)));
    expect(delivery.resumeAfter).toBe(3);
    delivery.startRun();
    // The second run repeats one event that was already delivered.
    const again = stream.slice(stream.indexOf('id: 3'));
    const rest = delivery.push(900, bytes(again));
    const all = Buffer.concat([first!.bytes, rest!.bytes]).toString();
    expect(all).toBe(stream);
  });

  it('measures gaps between the events of a run, not between runs', () => {
    const delivery = new StreamDelivery(undefined, 0);
    const piece = (id: number) => bytes(`id: ${id}\ndata: x\n\n`);
    const gaps = [
      delivery.push(300, piece(1))?.gap,
      delivery.push(370, piece(2))?.gap,
      delivery.push(380, bytes('id: 3\n'))?.gap,
      delivery.push(450, bytes('data: x\n\n'))?.gap,
    ];
    delivery.startRun();
    gaps.push(delivery.push(1_500, piece(4))?.gap);
    gaps.push(delivery.push(1_560, piece(5))?.gap);
    expect(gaps).toEqual([undefined, 70, undefined, 80, undefined, 60]);
    expect(delivery.firstDeliveryAt).toBe(300);
    expect(delivery.lastDeliveryAt).toBe(1_560);
    expect(delivery.delivered).toBe(5);
  });

  it('accepts lines that end in CR LF, and events without an id', () => {
    const framer = new EventFramer();
    const frames = framer.push(bytes('data: x\r\n\r\nid:7\r\ndata: y\r\n\r\n'));
    expect(frames.map(({id}) => id)).toEqual([undefined, 7]);
  });

  // A stream whose lines end with CR alone, as the HTML standard allows, counted as
  // one unfinished event and was broken off.
  it('recognises events whose lines end with a CR alone', () => {
    const framer = new EventFramer();
    const frames = framer.push(bytes('data: x\r\rid: 7\rdata: y\r\r'));
    expect(frames.map(({id}) => id)).toEqual([undefined, 7]);
  });

  it('finds the blank lines of any bytes, regardless of chunk boundaries', () => {
    const text = fc.string({unit: fc.constantFrom('\n', '\r', 'a', ':')});
    fc.assert(
      fc.property(fc.array(text), chunks => {
        const framer = new EventFramer();
        const frames = chunks.flatMap(chunk => framer.push(bytes(chunk)));
        const all = chunks.join('');
        const events = all.match(/[^]*?\n\r?\n/g) ?? [];
        expect(frames.map(frame => frame.bytes.toString())).toEqual(events);
        const rest = all.slice(events.join('').length);
        expect(framer.rest().toString()).toBe(rest);
        expect(framer.isWithinEvent).toBe(/[^\r\n]/.test(rest));
      }),
    );
  });

  // A stream that ended no event, in small chunks, stopped its process for seconds:
  // each chunk was searched and copied with all bytes before it (CONFIG).
  it.each([
    ['comment lines', ':\n'],
    ['a line without end', 'a'],
    ['lines that end in CR LF', 'a\r\n'],
  ])('does work in proportion to an unfinished event: %s', (_name, piece) => {
    const workOf = (pieces: number) =>
      bufferWork(() => {
        const framer = new EventFramer();
        for (let n = 0; n < pieces; n++) framer.push(bytes(piece));
        expect(framer.rest()).toHaveLength(pieces * piece.length);
      });
    expect(workOf(2 ** 13)).toBeLessThan(2.5 * workOf(2 ** 12));
  });
});
