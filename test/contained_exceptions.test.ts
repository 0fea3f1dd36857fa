import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {PlatformDialect} from '../platform/headers.js';
import {PlatformEstate} from '../platform/platform_estate.js';
import {DependencyHealth} from '../src/daemons/direct/dependency_health.js';
import {EntryDirectory} from '../src/daemons/direct/entry_directory.js';
import {LoadTracker} from '../src/direct/index.js';
import {DirectEstate, ROUTES, sealedAnswer} from './support/direct_estate.js';
import {recordUncaught} from './support/uncaught.js';

let estate: DirectEstate;
const uncaught = recordUncaught();

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
  await estate.addUpstream(({head, socket}) => {
    setTimeout(() => socket.write(sealedAnswer(head, 'done')), 60);
  });
  estate.configure(1, ROUTES);
  await estate.waitUntilReady();
});
afterEach(async () => {
  vi.restoreAllMocks();
  await estate.close();
});

const statusOf = async () =>
  JSON.parse((await estate.operate('/status')).body) as {
    openRequests: number;
    upstreams: {inFlight: number}[];
  };

/** Expects that nothing of the failed requests is left, and others are served. */
async function expectNoTrace(): Promise<void> {
  expect((await estate.call('/load/1')).status).toBe(200);
  const {openRequests, upstreams} = await statusOf();
  expect(openRequests).toBe(0);
  expect(upstreams.map(({inFlight}) => inFlight)).toEqual([0]);
  expect(uncaught).toEqual([]);
}

// An exception of one request ended the entry, and all that it carried (LOST).
describe('an exception of one request', () => {
  it.each(['/load/1', '/sheet/1', '/plan/1'])(
    'before %s is sent is answered as not run',
    async path => {
      const sound = estate.call(path);
      vi.spyOn(PlatformDialect.prototype, 'toUpstream').mockImplementationOnce(
        () => {
          throw new Error('unexpected');
        },
      );
      const answer = await estate.call(path);
      expect([answer.status, (await sound).status].sort()).toEqual([200, 503]);
      expect(estate.upstreams[0]!.received).toHaveLength(1);
      await expectNoTrace();
    },
  );

  it('as it is admitted is answered as not run', async () => {
    vi.spyOn(PlatformDialect.prototype, 'readRequest').mockImplementationOnce(
      () => {
        throw new Error('unexpected');
      },
    );
    expect((await estate.call('/load/1')).status).toBe(503);
    await expectNoTrace();
  });

  it.each(['/load/1', '/sheet/1', '/plan/1'])(
    'after %s was sent promises nothing',
    async path => {
      vi.spyOn(PlatformDialect.prototype, 'toCaller').mockImplementationOnce(
        () => {
          throw new Error('unexpected');
        },
      );
      expect((await estate.call(path)).status).toBe(500);
      await expectNoTrace();
    },
  );

  it('in what follows its answer leaves the answer as it is', async () => {
    vi.spyOn(LoadTracker.prototype, 'recordEnded').mockImplementationOnce(
      () => {
        throw new Error('unexpected');
      },
    );
    const answer = await estate.call('/load/1');
    expect(answer).toMatchObject({status: 200, body: 'done', isWhole: true});
    expect(uncaught).toEqual([]);
  });
});

describe('an exception of one record', () => {
  // It was taken for an outage of the store, after which lapsed upstreams stay listed.
  it('is not taken for an outage of the store', async () => {
    const recordFailure = vi.spyOn(DependencyHealth.prototype, 'recordFailure');
    const apply = vi
      .spyOn(EntryDirectory.prototype, 'apply')
      .mockImplementationOnce(() => {
        throw new Error('unexpected');
      });
    estate.store.put('keyed.baobabspan-entries', 'entry-9', {});
    await vi.waitFor(() => expect(apply).toHaveBeenCalled(), {timeout: 8_000});
    await estate.call('/load/1');
    expect(recordFailure).not.toHaveBeenCalled();
    expect(uncaught).toEqual([]);
  });

  it('does not keep later records from being read', async () => {
    vi.spyOn(
      PlatformEstate.prototype,
      'parseRegistration',
    ).mockImplementationOnce(() => {
      throw new Error('unexpected');
    });
    estate.store.put('keyed.servers', 'odd', {});
    await estate.addUpstream(({head, socket}) =>
      socket.write(sealedAnswer(head, 'done')),
    );
    await vi.waitFor(
      async () => expect((await statusOf()).upstreams).toHaveLength(2),
      {timeout: 5_000},
    );
    expect(uncaught).toEqual([]);
  });
});
