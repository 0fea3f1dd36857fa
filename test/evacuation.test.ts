import {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  pause,
  sealedAnswer,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';

/** Fields of `/status`. */
interface Status {
  readonly evacuations: readonly {
    readonly zone: string;
    readonly source: string;
    readonly isLost: boolean;
  }[];
  readonly ignoredEvacuations: readonly {readonly key: string}[];
}

const answer: Script = ({head, socket}) => {
  socket.write(sealedAnswer(head, 'ok'));
};

/** Answers later, so that entries prefer the other upstream if they may. */
const answerSlowly: Script = received => {
  setTimeout(() => answer(received), 25);
};

describe('an evacuated zone', () => {
  let estate: DirectEstate;

  beforeEach(async () => {
    estate = new DirectEstate();
    await estate.start(2);
    estate.configure(1, ROUTES);
    await estate.addUpstream(answer, {Zone: 'a'});
    await estate.addUpstream(answerSlowly, {Zone: 'b'});
    await estate.waitUntilReady();
  });
  afterEach(async () => {
    vi.restoreAllMocks();
    await estate.close();
  });

  const evacuate = (zone: string) =>
    estate.store.put('keyed.op', `evacuate/${zone}`, {});
  const takeBack = (zone: string) =>
    estate.store.put('keyed.op', `evacuate/${zone}`);

  const statusOf = async (entry: number): Promise<Status> =>
    JSON.parse((await estate.operate('/status', 'GET', entry)).body);

  /** Waits until evacuations are in force at entries, a `?` for lost ones. */
  const waitForZones = (zones: readonly string[], entries = [0, 1]) =>
    vi.waitFor(
      async () => {
        for (const entry of entries) {
          const {evacuations} = await statusOf(entry);
          const shown = evacuations.map(
            ({zone, isLost}) => `${zone}${isLost ? '?' : ''}`,
          );
          expect(shown).toEqual(zones);
        }
      },
      {timeout: 4_000, interval: 20},
    );

  /** Sends requests to entries; returns how many each upstream received. */
  async function received(entries = [0, 1]): Promise<number[]> {
    const {upstreams} = estate;
    const before = upstreams.map(upstream => upstream.received.length);
    for (let i = 0; i < 8; i++) {
      for (const entry of entries) {
        const {status} = await estate.call('/load/1', {}, 'POST', entry);
        expect(status).toBe(200);
      }
    }
    return upstreams.map(
      (upstream, i) => upstream.received.length - before[i]!,
    );
  }

  it('gets no requests while the store is away, nor from an entry that starts', async () => {
    expect((await received())[0]).toBeGreaterThan(0);
    evacuate('a');
    await waitForZones(['a']);
    estate.store.failureStatus = 503;
    expect(await received()).toEqual([0, 16]);
    await pause(600);
    expect(await received()).toEqual([0, 16]);
    await estate.addEntry();
    expect(await estate.readinessStatus(2)).toBe(503);
    expect((await estate.call('/load/1', {}, 'POST', 2)).status).toBe(503);
    estate.store.failureStatus = undefined;
    await estate.waitUntilReady();
    expect(await received([2])).toEqual([0, 8]);
    expect((await statusOf(2)).evacuations).toMatchObject([
      {zone: 'a', source: 'listing'},
    ]);
    takeBack('a');
    await waitForZones([], [0, 1, 2]);
    expect((await received())[0]).toBeGreaterThan(0);
  }, 20_000);

  it('stays evacuated when the store has lost the record', async () => {
    expect((await received())[0]).toBeGreaterThan(0);
    const copy = estate.store.copy();
    evacuate('a');
    await waitForZones(['a']);
    estate.store.restore(copy);
    await waitForZones(['a?']);
    expect(await received()).toEqual([0, 16]);
    evacuate('a');
    await waitForZones(['a']);
    expect(await received()).toEqual([0, 16]);
    estate.store.restore(copy);
    await waitForZones(['a?']);
    // The store has no record of it that a drop would remove.
    takeBack('a');
    await waitForZones([]);
    expect((await received())[0]).toBeGreaterThan(0);
  }, 20_000);

  it('that is the last one of a service has its requests rejected at once', async () => {
    evacuate('a');
    evacuate('b');
    await waitForZones(['a', 'b']);
    for (const path of ['/load/1', '/sheet/1', '/plan/1']) {
      const patience = {'Deadline-Ms': '9000'};
      const {status, headers, ms} = await estate.call(path, patience);
      expect(status).toBe(503);
      // Nearly as late as callers honour: a third of their time.
      const delay = Number(headers['retry-after']);
      expect([delay > 2, delay <= 3]).toEqual([true, true]);
      expect(ms).toBeLessThan(600);
    }
    takeBack('a');
    await waitForZones(['b']);
    expect(await received()).toEqual([16, 0]);
  }, 20_000);

  // The request was sent on the connection when it was ready.
  it('gets no request on a connection that it was still opening', async () => {
    const {connect} = Socket.prototype;
    const evacuated = 'a';
    const {port: inA} = estate.upstreams[0]!;
    let delayed = 0;
    vi.spyOn(Socket.prototype, 'connect').mockImplementation(function (
      this: Socket,
      ...args: unknown[]
    ) {
      const [options] = args.flat() as [{port?: number}];
      const open = () => Reflect.apply(connect, this, args) as Socket;
      if (options.port !== inA) return open();
      delayed += 1;
      // Less than a connection may take.
      setTimeout(open, 250);
      return this;
    });
    // The upstream of the entry's own zone is preferred while both are idle.
    const call = estate.call('/load/1');
    await vi.waitFor(() => expect(delayed).toBe(1), {interval: 5});
    evacuate(evacuated);
    expect((await call).status).toBe(200);
    expect(estate.upstreams.map(one => one.received.length)).toEqual([0, 1]);
    const {body} = await estate.operate('/metrics');
    expect(body).toMatch(/attempt_failures_total\{reason="evacuated",.*\} 1/);
    expect(body).toMatch(/attempts_total\{charge="unsent_before",.*\} 1/);
  }, 20_000);

  it('is not one that a malformed record names', async () => {
    estate.store.put('keyed.op', 'evacuate/', {});
    estate.store.put('keyed.op', 'evacuate/b', 'now');
    estate.store.putBytes('keyed.op', 'evacuate/a', Buffer.from([0xff, 0x7b]));
    await vi.waitFor(async () =>
      expect((await statusOf(0)).ignoredEvacuations).toMatchObject([
        {key: 'evacuate/'},
        {key: 'evacuate/b'},
        {key: 'evacuate/a'},
      ]),
    );
    const [a, b] = await received([0]);
    expect([a! > 0, a! + b!]).toEqual([true, 8]);
  }, 20_000);
});
