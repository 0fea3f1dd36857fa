import {okAsync} from 'neverthrow';
import {describe, expect, it, vi} from 'vitest';

import type {KeyedStore} from '../../clients/index.js';
import {availabilityZone, vmName} from '../../core/index.js';
import type {EntryHistory, KeyedChange} from '../../direct/index.js';
import {SILENT_LOGGER, SystemClock} from '../../observability/index.js';
import {EntryDirectory} from './entry_directory.js';

const OWN = 'front-1';

const recordOf = (key: string, age: number): KeyedChange => ({
  key,
  value: Buffer.from(
    JSON.stringify({
      startedAt: Date.now() - age,
      availabilityZone: 'a',
      relay: '127.0.0.1:7340',
    }),
  ),
  isLost: false,
});

/** Returns the history with which an entry joins after a first listing. */
async function historyAfter(
  listing: readonly KeyedChange[],
): Promise<EntryHistory | undefined> {
  const histories: EntryHistory[] = [];
  const put = vi.fn(() => okAsync({era: 0, offset: 0}));
  const directory = new EntryDirectory(
    {
      vm: vmName(OWN),
      availabilityZone: availabilityZone('a'),
      relay: '127.0.0.1:7341',
    },
    {put} as unknown as KeyedStore,
    'entries',
    new SystemClock(),
    SILENT_LOGGER,
    {
      onJoined: history => histories.push(history),
      onShare: () => undefined,
      onPeers: () => undefined,
      onReaders: () => undefined,
    },
  );
  const announced = directory.announce();
  expect(put).not.toHaveBeenCalled();
  directory.apply(listing);
  await announced;
  await directory.announce();
  expect(histories).toHaveLength(1);
  return histories[0];
}

describe('EntryDirectory', () => {
  it('tells a first start from an addition and a restart', async () => {
    expect(await historyAfter([])).toBe('first_start');
    expect(await historyAfter([recordOf('front-2', 800)])).toBe('first_start');
    expect(await historyAfter([recordOf('front-2', 60_000)])).toBe('added');
    expect(
      await historyAfter([recordOf('front-2', 800), recordOf(OWN, 900)]),
    ).toBe('restarted');
  });

  it('takes a record that it cannot read for one of a running entry', async () => {
    const odd = {...recordOf('front-2', 0), value: Buffer.from('odd')};
    expect(await historyAfter([odd])).toBe('added');
  });
});
