import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {UpstreamTable} from '../direct/index.js';
import {ColdStartBound} from './index.js';
import type {EntryView} from './index.js';

const BOUND = {factor: 1.5, slack: 5};
const WALL = 1_780_000_000_000;
/** Time at which the zone returns. */
const START = 100_000;
const END = START + 3_000;

const service = (rate = 17) => ({
  ...{name: serviceName('assistant'), hasEngines: true, experts: undefined},
  coldStart: {duration: 3_000, rate},
});
const createBound = (view: EntryView, skew = 0) => {
  const bound = new ColdStartBound();
  bound.configure([service()], BOUND);
  bound.update(view.readAt ?? 0, WALL + (view.readAt ?? 0) + skew, view);
  bound.update(START, WALL + START + skew, view);
  return bound;
};

/** Entries before 21 upstreams that are cold from `START`. */
class ColdZone {
  readonly chance = new Chance(5);
  readonly entries: {
    self: string;
    bound: ColdStartBound;
    table: UpstreamTable;
    readsAt: Millis;
  }[] = [];
  private readonly received = new Map<string, Millis[]>();

  add(view: Partial<EntryView> & {names: readonly string[]}, skew = 0): void {
    const self = view.self ?? '';
    const known = {self, readAt: START, storedAt: -Infinity, ...view};
    const table = new UpstreamTable();
    const readsAt = START + this.chance.between(0, 1_800);
    this.entries.push({self, bound: createBound(known, skew), table, readsAt});
  }

  register(at: number, now: Millis, sequence: number): void {
    const {bound, table} = this.entries[at]!;
    for (let i = 0; i < 21; i++) {
      const change = {sequence, warmUpLeft: END - now};
      table.register(now, testRegistration(`u${i}`, change));
    }
    for (const upstream of table.all()) bound.observe(now, upstream);
  }

  /** Lets all entries send as much as they may, from a time on. */
  saturate(from: Millis, onTick?: (elapsed: Millis) => void): void {
    for (let now = START; now < END; now += 20) {
      onTick?.(now - START);
      this.entries.forEach(({bound, table, readsAt}, at) => {
        if (now >= readsAt && table.all().length === 0) {
          this.register(at, now, 1);
        }
        if (now < from) return;
        for (const upstream of table.all()) {
          const {id} = upstream.registration;
          const times = this.received.get(id) ?? [];
          this.received.set(id, times);
          while (now < upstream.warmAt && bound.allows(now, upstream)) {
            bound.recordSent(now, upstream);
            times.push(now + this.chance.between(0, 50));
          }
        }
      });
    }
  }

  /** Most requests of one upstream in any second. */
  get peak(): number {
    const counts = [...this.received.values()].flatMap(times =>
      times.map(to => times.filter(at => at > to - 1_000 && at <= to).length),
    );
    return Math.max(0, ...counts);
  }

  /** Mean requests per second of an upstream in the last second. */
  get rate(): number {
    const times = [...this.received.values()].flat();
    return times.filter(at => at >= END - 1_000 && at < END).length / 21;
  }
}

type Setup = (zone: ColdZone, all: string[], added: string[]) => void;
const SETUPS: [string, Setup][] = [
  [
    'know each other',
    (zone, names) => names.forEach(self => zone.add({self, names})),
  ],
  [
    'have clocks that differ by 100 ms',
    (zone, names) =>
      names.forEach(self =>
        zone.add({self, names}, zone.chance.between(-50, 50)),
      ),
  ],
  ...[1, 5].map((age): [string, Setup] => [
    `are joined by a third as many ${age} s ago, whom some have not read`,
    (zone, all, added) => {
      const joined = added.slice(0, Math.ceil(all.length / 3));
      for (const self of all) {
        const read = joined.filter(() => zone.chance.fraction() < 0.5);
        zone.add({self, names: [...all, ...read]});
      }
      joined.forEach((self, i) => {
        const names = [...all, ...joined.slice(0, i + 1)];
        zone.add({self, names, storedAt: START - 1_000 * age});
      });
    },
  ]),
  [
    'have doubled while a third was cut off',
    (zone, all, added) => {
      const names = [...all, ...added];
      names.forEach((self, i) => {
        if (i >= all.length || i % 3 > 0) zone.add({self, names});
        else zone.add({self, names: all, readAt: START - 25_000});
      });
    },
  ],
  [
    'know nobody',
    (zone, all) =>
      all.forEach(self =>
        zone.add({self, names: [self], readAt: undefined, storedAt: undefined}),
      ),
  ],
];
const namesOf = (count: number, prefix: string) =>
  Array.from({length: count}, (_, i) => `${prefix}-${'abc'[i % 3]}-${i}`);

// Each entry sent what it would send to a warm upstream, and the zone crashed
// again.
describe.each([1, 14, 38, 98, 290])('%i entries before a cold zone', count => {
  const [all, added] = [namesOf(count, 'entry'), namesOf(count, 'added')];

  it.each(SETUPS)('keep the bound in a burst if they %s', (_name, setUp) => {
    const zone = new ColdZone();
    setUp(zone, all, added);
    zone.saturate(START + 1_900);
    expect(zone.peak).toBeLessThanOrEqual(30);
  });

  it('use the rate that is allowed', () => {
    const zone = new ColdZone();
    for (const self of all) zone.add({self, names: all});
    zone.saturate(START);
    expect(zone.peak).toBeLessThanOrEqual(30);
    expect(zone.rate).toBeGreaterThan(0.95 * 17);
  });
});

