import {describe, expect, it} from 'vitest';

import {offset} from '../core/index.js';
import {KeyedTable} from './index.js';
import type {KeyedRecord} from './index.js';

const bytes = (text: string) => Buffer.from(text);

describe('KeyedView', () => {
  const record = (key: string, at: number, value?: string): KeyedRecord => ({
    key,
    offset: offset(at),
    value: value === undefined ? undefined : bytes(value),
  });

  it('keeps the higher offset of a key, whatever comes later', () => {
    const view = new KeyedTable();
    expect(view.apply([record('a', 5, 'new')])).toHaveLength(1);
    expect(view.apply([record('a', 4, 'old'), record('a', 5, 'x')])).toEqual(
      [],
    );
  });

  it('drops what a listing lacks, unless it is newer than the listing', () => {
    const view = new KeyedTable();
    view.apply([record('old', 3, 'x'), record('new', 9, 'y')]);
    const changes = view.applyListing([], offset(8));
    expect(changes).toEqual([{key: 'old', value: undefined}]);
  });

  it('takes a record that was written while the pages were read', () => {
    const view = new KeyedTable();
    view.applyListing([record('a', 12, 'second')], offset(10));
    expect(view.apply([record('a', 11, 'first')])).toEqual([]);
  });
});
