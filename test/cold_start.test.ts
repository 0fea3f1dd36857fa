import {afterEach, beforeEach, expect, it, vi} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  pause,
  sealedAnswer,
} from './support/direct_estate.js';

const ENTRIES = 3;
const RATE = 8;

let estate: DirectEstate;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start(0);
  // Records of former processes: the entries count each other at once.
  for (let i = 1; i <= ENTRIES; i++) {
    const record = {availabilityZone: 'a', relay: `127.0.0.1:${i}`};
    estate.store.put('keyed.baobabspan-entries', `entry-${i}`, record);
  }
  for (let i = 0; i < ENTRIES; i++) await estate.addEntry();
});
afterEach(() => estate.close());

/** Sends requests to all entries in turn for a time, ms. */
async function load(duration: number): Promise<number[]> {
  const statuses: Promise<number>[] = [];
  const end = performance.now() + duration;
  for (let i = 0; performance.now() < end; i++) {
    const answer = estate.call('/load/1', {}, 'POST', i % ENTRIES);
    statuses.push(answer.then(({status}) => status));
    await pause(20);
  }
  return Promise.all(statuses);
}

const mostInSecond = (times: readonly number[]) =>
  Math.max(
    ...times.map(
      from => times.filter(at => at >= from && at < from + 1_000).length,
    ),
  );

it('bounds the requests to a cold upstream, also as its registration lapses', async () => {
  const received: number[] = [];
  const note = () => received.push(performance.now());
  await estate.addUpstream(
    ({head, socket}) => {
      note();
      socket.write(sealedAnswer(head, 'done'));
    },
    {ColdRemainingMs: 60_000},
  );
  estate.configure(1, ROUTES, 'depot', {ColdStartS: 60, ColdPerS: RATE});
  await estate.waitUntilReady();
  await vi.waitFor(async () => {
    const {body} = await estate.operate('/status');
    const {coldStart} = JSON.parse(body) as {coldStart: {upstreams: object[]}};
    expect(coldStart).toMatchObject({
      ...{phase: 'equal', entries: ENTRIES},
      upstreams: [{id: 'i-1', cause: 'registration'}],
    });
  });
  const loaded = load(6_000);
  await pause(2_500);
  estate.store.put('keyed.servers', 'i-1');
  await pause(1_000);
  estate.register(1, {ColdRemainingMs: 57_000, Sequence: 2});
  expect(new Set(await loaded)).toEqual(new Set([200, 503]));
  expect(mostInSecond(received)).toBeLessThanOrEqual(RATE);
  expect(received.length).toBeGreaterThan(RATE);
  const {body} = await estate.operate('/metrics');
  expect(body).toMatch(/cold_requests_total\{result="rejected"\} [1-9]/);
}, 30_000);