describe('a cold upstream', () => {
  // Permits that a former process has used must not be used again.
  it('keeps the bound while its registration lapses and entries restart', () => {
    const zone = new ColdZone();
    const names = namesOf(3, 'entry');
    for (const self of names) zone.add({self, names});
    zone.saturate(START + 1_000, elapsed => {
      if (elapsed === 2_000) {
        for (const {table} of zone.entries) {
          for (const {registration} of table.all()) {
            table.unregister(START + elapsed, registration.id);
          }
        }
      }
      if (elapsed === 2_100) {
        zone.entries.forEach((_, at) => zone.register(at, START + 2_100, 2));
      }
      if (elapsed === 2_200 || elapsed === 2_400) {
        const {self} = zone.entries.shift()!;
        zone.add({self, names});
        zone.register(2, START + elapsed, 3);
      }
    });
    expect(zone.peak).toBeLessThanOrEqual(30);
    expect(zone.rate).toBeGreaterThan(10);
  });

  it.each([
    [17, {factor: 1, slack: 0}, 17],
    [1, {factor: 1, slack: 0}, 1],
    [0.5, {factor: 1, slack: 0}, 0],
    [200, {factor: 1.1, slack: 2}, 222],
  ])('with a rate of %d and bound %o gets %i a second', (rate, bound, most) => {
    const zone = new ColdZone();
    const names = namesOf(14, 'entry');
    for (const self of names) zone.add({self, names});
    for (const one of zone.entries) one.bound.configure([service(rate)], bound);
    zone.saturate(START + 1_900);
    expect(zone.peak).toBeLessThanOrEqual(most);
    expect(zone.peak).toBeGreaterThanOrEqual(0.6 * most);
  });

  it('is known by its registrations, incarnation and zone', () => {
    const view = {self: 'e', names: ['e'], readAt: 0, storedAt: -Infinity};
    const bound = createBound(view);
    const table = new UpstreamTable();
    const register = (now: Millis, change: object) =>
      table.register(now, testRegistration('u', change));
    const causeAt = (now: Millis) =>
      bound.coldPhase(now, table.all()[0]!)?.cause;
    register(0, {sequence: 5});
    expect(causeAt(10)).toBeUndefined();
    // An earlier registration that arrives late.
    register(20, {sequence: 2, warmUpLeft: 3_000});
    expect(causeAt(30)).toBeUndefined();
    register(40, {sequence: 6, warmUpLeft: 3_000});
    expect([causeAt(3_039), causeAt(3_040)]).toEqual([
      'registration',
      undefined,
    ]);
    bound.onZoneReturned(5_000, availabilityZone('a'));
    expect([causeAt(7_999), causeAt(8_000)]).toEqual([
      'zone_returned',
      undefined,
    ]);
    // This one may have been written before.
    register(6_999, {sequence: 7});
    expect(causeAt(6_999)).toBe('zone_returned');
    register(7_000, {sequence: 8});
    expect(causeAt(7_000)).toBeUndefined();
    register(9_000, {bornAt: 2_000});
    expect([causeAt(11_999), causeAt(12_000)]).toEqual(['restart', undefined]);
    register(10_200, {bornAt: 2_000, sequence: 2});
    expect(causeAt(10_200)).toBeUndefined();
  });

  it('is cold as long as its first registration names', () => {
    // Fails if a restarted upstream is spared for longer than it stays cold.
    const view = {self: 'e', names: ['e'], readAt: 0, storedAt: -Infinity};
    const bound = createBound(view);
    const table = new UpstreamTable();
    table.register(0, testRegistration('u'));
    const change = {bornAt: 2_000, warmUpLeft: 1_000};
    table.register(100, testRegistration('u', change));
    const [upstream] = table.all();
    const cold = {until: 1_100, cause: 'registration'};
    expect(bound.coldPhase(100, upstream!)).toEqual(cold);
  });

  it('has a permit at the time that is named, and all at its end', () => {
    const view = {self: 'e', names: ['e'], readAt: START, storedAt: -Infinity};
    const bound = createBound(view);
    const table = new UpstreamTable();
    table.register(START, testRegistration('u', {warmUpLeft: 3_000}));
    const upstream = table.all()[0]!;
    const nextAt = bound.nextAt(START, upstream);
    expect(nextAt).toBeLessThanOrEqual(START + 1_000 / 17);
    expect(bound.allows(nextAt - 1, upstream)).toBe(false);
    expect(bound.allows(nextAt, upstream)).toBe(true);
    bound.update(START, WALL, {...view, readAt: undefined});
    expect(bound.nextAt(START, upstream)).toBeLessThanOrEqual(END);
    expect(bound.allows(END, upstream)).toBe(true);
    // The search for the next permit had no end.
    bound.configure([service(1e12)], BOUND);
    expect(bound.nextAt(START, upstream)).toBeLessThanOrEqual(END);
    bound.configure([], BOUND);
    expect(bound.allows(START, upstream)).toBe(true);
  });
});
