import {describe, expect, it} from 'vitest';

import {availabilityZone} from '../core/index.js';
import {EvacuationTable, LOST_GRACE, operatorsTopicBound} from './index.js';
import type {EvacuationChange, EvacuationRecordState} from './index.js';

const NORTH = availabilityZone('north');
const SOUTH = availabilityZone('south');

describe('EvacuationTable', () => {
  const cases: readonly [
    string,
    readonly EvacuationRecordState[],
    EvacuationChange,
    boolean,
  ][] = [
    ['a request', ['requested'], 'begun', true],
    ['a repeated request', ['requested', 'requested'], 'unchanged', true],
    ['a drop', ['requested', 'dropped'], 'ended', false],
    ['a drop without a request', ['dropped'], 'unchanged', false],
    ['a second drop', ['requested', 'dropped', 'dropped'], 'unchanged', false],
    ['a request after a drop', ['dropped', 'requested'], 'begun', true],
    ['a lost record', ['requested', 'lost'], 'lost', true],
    ['a second loss', ['requested', 'lost', 'lost'], 'unchanged', true],
    ['a lost record of no evacuation', ['lost'], 'unchanged', false],
    ['a restored record', ['requested', 'lost', 'requested'], 'restored', true],
    [
      'a drop of a lost record',
      ['requested', 'lost', 'dropped'],
      'ended',
      false,
    ],
  ];

  it.each(cases)('%s has its effect', (_name, states, change, isEvacuated) => {
    const table = new EvacuationTable();
    const changes = states.map((state, i) =>
      table.apply(i, {zone: NORTH, state}, 'store'),
    );
    expect(changes.at(-1)).toBe(change);
    expect(table.isEvacuated(NORTH)).toBe(isEvacuated);
    expect(table.isEmpty).toBe(!isEvacuated);
  });

  it('keeps overlapping evacuations apart', () => {
    const table = new EvacuationTable();
    table.apply(1, {zone: NORTH, state: 'requested'}, 'listing');
    table.apply(2, {zone: SOUTH, state: 'requested'}, 'entry-3');
    table.apply(3, {zone: NORTH, state: 'dropped'}, 'store');
    expect(table.isEvacuated(NORTH)).toBe(false);
    expect(table.entries()).toEqual([
      {zone: SOUTH, since: 2, source: 'entry-3', endsAt: undefined},
    ]);
  });

  // Requests reached the zone while operators had not written the record again.
  it('ends a lost evacuation only after the grace period, and in contact', () => {
    const table = new EvacuationTable();
    table.apply(0, {zone: NORTH, state: 'requested'}, 'store');
    expect(table.expire(Infinity)).toEqual([]);
    table.apply(100, {zone: NORTH, state: 'lost'}, 'listing');
    // Without contact, a record that was written again would not be seen.
    expect(table.expire(100 + LOST_GRACE - 1)).toEqual([]);
    expect(table.isEvacuated(NORTH)).toBe(true);
    expect(table.expire(100 + LOST_GRACE)).toMatchObject([{zone: NORTH}]);
    expect(table.isEvacuated(NORTH)).toBe(false);
  });

  it('ends no evacuation that was written again in the grace period', () => {
    const table = new EvacuationTable();
    table.apply(0, {zone: NORTH, state: 'requested'}, 'store');
    table.apply(100, {zone: NORTH, state: 'lost'}, 'listing');
    table.apply(200, {zone: NORTH, state: 'requested'}, 'store');
    expect(table.expire(10 * LOST_GRACE)).toEqual([]);
    expect(table.entries()).toMatchObject([{since: 0, endsAt: undefined}]);
  });
});

describe('operatorsTopicBound', () => {
  it.each([
    [3_000, 5_000, 3_000],
    [3_000, 1_000, 800],
    [2_000, undefined, 2_000],
  ])('of %s and %s ms is %s ms', (configuration, evacuation, bound) => {
    expect(operatorsTopicBound({configuration, evacuation})).toBe(bound);
  });
});
