import {errAsync, okAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {position} from '../../../test/support/positions.js';
import type {KeyedStore} from '../../clients/index.js';
import {Chance, Clock, incarnation, serviceName} from '../../core/index.js';
import {promptPartId, requestId} from '../../direct/index.js';
import type {CrashReport} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import {Metrics, SILENT_LOGGER} from '../../observability/index.js';
import {decodeReports, encodeReports} from './crash_report_exchange.js';
import {PeerChannel} from './peer_channel.js';
import {QuarantineKeeper} from './quarantine_keeper.js';

class FixedClock extends Clock {
  now = () => 10_000;
  wall = () => 10_000;
}

const report = (number: number): CrashReport => ({
  service: serviceName('assistant'),
  upstream: incarnation(`i-${number}@1`),
  request: requestId(`r${number}`),
  at: number * 1_000,
  suspects: [promptPartId('dead')],
  isKnown: false,
  cleared: [],
});

describe('QuarantineKeeper', () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  let isAway: boolean;
  let stored: CrashReport[][];
  let keeper: QuarantineKeeper;

  beforeEach(() => {
    isAway = false;
    stored = [];
    const put: KeyedStore['put'] = (_topic, _key, value) => {
      if (isAway) return errAsync(new Fault('store_unavailable'));
      stored.push(decodeReports(value));
      return okAsync(position(stored.length));
    };
    keeper = new QuarantineKeeper(
      {
        store: {put} as KeyedStore,
        channel: new PeerChannel(new FixedClock(), SILENT_LOGGER),
        topic: 'quarantines',
        onAdded: () => undefined,
      },
      {
        clock: new FixedClock(),
        chance: new Chance(1),
        logger: SILENT_LOGGER,
        metrics: new Metrics(),
      },
    );
  });
  afterEach(() => keeper.stop());

  it('restores a quarantine that the store has lost, unless another entry does', async () => {
    const key = 'assistant/dead';
    const value = encodeReports([report(1), report(2)]);
    keeper.applyStored([{key, value}]);
    keeper.recordStoreLoss();
    keeper.applyStored([{key, value: undefined, isLost: true}]);
    await vi.advanceTimersByTimeAsync(1_100);
    expect(stored).toEqual([[report(1), report(2)]]);
    keeper.recordStoreLoss();
    keeper.applyStored([{key, value}]);
    await vi.advanceTimersByTimeAsync(1_100);
    expect(stored).toHaveLength(1);
  });

  it('lifts a quarantine again that came back with an older copy', async () => {
    const key = 'assistant/dead';
    const value = encodeReports([report(1), report(2)]);
    keeper.applyStored([{key, value}]);
    keeper.lift(new URLSearchParams({service: 'assistant', part: 'dead'}));
    await vi.advanceTimersByTimeAsync(1_100);
    const [lifted] = stored;
    keeper.recordStoreLoss();
    keeper.applyStored([{key, value}]);
    await vi.advanceTimersByTimeAsync(1_100);
    expect(stored).toEqual([lifted, lifted]);
  });

  it('stores the last state of a quarantine when the store is back', async () => {
    isAway = true;
    const value = encodeReports([report(1), report(2)]);
    keeper.applyStored([{key: 'k', value}]);
    const query = new URLSearchParams({service: 'assistant', part: 'dead'});
    keeper.lift(query);
    keeper.applyStored([
      {key: 'k', value: encodeReports([report(3), report(4)])},
    ]);
    keeper.lift(query);
    await vi.advanceTimersByTimeAsync(1_500);
    isAway = false;
    await vi.advanceTimersByTimeAsync(3_000);
    expect(stored).toHaveLength(1);
    const upstreams = stored[0]!.map(({upstream}) => upstream);
    expect(upstreams).toEqual(['i-3@1', 'i-4@1']);
    expect(stored[0]!.every(({cleared}) => cleared.length === 1)).toBe(true);
  });
});
