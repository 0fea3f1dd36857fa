import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {position} from '../../test/support/positions.js';
import {vmName} from '../core/index.js';
import {RelayBuffer, RelaySelector} from './index.js';

const record = (at: number, bytes = 10) => ({
  key: `k${at}`,
  position: position(at),
  value: new Uint8Array(bytes),
});
const range = (from: number, to: number) =>
  Array.from({length: to - from}, (_, i) => record(from + i));

describe('RelayBuffer', () => {
  it('returns each record once to a listener, regardless of page sizes', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(5), {minLength: 1, maxLength: 30}),
        fc.array(fc.nat(30), {minLength: 1, maxLength: 30}),
        (pages, reads) => {
          const buffer = new RelayBuffer();
          let end = 3;
          let nextOffset = 3;
          const received: number[] = [];
          for (const [i, size] of pages.entries()) {
            const records = range(end, end + size);
            buffer.append(i, position(end), records, position(end + size));
            end += size;
            if ((reads[i % reads.length] ?? 0) % 2 === 0) continue;
            const response = buffer.read(i, position(nextOffset), {
              maxAge: 100,
            });
            if (response.kind !== 'records') continue;
            received.push(...response.records.map(one => one.position.offset));
            nextOffset = response.next.offset;
          }
          expect(received).toEqual(
            Array.from({length: nextOffset - 3}, (_, i) => 3 + i),
          );
        },
      ),
    );
  });

  it('reports no new records only after a recent contact with the store', () => {
    const buffer = new RelayBuffer();
    expect(buffer.read(0, position(0), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
    buffer.append(0, position(5), [], position(5));
    expect(buffer.read(100, position(5), {maxAge: 100})).toEqual({
      kind: 'nothing',
      era: 0,
      age: 100,
    });
    expect(buffer.read(101, position(5), {maxAge: 100})).toMatchObject({
      reason: 'stale',
    });
  });

  it('answers a listener of an earlier era with a complete listing only', () => {
    const limits = {maxAge: 100};
    const buffer = new RelayBuffer();
    buffer.append(0, position(5, 1), range(5, 8), position(8, 1));
    const inEra = (at: number, era: number) => ({
      ...record(at),
      position: position(at, era),
    });
    const listed = [inEra(6, 2), inEra(2, 2)];
    buffer.replace(listed, position(7, 2));
    buffer.append(0, position(7, 2), [inEra(7, 2)], position(8, 2));
    expect(buffer.read(0, position(8, 1), limits)).toMatchObject({
      kind: 'records',
      records: [inEra(2, 2), inEra(6, 2), inEra(7, 2)],
      next: position(8, 2),
    });
    // A listing lacks the keys that were removed before it in the same era.
    expect(buffer.read(0, position(6, 2), limits)).toMatchObject({
      reason: 'not_held',
    });
    expect(buffer.read(0, position(8, 3), limits)).toMatchObject({
      reason: 'stale',
    });
    buffer.append(0, position(7, 1), range(7, 20), position(20, 1));
    expect(buffer.read(0, position(8, 2), limits).kind).toBe('nothing');
    buffer.append(0, position(20, 2), [], position(20, 2));
    expect(buffer.read(0, position(8, 1), limits)).toMatchObject({
      reason: 'not_held',
    });
  });

  it('rejects reads of records that it does not buffer or that are too large', () => {
    const buffer = new RelayBuffer();
    buffer.append(0, position(5), range(5, 8), position(8));
    expect(buffer.read(0, position(4), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
    buffer.append(0, position(8), [record(8, 2 ** 19)], position(9));
    expect(buffer.read(0, position(8), {maxAge: 100})).toMatchObject({
      reason: 'too_large',
    });
    // A gap between two pages resets the buffer.
    buffer.append(0, position(20), range(20, 21), position(21));
    expect(buffer.read(0, position(9), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
    buffer.append(0, position(21), range(21, 9_000), position(9_000));
    expect(buffer.read(0, position(22), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
  });
});

describe('RelaySelector', () => {
  const entries = (count: number) =>
    Array.from({length: count}, (_, i) => ({
      name: vmName(`entry-${i}`),
      relay: `10.0.0.${i}:1`,
    }));

  it('selects one reader per zone, and the next entry when it fails', () => {
    const all = entries(20);
    const readers = all.map(({name}) => new RelaySelector(name));
    for (const one of readers) one.setEntries([...all].reverse(), () => true);
    const reading = () =>
      readers.filter(one => one.relay(0) === undefined).length;
    expect(reading()).toBe(1);
    for (const one of readers.slice(1)) one.recordFailure(0, all[0]!.name);
    expect(readers[7]!.relay(0)?.name).toBe('entry-1');
    // Both the entry that the others skip and its successor read.
    expect(reading()).toBe(2);
    expect(readers[7]!.relay(10_000)?.name).toBe('entry-0');
  });

  it('selects no reader in a small zone', () => {
    const all = entries(3);
    const reader = new RelaySelector(all[2]!.name);
    reader.setEntries(all, () => true);
    expect(reader.relay(0)).toBeUndefined();
  });
});
