import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';

const answer: Script = ({head, socket}) => {
  socket.write(sealedAnswer(head, 'ok'));
};

/** Longer than the reads of an internal topic are apart. */
const PATIENCE = {timeout: 12_000, interval: 50};

const withRoute = (prefix: string) => [...ROUTES, wireRoute(prefix, 'safe')];

describe('a store that comes back from an older copy', () => {
  let estate: DirectEstate;

  beforeEach(() => {
    estate = new DirectEstate();
  });
  afterEach(() => estate.close());

  async function start(entryCount: number): Promise<void> {
    await estate.start(entryCount);
    estate.configure(1, ROUTES);
    await estate.addUpstream(answer);
    await estate.waitUntilReady();
  }

  /** Waits until all entries answer a path with a status. */
  const waitForStatus = (path: string, entryCount: number, status: number) =>
    vi.waitFor(
      async () => {
        for (let entry = 0; entry < entryCount; entry++) {
          const got = await estate.call(path, {}, 'GET', entry);
          expect(got.status).toBe(status);
        }
      },
      {timeout: 4_000, interval: 50},
    );

  // Three entries read the store themselves, eight read through one of them.
  it.each([3, 8])(
    'does not keep %s entries from later versions',
    async count => {
      await start(count);
      const copy = estate.store.copy();
      for (const version of [2, 3, 4]) {
        estate.configure(version, withRoute(`/v${version}/`));
      }
      await waitForStatus('/v4/', count, 200);
      estate.store.restore(copy);
      estate.configure(5, withRoute('/v5/'));
      await waitForStatus('/v5/', count, 200);
    },
    30_000,
  );

  it('does not bring an older version back', async () => {
    await start(1);
    const copy = estate.store.copy();
    estate.configure(2, withRoute('/v2/'));
    await waitForStatus('/v2/', 1, 200);
    estate.store.restore(copy);
    const end = performance.now() + 1_500;
    while (performance.now() < end) {
      expect((await estate.call('/v2/', {}, 'GET')).status).toBe(200);
      await new Promise(resolve => setTimeout(resolve, 50));
    }
  });

  it('does not make entries forget each other', async () => {
    const copy = estate.store.copy();
    await start(2);
    const entriesKnownTo = async (entry: number) => {
      const {body} = await estate.operate('/status', 'GET', entry);
      return (JSON.parse(body) as {entries: number}).entries;
    };
    await vi.waitFor(
      async () => expect(await entriesKnownTo(0)).toBe(2),
      PATIENCE,
    );
    estate.store.restore(copy);
    estate.configure(2, ROUTES);
    await estate.addUpstream(answer);
    await estate.addEntry();
    await vi.waitFor(async () => {
      expect(await entriesKnownTo(0)).toBeGreaterThanOrEqual(2);
      expect(await entriesKnownTo(2)).toBe(3);
    }, PATIENCE);
  }, 30_000);

  it('does not hide records behind offsets that were passed before the next read', async () => {
    await start(1);
    const copy = estate.store.copy();
    estate.configure(2, withRoute('/v2/'));
    await waitForStatus('/v2/', 1, 200);
    // The topic is longer than before the loss when the entry reads it again.
    estate.store.failureStatus = 503;
    await new Promise(resolve => setTimeout(resolve, 1_200));
    estate.store.restore(copy);
    estate.configure(3, withRoute('/v3/'));
    estate.store.put('keyed.op', 'other', {});
    estate.store.put('keyed.op', 'another', {});
    estate.store.failureStatus = undefined;
    await waitForStatus('/v3/', 1, 200);
  });
});
