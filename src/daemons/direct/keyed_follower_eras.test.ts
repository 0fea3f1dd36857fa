import fc from 'fast-check';
import {okAsync} from 'neverthrow';
import type {ResultAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {position} from '../../../test/support/positions.js';
import {KeyedStore} from '../../clients/index.js';
import type {KeyedListing, KeyedPage} from '../../clients/index.js';
import type {LogPosition, Millis} from '../../core/index.js';
import type {KeyedChange, KeyedRecord} from '../../direct/index.js';
import type {Fault} from '../../errors/index.js';
import {SILENT_LOGGER, SystemClock} from '../../observability/index.js';
import {KeyedFollower} from './keyed_follower.js';

const WAIT: Millis = 400;
const KEYS = ['a', 'b', 'c'];

interface Entry {
  readonly key: string;
  readonly value: string | undefined;
}

/** One topic in memory that can come back as it was some records ago. */
class ForgetfulStore extends KeyedStore {
  private entries: readonly Entry[] = [];
  private era = 1;

  append(entry: Entry): void {
    this.entries = [...this.entries, entry];
  }

  /** Loses the last records; whether the process learns of it at once varies. */
  lose(count: number, isNoticed: boolean): void {
    const kept = Math.max(0, this.entries.length - count);
    this.entries = this.entries.slice(0, kept);
    this.era += 1;
    if (isNoticed) this.reportRecordsLost();
  }

  newest(): ReadonlyMap<string, string> {
    const newest = new Map<string, string>();
    for (const {key, value} of this.entries) {
      if (value === undefined) newest.delete(key);
      else newest.set(key, value);
    }
    return newest;
  }

  list(): ResultAsync<KeyedListing, Fault> {
    const live = this.newest();
    const records = this.recordsFrom(0).filter(
      ({key, value}) => value?.toString() === live.get(key),
    );
    const startedAt = position(this.entries.length, this.era);
    return okAsync({records, startedAt});
  }

  read(
    _topic: string,
    from: LogPosition,
    wait: Millis,
  ): ResultAsync<KeyedPage, Fault> {
    const respond = async (): Promise<KeyedPage> => {
      const end = performance.now() + wait;
      while (from.offset === this.entries.length && performance.now() < end) {
        await new Promise(resolve => setTimeout(resolve, 20));
      }
      const {era} = position(0, this.era);
      if (era !== from.era || from.offset > this.entries.length)
        return {kind: 'expired', era};
      const next = position(this.entries.length, this.era);
      return {kind: 'records', records: this.recordsFrom(from.offset), next};
    };
    return okAsync(undefined).map(respond);
  }

  put(): ResultAsync<LogPosition, Fault> {
    throw new Error('a follower does not write');
  }

  private recordsFrom(from: number): KeyedRecord[] {
    return this.entries.slice(from).map(({key, value}, i) => ({
      key,
      position: position(from + i, this.era),
      value: value === undefined ? undefined : Buffer.from(value),
    }));
  }
}

type Step =
  | {readonly kind: 'append'; readonly key: string; readonly isRemoval: boolean}
  | {readonly kind: 'lose'; readonly count: number; readonly noticed: boolean}
  | {readonly kind: 'wait'; readonly time: Millis};

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('append' as const),
      key: fc.constantFrom(...KEYS),
      isRemoval: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('lose' as const),
      count: fc.nat(6),
      noticed: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      time: fc.nat(2 * WAIT),
    }),
  },
);

describe('KeyedFollower of a store that loses records', () => {
  beforeEach(
    () => void vi.useFakeTimers({toFake: ['setTimeout', 'performance']}),
  );
  afterEach(() => void vi.useRealTimers());

  it('ends with what the store has, whenever it loses records', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 25}), async steps => {
        const store = new ForgetfulStore();
        const known = new Map<string, string>();
        const lost = new Set<string>();
        const apply = ({key, value, isLost}: KeyedChange) => {
          if (isLost) lost.add(key);
          else lost.delete(key);
          if (value === undefined) known.delete(key);
          else known.set(key, Buffer.from(value).toString());
        };
        const follower = new KeyedFollower(
          store,
          {topic: 't', wait: WAIT, spacing: 50},
          new SystemClock(),
          {
            onChanges: changes => changes.forEach(apply),
            onRecovered: () => undefined,
            onRestored: () => undefined,
          },
          SILENT_LOGGER,
        );
        follower.start();
        for (const [i, one] of steps.entries()) {
          if (one.kind === 'wait') await vi.advanceTimersByTimeAsync(one.time);
          else if (one.kind === 'lose') store.lose(one.count, one.noticed);
          else {
            const value = one.isRemoval ? undefined : `${one.key}${i}`;
            store.append({key: one.key, value});
          }
        }
        await vi.advanceTimersByTimeAsync(4 * WAIT);
        follower.stop();
        expect(known).toEqual(store.newest());
        // A key is only lost while the store lacks it.
        expect([...lost].filter(key => known.has(key))).toEqual([]);
      }),
      {numRuns: 150},
    );
  }, 60_000);
});
