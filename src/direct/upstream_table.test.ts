import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../test/support/direct_samples.js';
import {serviceName} from '../core/index.js';
import {UpstreamTable} from './index.js';

const ASSISTANT = serviceName('assistant');

describe('UpstreamTable', () => {
  it('never re-adds an incarnation that announced its departure', () => {
    const table = new UpstreamTable();
    table.register(0, testRegistration('a'));
    table.register(10, testRegistration('a', {leaving: true, sequence: 2}));
    expect(table.register(20, testRegistration('a', {sequence: 9}))).toBe(
      'ignored',
    );
    expect(table.forService(ASSISTANT)).toEqual([]);
    expect(table.register(30, testRegistration('a', {bornAt: 2_000}))).toBe(
      'came',
    );
  });

  it.each([
    ['is valid', 0],
    ['has lapsed', 1],
  ])(
    'removes a leaving incarnation by its response when its entry %s',
    (_name, lapsed) => {
      const table = new UpstreamTable();
      table.register(0, testRegistration('a'));
      const [upstream] = table.forService(ASSISTANT);
      if (lapsed === 1) table.unregister(5, testRegistration('a').id);
      expect(table.markLeaving(10, upstream!)).toBe(true);
      expect(table.markLeaving(11, upstream!)).toBe(false);
      expect(table.forService(ASSISTANT)).toEqual([]);
      expect(table.register(20, testRegistration('a', {sequence: 99}))).toBe(
        'ignored',
      );
      expect(table.register(30, testRegistration('a', {bornAt: 2_000}))).toBe(
        'came',
      );
      // A late response of the former incarnation has no effect on this one.
      expect(table.markLeaving(40, upstream!)).toBe(false);
      expect(table.forService(ASSISTANT)).toHaveLength(1);
    },
  );

  it('ignores registrations older than the current one', () => {
    const table = new UpstreamTable();
    table.register(0, testRegistration('a', {bornAt: 2_000, sequence: 5}));
    expect(table.register(1, testRegistration('a', {sequence: 9}))).toBe(
      'ignored',
    );
    const late = testRegistration('a', {
      bornAt: 2_000,
      sequence: 4,
      leaving: true,
    });
    expect(table.register(2, late)).toBe('ignored');
    expect(table.forService(ASSISTANT)).toHaveLength(1);
  });

  it('retains lapsed registrations for two seconds after an outage', () => {
    const table = new UpstreamTable();
    table.register(0, testRegistration('back'));
    table.register(0, testRegistration('gone'));
    table.recordRegistryRecovered(10_000);
    expect(table.unregister(10_100, testRegistration('back').id)).toBe(
      'lapsed',
    );
    expect(table.unregister(10_100, testRegistration('gone').id)).toBe(
      'lapsed',
    );
    expect(table.forService(ASSISTANT)).toHaveLength(2);
    table.register(10_900, testRegistration('back', {sequence: 2}));
    table.expire(12_000);
    expect(
      table.forService(ASSISTANT).map(({registration: entry}) => entry.id),
    ).toEqual(['back']);
  });

  it('removes an unregistered upstream at once without an outage', () => {
    const table = new UpstreamTable();
    table.register(0, testRegistration('a'));
    expect(table.unregister(50_000, testRegistration('a').id)).toBe('left');
    expect(table.forService(ASSISTANT)).toEqual([]);
    // A late delivery of its last registration does not re-add it.
    expect(table.register(50_100, testRegistration('a'))).toBe('ignored');
  });
});
