import {errAsync, okAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {KeyedStore} from '../../clients/index.js';
import {position} from '../../../test/support/positions.js';
import type {LogPosition} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import {SILENT_LOGGER, SystemClock} from '../../observability/index.js';
import {KeyedFollower} from './keyed_follower.js';

const WAIT = 10_000;

/** A store without new records that can become unavailable. */
class QuietStore extends KeyedStore {
  isUnavailable = false;
  readonly waits: number[] = [];

  list() {
    return okAsync({records: [], startedAt: position(0)});
  }

  read(_topic: string, next: LogPosition, wait: number) {
    this.waits.push(wait);
    if (this.isUnavailable) return errAsync(new Fault('store_unavailable'));
    return okAsync({kind: 'records' as const, records: [], next}).map(
      async page => {
        await new Promise(resolve => setTimeout(resolve, wait));
        return page;
      },
    );
  }

  put() {
    return errAsync(new Fault('store_unavailable'));
  }
}

/** A store that can lose its records. */
class LosingStore extends QuietStore {
  lose(): void {
    this.reportRecordsLost();
  }
}

describe('KeyedFollower', () => {
  it('reads at once when records are lost, not after its spacing', async () => {
    const store = new LosingStore();
    const follower = new KeyedFollower(
      store,
      {topic: 't', wait: 0, spacing: WAIT},
      new SystemClock(),
      {
        onChanges: () => undefined,
        onRecovered: () => undefined,
        onRestored: () => undefined,
      },
      SILENT_LOGGER,
    );
    follower.start();
    await vi.advanceTimersByTimeAsync(100);
    expect(store.waits).toHaveLength(0);
    store.lose();
    await vi.advanceTimersByTimeAsync(100);
    expect(store.waits).toHaveLength(1);
    follower.stop();
    store.lose();
    await vi.advanceTimersByTimeAsync(3 * WAIT);
    expect(store.waits).toHaveLength(1);
  });

  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('reports a recovery promptly on a topic without records', async () => {
    const store = new QuietStore();
    const recoveries: number[] = [];
    const clock = new SystemClock();
    const follower = new KeyedFollower(
      store,
      {topic: 't', wait: WAIT, spacing: 0},
      clock,
      {
        onChanges: () => undefined,
        onRecovered: downtime => recoveries.push(downtime),
        onRestored: () => undefined,
      },
      SILENT_LOGGER,
    );
    follower.start();
    await vi.advanceTimersByTimeAsync(100);
    store.isUnavailable = true;
    await vi.advanceTimersByTimeAsync(WAIT + 2_000);
    expect(recoveries).toEqual([]);
    store.isUnavailable = false;
    await vi.advanceTimersByTimeAsync(600);
    expect(recoveries).toHaveLength(1);
    // Later reads wait as before the outage.
    expect(store.waits.at(-1)).toBe(WAIT);
    follower.stop();
  });
});
