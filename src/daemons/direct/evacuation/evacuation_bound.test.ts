import {errAsync, ok, okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {freePort} from '../../../../test/support/direct_estate.js';
import {position} from '../../../../test/support/positions.js';
import {KeyedStore} from '../../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../../clients/index.js';
import {availabilityZone, hostPort, vmName} from '../../../core/index.js';
import type {LogPosition, Millis} from '../../../core/index.js';
import {UpstreamTable, configurationTiming} from '../../../direct/index.js';
import {Fault} from '../../../errors/index.js';
import {operatorsTopicBound} from '../../../evacuation/index.js';
import {
  Metrics,
  SILENT_LOGGER,
  SystemClock,
} from '../../../observability/index.js';
import {KeyedFollower} from '../keyed_follower.js';
import {ZoneStore} from '../zone_store.js';
import {EvacuationKeeper} from './index.js';

const TOPIC = 'operators';
const ZONE = availabilityZone('north');
/** The bound of the configuration alone would be far too long here. */
const BOUNDS = {configuration: 20_000, evacuation: 2_000};
const BOUND = operatorsTopicBound(BOUNDS);

const pause = (ms: Millis) => new Promise(resolve => setTimeout(resolve, ms));

/** A store whose log several entries share, as one of them sees it. */
class SharedLogStore extends KeyedStore {
  isTurnedAway = false;
  private reads = 0;
  private losses = 0;

  constructor(private readonly log: readonly string[]) {
    super();
  }

  list(): ResultAsync<KeyedListing, Fault> {
    if (this.isTurnedAway) return errAsync(new Fault('store_unavailable'));
    const startedAt = position(this.log.length);
    return okAsync({records: this.recordsFrom(0), startedAt});
  }

  read(
    _topic: string,
    {offset: from}: LogPosition,
    wait: Millis,
    responseTimeout: Millis = 1_000,
  ): ResultAsync<KeyedPage, Fault> {
    if (this.isTurnedAway) return errAsync(new Fault('store_unavailable'));
    this.reads += 1;
    const {losses} = this;
    const end = performance.now() + wait;
    const respond = async (): Promise<KeyedPage | undefined> => {
      while (this.log.length <= from && performance.now() < end) await pause(5);
      if (this.losses > losses) {
        await pause(end + responseTimeout - performance.now());
        return undefined;
      }
      const next = position(this.log.length);
      return {kind: 'records', records: this.recordsFrom(from), next};
    };
    return okAsync(undefined)
      .map(respond)
      .andThen(page =>
        page ? okAsync(page) : errAsync(new Fault('store_unavailable')),
      );
  }

  /** Loses the response to a read that has just begun. */
  async loseNextRead(): Promise<void> {
    const {reads} = this;
    while (this.reads === reads) await pause(5);
    this.losses += 1;
  }

  put(): ResultAsync<LogPosition, Fault> {
    return errAsync(new Fault('store_unavailable'));
  }

  private recordsFrom(from: number) {
    return this.log.slice(from).map((key, i) => ({
      ...{key, position: position(from + i), value: Buffer.from('{}')},
    }));
  }
}

/** Entries of one zone that follow the operators' topic. */
class Entries {
  readonly log: string[] = [];
  readonly all: {
    store: SharedLogStore;
    zone: ZoneStore;
    follower: KeyedFollower;
    keeper: EvacuationKeeper;
  }[] = [];
  private readonly relays: {name: ReturnType<typeof vmName>; relay: string}[] =
    [];

  async start(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const relay = hostPort('127.0.0.1', await freePort());
      this.relays.push({name: vmName(`entry-${i}`), relay});
    }
    for (const {name, relay} of this.relays) await this.add(name, relay);
    await pause(1.2 * BOUNDS.evacuation);
  }

  /** Starts one more entry, which is not yet known to the others. */
  async addLate(): Promise<void> {
    const relay = hostPort('127.0.0.1', await freePort());
    await this.add(vmName('late'), relay);
  }

  /** Writes an evacuation; returns the time until it is in force at all. */
  async timeUntilInForce(): Promise<Millis> {
    const startedAt = performance.now();
    this.log.push(ZONE);
    const registration = {availabilityZone: ZONE} as const;
    const upstream = {registration} as Parameters<
      EvacuationKeeper['isEvacuated']
    >[0];
    while (!this.all.every(({keeper}) => keeper.isEvacuated(upstream))) {
      if (performance.now() - startedAt > 10_000) break;
      await pause(5);
    }
    return performance.now() - startedAt;
  }

  async stop(): Promise<void> {
    for (const {follower} of this.all) follower.stop();
    await Promise.all(this.all.map(({zone}) => zone.close()));
  }

  private async add(
    name: ReturnType<typeof vmName>,
    relay: string,
  ): Promise<void> {
    const clock = new SystemClock();
    const store = new SharedLogStore(this.log);
    const timings = new Map([[TOPIC, configurationTiming(BOUND)]]);
    const zone = new ZoneStore(store, name, timings, clock, SILENT_LOGGER);
    await zone.listen(relay);
    zone.setEntries(this.relays, () => true);
    const parse = ({key}: {key: string}) =>
      ok({zone: availabilityZone(key), state: 'requested' as const});
    const keeper = new EvacuationKeeper(
      {
        estate: {parseEvacuation: parse},
        ...{clock, logger: SILENT_LOGGER, metrics: new Metrics()},
      },
      {contactAt: () => undefined, upstreams: () => new UpstreamTable()},
      {onChanged: () => undefined, onZoneReturned: () => undefined},
    );
    const follower = new KeyedFollower(
      zone,
      {topic: TOPIC, wait: BOUND, spacing: 0},
      clock,
      {
        onChanges: (changes, origin) =>
          changes.forEach(change => keeper.apply(change, origin)),
        onRecovered: () => undefined,
        onRestored: () => undefined,
      },
      SILENT_LOGGER,
    );
    follower.start();
    this.all.push({store, zone, follower, keeper});
  }
}

/** Brings the entries into a state before the evacuation is written. */
type Disturbance = (entries: Entries) => unknown;

const none: Disturbance = () => undefined;
const turnAway =
  (index: number): Disturbance =>
  ({all}) =>
    (all[index]!.store.isTurnedAway = true);

// Requests were sent to the zone after the bound, as the topic was read too late.
describe.concurrent('an evacuation is in force within its bound', () => {
  it.each<[string, number, Disturbance]>([
    ['at entries that read the store', 2, none],
    ['at entries that read through a relay', 8, none],
    ['at an entry that the store turns away', 2, turnAway(1)],
    ['when the store turns the relay away', 8, turnAway(0)],
    [
      'when a read that has just begun loses its response',
      2,
      ({all}) => all[1]!.store.loseNextRead(),
    ],
    [
      "when the relay's read loses its response",
      8,
      ({all}) => all[0]!.store.loseNextRead(),
    ],
    [
      'when the relay stops',
      8,
      async ({all}) => {
        const [relay] = all.splice(0, 1);
        relay!.follower.stop();
        await relay!.zone.close();
      },
    ],
    [
      'at an entry that starts at the same time',
      2,
      entries => entries.addLate(),
    ],
  ])(
    '%s',
    async (_name, count, injectFault) => {
      const entries = new Entries();
      try {
        await entries.start(count);
        await injectFault(entries);
        expect(await entries.timeUntilInForce()).toBeLessThan(
          BOUNDS.evacuation,
        );
      } finally {
        await entries.stop();
      }
    },
    30_000,
  );
});
