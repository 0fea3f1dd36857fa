import {errAsync, okAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {KeyedStore} from '../../clients/index.js';
import {offset} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import {SILENT, SystemClock} from '../../observability/index.js';
import {KeyedFollower} from './keyed_follower.js';

const WAIT = 10_000;

/** A store without new records that can be out of reach. */
class QuietStore extends KeyedStore {
  isAway = false;
  readonly waits: number[] = [];

  list() {
    return okAsync({records: [], startedAt: offset(0)});
  }

  read(_topic: string, next: ReturnType<typeof offset>, wait: number) {
    this.waits.push(wait);
    if (this.isAway) return errAsync(new Fault('store_unavailable'));
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

describe('KeyedFollower', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('tells at once of regained contact, also on a quiet topic', async () => {
    const store = new QuietStore();
    const regained: number[] = [];
    const clock = new SystemClock();
    const follower = new KeyedFollower(
      store,
      {topic: 't', wait: WAIT, spacing: 0},
      clock,
      {onChanges: () => undefined, onRecovered: after => regained.push(after)},
      SILENT,
    );
    follower.start();
    await vi.advanceTimersByTimeAsync(100);
    store.isAway = true;
    await vi.advanceTimersByTimeAsync(WAIT + 2_000);
    expect(regained).toEqual([]);
    store.isAway = false;
    await vi.advanceTimersByTimeAsync(600);
    expect(regained).toHaveLength(1);
    // From then on it waits as before.
    expect(store.waits.at(-1)).toBe(WAIT);
    follower.stop();
  });
});
