import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {offset, vmName} from '../core/index.js';
import {RelayBuffer, RelaySelector} from './index.js';

const record = (at: number, bytes = 10) => ({
  key: `k${at}`,
  offset: offset(at),
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
            buffer.append(i, offset(end), records, offset(end + size));
            end += size;
            if ((reads[i % reads.length] ?? 0) % 2 === 0) continue;
            const response = buffer.read(i, offset(nextOffset), {maxAge: 100});
            if (response.kind !== 'records') continue;
            received.push(...response.records.map(one => one.offset));
            nextOffset = response.next;
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
    expect(buffer.read(0, offset(0), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
    buffer.append(0, offset(5), [], offset(5));
    expect(buffer.read(100, offset(5), {maxAge: 100})).toEqual({
      kind: 'nothing',
      age: 100,
    });
    expect(buffer.read(101, offset(5), {maxAge: 100})).toMatchObject({
      reason: 'stale',
    });
  });

  it('rejects reads of records that it does not buffer or that are too large', () => {
    const buffer = new RelayBuffer();
    buffer.append(0, offset(5), range(5, 8), offset(8));
    expect(buffer.read(0, offset(4), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
    buffer.append(0, offset(8), [record(8, 2 ** 19)], offset(9));
    expect(buffer.read(0, offset(8), {maxAge: 100})).toMatchObject({
      reason: 'too_large',
    });
    // A gap between two pages resets the buffer.
    buffer.append(0, offset(20), range(20, 21), offset(21));
    expect(buffer.read(0, offset(9), {maxAge: 100})).toMatchObject({
      reason: 'not_held',
    });
    buffer.append(0, offset(21), range(21, 9_000), offset(9_000));
    expect(buffer.read(0, offset(22), {maxAge: 100})).toMatchObject({
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
