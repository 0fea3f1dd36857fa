import {ok} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {testRegistration} from '../../../../test/support/direct_samples.js';
import {
  Chance,
  Clock,
  availabilityZone,
  serviceName,
} from '../../../core/index.js';
import type {Millis} from '../../../core/index.js';
import {UpstreamTable} from '../../../direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../../observability/index.js';
import {Dispatcher} from '../dispatch/index.js';
import type {DispatchRequest} from '../dispatch/index.js';
import {EvacuationKeeper} from './index.js';

const RANKS = 63;
const ZONES = ['north', 'middle', 'south'].map(availabilityZone);
const MODEL = serviceName('model');
const TARGET = 403;
/** Requests that arrive at one entry of 38 in a burst of 4 s, twice the usual. */
const BURST = {perSecond: 9, duration: 4_000, runTime: 900};

class ManualClock extends Clock {
  time: Millis = 0;
  now = () => this.time;
  wall = () => 1_700_000_000_000 + this.time;
}

/** What became of a request. */
interface Fate {
  readonly at: Millis;
  readonly zone?: string;
  readonly reason?: string;
  readonly waited: Millis;
}

describe('requests while zones are evacuated', () => {
  let clock: ManualClock;
  let table: UpstreamTable;
  let dispatcher: Dispatcher;
  let keeper: EvacuationKeeper;
  let fates: Fate[];
  let returned: string[];
  let metrics: Metrics;
  let contactAt: Millis;
  /** Ends of the requests that were sent. */
  let ends: {at: Millis; run: () => void}[];

  beforeEach(() => {
    clock = new ManualClock();
    table = new UpstreamTable();
    fates = [];
    returned = [];
    ends = [];
    metrics = new Metrics();
    contactAt = 0;
    for (let i = 0; i < RANKS; i++) {
      const zone = ZONES[i % ZONES.length]!;
      const place = {service: MODEL, availabilityZone: zone, slots: 7};
      table.register(0, testRegistration(`rank-${i}`, place));
    }
    keeper = new EvacuationKeeper(
      {
        estate: {
          parseEvacuation: ({key, value, isLost}) => {
            const dropped = isLost ? 'lost' : 'dropped';
            const state = value === undefined ? dropped : 'requested';
            return ok({zone: availabilityZone(key), state});
          },
        },
        ...{clock, logger: SILENT_LOGGER, metrics},
      },
      {contactAt: () => contactAt, upstreams: () => table},
      {
        onChanged: now => dispatcher.reexamineQueue(now),
        onZoneReturned: (_now, zone) => returned.push(zone),
      },
    );
    dispatcher = new Dispatcher(
      {
        upstreamsOf: service => table.forService(service),
        hasEngines: () => true,
        isByPriority: () => false,
        groupOf: () => 'model',
        slowdownOf: () => 1,
        entryCount: () => 38,
      },
      ZONES[0]!,
      new Chance(7),
      SILENT_LOGGER,
      new Containment(SILENT_LOGGER, metrics),
      metrics,
      keeper,
    );
  });

  const evacuate = (zone: string) => write(zone, Buffer.from('{}'));
  const takeBack = (zone: string) => write(zone, undefined);
  const write = (key: string, value?: Buffer, isLost = false) =>
    keeper.apply({key, value, isLost}, {source: 'store', sinceContact: 5});

  function arrive(): void {
    const arrivedAt = clock.now();
    const req: DispatchRequest = {
      ...{service: MODEL, promptTokens: 800, priority: 1, mayWait: true},
      ...{triedIncarnations: new Set(), trySpend: () => true},
      ...{target: TARGET, targetAt: arrivedAt + TARGET},
      expiresAt: arrivedAt + 2_000,
      send: (at, {registration, incarnation}, group) => {
        const zone = registration.availabilityZone;
        fates.push({at, zone, waited: at - arrivedAt});
        dispatcher.loads.recordSent(incarnation, 800);
        ends.push({
          at: at + BURST.runTime,
          run: () => {
            const now = clock.now();
            dispatcher.loads.recordEnded(now, incarnation, 800, 'good');
            dispatcher.recordStarted(now, group, now - 100, TARGET);
            dispatcher.recordEnded(now, group, true);
          },
        });
      },
      reject: (_cause, {reason}) => {
        const at = clock.now();
        fates.push({at, reason, waited: at - arrivedAt});
      },
    };
    dispatcher.submit(arrivedAt, req);
  }

  /** Plays a burst, with steps of the operators at their times. */
  function play(steps: Readonly<Record<Millis, () => void>>): void {
    const interval = Math.round(1_000 / BURST.perSecond);
    for (; clock.time <= BURST.duration; clock.time += 1) {
      steps[clock.time]?.();
      for (const end of ends.filter(({at}) => at === clock.time)) end.run();
      if (clock.time % interval === 0) arrive();
      if (clock.time % 50 === 0) {
        keeper.tick(clock.time);
        dispatcher.dispatchQueued(clock.time);
      }
    }
  }

  const sentTo = (zone: string, from: Millis, until = Infinity) =>
    fates.filter(
      fate => fate.zone === zone && fate.at >= from && fate.at < until,
    ).length;
  const rejected = () => fates.filter(({reason}) => reason !== undefined);

  it('an evacuated zone gets none of a burst, and the others all of it', () => {
    play({1_000: () => evacuate('north')});
    expect(sentTo('north', 0, 1_000)).toBeGreaterThan(0);
    expect(sentTo('north', 1_000)).toBe(0);
    expect(sentTo('middle', 1_000)).toBeGreaterThan(5);
    expect(sentTo('south', 1_000)).toBeGreaterThan(5);
    expect(rejected()).toEqual([]);
  });

  it('overlapping evacuations each end by their own record', () => {
    play({
      500: () => evacuate('north'),
      1_000: () => evacuate('south'),
      1_100: () => evacuate('south'),
      2_000: () => takeBack('north'),
    });
    expect(sentTo('north', 500, 2_000)).toBe(0);
    expect(sentTo('north', 2_000)).toBeGreaterThan(5);
    expect(sentTo('south', 1_000)).toBe(0);
    expect(returned).toEqual(['north']);
    expect(rejected()).toEqual([]);
  });

  it('requests are rejected at once without any zone, also queued ones', () => {
    for (let i = 0; i < 30; i++) arrive();
    const queued = dispatcher.queueLength;
    expect(queued).toBeGreaterThan(8);
    evacuate('north');
    evacuate('middle');
    expect(rejected()).toEqual([]);
    evacuate('south');
    expect(dispatcher.queueLength).toBe(0);
    arrive();
    expect(rejected().map(({reason}) => reason)).toEqual(
      Array.from({length: queued + 1}, () => 'evacuated'),
    );
    takeBack('middle');
    expect(dispatcher.queueLength).toBe(0);
  });

  it('a request whose service is in one zone only names that zone', () => {
    const app = serviceName('app');
    const only = testRegistration('app-1', {service: app});
    table.register(0, {...only, availabilityZone: ZONES[2]!});
    evacuate('south');
    evacuate('nowhere');
    const sent: string[] = [];
    const outcomes: string[] = [];
    dispatcher.submit(0, {
      ...{service: app, promptTokens: 0, priority: 1, mayWait: false},
      ...{triedIncarnations: new Set(), trySpend: () => true},
      ...{target: TARGET, targetAt: TARGET, expiresAt: 2_000},
      send: (_now, {registration}) => sent.push(registration.id),
      reject: (cause, {reason, evacuatedZones}) =>
        outcomes.push(cause, reason, `${evacuatedZones}`),
    });
    expect([sent, outcomes]).toEqual([
      [],
      ['no_upstream', 'evacuated', 'south'],
    ]);
  });

  it('a lost evacuation stays until operators had time to write it again', () => {
    play({
      500: () => evacuate('north'),
      1_000: () => write('north', undefined, true),
      3_000: () => (contactAt = 70_000),
    });
    expect(sentTo('north', 500, 3_000)).toBe(0);
    expect(sentTo('north', 3_050)).toBeGreaterThan(0);
    expect(returned).toEqual(['north']);
  });

  it('counts and shows what has no effect', async () => {
    evacuate('nowhere');
    clock.time = 2_000;
    keeper.tick(clock.time);
    arrive();
    expect(rejected()).toEqual([]);
    const text = await metrics.registry.metrics();
    expect(text).toContain('changes_total{change="without_upstreams"} 1');
    expect(text).toContain('baobabspan_evacuations_in_force 1');
    expect(keeper.status(clock.time)).toMatchObject({
      evacuations: [{zone: 'nowhere', inForceMs: 2_000, upstreams: 0}],
    });
  });

  it('counts the requests that were kept away, by what became of them', async () => {
    evacuate('north');
    arrive();
    arrive();
    evacuate('middle');
    evacuate('south');
    arrive();
    const text = await metrics.registry.metrics();
    const count = (result: string) =>
      new RegExp(`kept_from_zone_total{result="${result}",.*} (\\d+)`).exec(
        text,
      )?.[1];
    expect([count('placed_elsewhere'), count('rejected')]).toEqual(['2', '1']);
  });
});
