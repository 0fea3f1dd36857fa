import {describe, expect, it} from 'vitest';

import {offset} from '../core/index.js';
import {KeyedTable} from './index.js';
import type {KeyedRecord} from './index.js';

const bytes = (text: string) => Buffer.from(text);

describe('KeyedTable', () => {
  const record = (key: string, at: number, value?: string): KeyedRecord => ({
    key,
    offset: offset(at),
    value: value === undefined ? undefined : bytes(value),
  });

  it('retains the highest offset of a key', () => {
    const table = new KeyedTable();
    expect(table.apply([record('a', 5, 'new')])).toHaveLength(1);
    expect(table.apply([record('a', 4, 'old'), record('a', 5, 'x')])).toEqual(
      [],
    );
  });

  it('removes keys missing from a listing, unless they are newer than it', () => {
    const table = new KeyedTable();
    table.apply([record('old', 3, 'x'), record('new', 9, 'y')]);
    const changes = table.applyListing([], offset(8));
    expect(changes).toEqual([{key: 'old', value: undefined}]);
  });

  it('accepts a record that was written while the pages were read', () => {
    const table = new KeyedTable();
    table.applyListing([record('a', 12, 'second')], offset(10));
    expect(table.apply([record('a', 11, 'first')])).toEqual([]);
  });
});
