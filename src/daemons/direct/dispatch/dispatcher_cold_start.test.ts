import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../../../core/index.js';
import type {Millis} from '../../../core/index.js';
import {UpstreamTable} from '../../../direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../../observability/index.js';
import type {DispatchState} from './dispatch_request.js';
import {Dispatcher} from './dispatcher.js';

const SERVICE = serviceName('app');
const RUN_TIME = 250;
const TICK = 10;

/** Entries that send requests to plain upstreams, without a network. */
class ColdEstate {
  readonly table = new UpstreamTable();
  readonly sent = new Map<string, Millis[]>();
  readonly rejections: DispatchState[] = [];
  private readonly dispatchers: readonly Dispatcher[];
  private readonly chance = new Chance(7);
  private ends: {at: Millis; end: () => void}[] = [];

  constructor(entries: number, isBounded = true) {
    const names = Array.from({length: entries}, (_, i) => `entry-${i}`);
    const directory = {
      upstreamsOf: () => this.table.forService(SERVICE),
      hasEngines: () => false,
      isByPriority: () => false,
      groupOf: () => 'app',
      slowdownOf: () => 1,
      entryCount: () => entries,
    };
    const coldStart = isBounded ? {duration: 3_000, rate: 17} : undefined;
    const plain = {hasEngines: false, experts: undefined};
    this.dispatchers = names.map((self, i) => {
      const zone = availabilityZone('abc'[i % 3]!);
      const metrics = new Metrics();
      const containment = new Containment(SILENT_LOGGER, metrics);
      const one = new Dispatcher(
        ...([
          directory,
          zone,
          this.chance,
          SILENT_LOGGER,
          containment,
          metrics,
        ] as const),
      );
      const services = [{name: SERVICE, ...plain, coldStart}];
      one.coldStart.configure(services, {factor: 1.5, slack: 5});
      const view = {self, names, readAt: 0, storedAt: -Infinity};
      one.coldStart.update(0, 1_780_000_000_000, view);
      return one;
    });
  }

  register(now: Millis, zone: string, count: number, warmUpLeft = 0): void {
    for (let i = 0; i < count; i++) {
      const change = {warmUpLeft, availabilityZone: availabilityZone(zone)};
      const id = `${zone}${i}`;
      const registration = testRegistration(id, {...change, service: SERVICE});
      this.table.register(now, registration);
    }
  }

  /** Sends requests of all entries together, each through a random one. */
  load(from: Millis, until: Millis, perSecond: number): void {
    for (let now = from; now < until; now += TICK) {
      const ended = this.ends.filter(({at}) => at <= now);
      this.ends = this.ends.filter(({at}) => at > now);
      for (const {end} of ended) end();
      let left = (perSecond * TICK) / 1_000;
      for (; this.chance.fraction() < left; left -= 1) this.submit(now);
      for (const one of this.dispatchers) one.dispatchQueued(now);
    }
  }

  /** Sends a request through a random entry. */
  submit(now: Millis): void {
    const dispatcher = this.chance.pick(this.dispatchers);
    dispatcher.submit(now, {
      ...{service: SERVICE, promptTokens: 0, priority: 1, mayWait: false},
      ...{target: 144, targetAt: now + 144, expiresAt: now + 1_500},
      triedIncarnations: new Set(),
      trySpend: () => true,
      send: (at, {registration: {id}, incarnation}) => {
        this.sent.set(id, [...(this.sent.get(id) ?? []), at]);
        const {loads} = dispatcher;
        loads.recordSent(incarnation, 0);
        const end = () =>
          loads.recordEnded(at, incarnation, 0, 'good', RUN_TIME);
        this.ends.push({at: at + RUN_TIME, end});
      },
      reject: (_cause, state) => this.rejections.push(state),
    });
  }

  /** Requests to upstreams of zone a. */
  get coldCount(): number {
    return this.coldTimes.flat().length;
  }

  /** Most requests of one of them in any second. */
  get coldPeak(): number {
    const counts = this.coldTimes.flatMap(times =>
      times.map(from => times.filter(at => at >= from && at < from + 1_000)),
    );
    return Math.max(...counts.map(({length}) => length));
  }

  private get coldTimes(): Millis[][] {
    const cold = [...this.sent].filter(([id]) => id.startsWith('a'));
    return cold.map(([, times]) => times);
  }
}

/** A third of 63 upstreams returns cold as a burst begins. */
function returnCold(entries: number, isBounded: boolean): ColdEstate {
  const estate = new ColdEstate(entries, isBounded);
  for (const zone of ['b', 'c']) estate.register(0, zone, 21);
  estate.load(0, 3_000, 600);
  estate.register(3_000, 'a', 21, 3_000);
  estate.load(3_000, 5_000, 2_400);
  estate.load(5_000, 6_000, 600);
  return estate;
}

describe('a zone that returns cold beside a burst', () => {
  it('gets more than twice as much as it may without a bound', () => {
    expect(returnCold(38, false).coldPeak).toBeGreaterThan(2 * 30);
  });

  it.each([14, 38, 98])('is spared by %i entries, which serve all', entries => {
    const estate = returnCold(entries, true);
    expect(estate.coldPeak).toBeLessThanOrEqual(30);
    expect(estate.coldCount).toBeGreaterThan(300);
    expect(estate.rejections).toEqual([]);
  });
});

describe('a service with only a cold upstream', () => {
  it.each([
    [1, 0.9],
    [3, 0.9],
    [38, 0.5],
  ])('serves with %i entries %d of the rate', (entries, part) => {
    const estate = new ColdEstate(entries);
    estate.register(0, 'a', 1, 3_000);
    estate.load(0, 3_000, 60);
    expect(estate.coldPeak).toBeLessThanOrEqual(30);
    expect(estate.coldCount).toBeGreaterThan(part * 17 * 3);
    // Others expire just as a permit becomes valid.
    const {rejections} = estate;
    const timed = rejections.filter(({reason}) => reason === 'warming_up');
    expect(timed.length).toBeGreaterThan(0.9 * rejections.length);
    for (const {notBefore} of timed) {
      expect(notBefore).toBeLessThanOrEqual(3_000);
    }
  });

  it.each([3, 14, 38])(
    'keeps those that can wait for its end (%i)',
    entries => {
      // Fails if the few sends by permits are taken for the rate after the end.
      const estate = new ColdEstate(entries);
      estate.register(0, 'a', 1, 3_000);
      for (let now = 1_900; now < 3_100; now += TICK) {
        if (now < 2_800) estate.submit(now);
        estate.load(now, now + TICK, 0);
      }
      expect(estate.rejections).toEqual([]);
      expect(estate.coldCount).toBe(90);
    },
  );
});

describe('plain requests that wait for permits', () => {
  it('are not shed by the rate of the permits that were used', () => {
    // Fails if a request is rejected although a permit or the end of the cold
    // phase comes in its time.
    for (const entries of [14, 38]) {
      const estate = new ColdEstate(entries);
      estate.register(0, 'a', 3, 3_000);
      estate.load(0, 3_000, 23);
      estate.load(3_000, 4_500, 0);
      expect(estate.coldCount).toBeGreaterThan(50);
      const sheds = estate.rejections.map(({shed}) => shed);
      expect(sheds).not.toContain('unreachable');
    }
  });
});
