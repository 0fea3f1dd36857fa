import {describe, expect, it} from 'vitest';

import {position} from '../../test/support/positions.js';
import {KeyedTable} from './index.js';
import type {KeyedRecord} from './index.js';

const bytes = (text: string) => Buffer.from(text);

describe('KeyedTable', () => {
  const record = (
    key: string,
    at: number,
    value?: string,
    era = 0,
  ): KeyedRecord => ({
    key,
    position: position(at, era),
    value: value === undefined ? undefined : bytes(value),
  });

  it('retains the highest offset of a key', () => {
    const table = new KeyedTable();
    expect(table.apply([record('a', 5, 'new')])).toHaveLength(1);
    expect(table.apply([record('a', 4, 'old'), record('a', 5, 'x')])).toEqual(
      [],
    );
  });

  it('accepts a lower offset of a later era, and none of an earlier one', () => {
    const table = new KeyedTable();
    table.apply([record('a', 9, 'old', 1)]);
    const restored = table.applyListing(
      [record('a', 2, 'x', 2)],
      position(3, 2),
    );
    expect(restored).toHaveLength(1);
    expect(table.apply([record('a', 3, 'y', 2)])).toHaveLength(1);
    expect(table.apply([record('a', 10, 'late', 1)])).toEqual([]);
  });

  it('reports keys that a later era lacks as lost, not as removed', () => {
    const table = new KeyedTable();
    table.apply([record('a', 9, 'old', 1)]);
    expect(table.applyListing([], position(12, 2))).toEqual([
      {key: 'a', value: undefined, isLost: true},
    ]);
  });

  // A follower held on to a lost record that operators had removed.
  it('reports the removal of a key whose record was lost, once', () => {
    const table = new KeyedTable();
    table.apply([record('a', 9, 'old', 1)]);
    table.applyListing([], position(3, 2));
    const removal = [record('a', 4, undefined, 2)];
    expect(table.apply(removal)).toEqual([{key: 'a', value: undefined}]);
    expect(table.apply([record('a', 5, undefined, 2)])).toEqual([]);
  });

  it('removes keys missing from a listing, unless they are newer than it', () => {
    const table = new KeyedTable();
    table.apply([record('old', 3, 'x'), record('new', 9, 'y')]);
    const changes = table.applyListing([], position(8));
    expect(changes).toEqual([{key: 'old', value: undefined}]);
  });

  it('accepts a record that was written while the pages were read', () => {
    const table = new KeyedTable();
    table.applyListing([record('a', 12, 'second')], position(10));
    expect(table.apply([record('a', 11, 'first')])).toEqual([]);
  });
});
