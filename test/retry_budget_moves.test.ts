import {afterEach, beforeEach, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

const ENTRY_COUNT = 4;
const UPSTREAM_COUNT = 4;
const RETRIES = {retryRatio: 0.2, retryWindowS: 2, retrySlack: 20};
const WINDOW_MS = RETRIES.retryWindowS * 1_000;
/** Time after which an entry uses its whole share. */
const SETTLED_MS = WINDOW_MS + 1_500;
const BATCH_MS = 100;
const BATCH = 10;

let estate: DirectEstate;
let entries: EntryProcess[] = [];
let isFailing = false;
const arrivals = new Map<string, number[]>();
const requests: number[] = [];

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start(0);
  const change = {MaxAttempts: UPSTREAM_COUNT};
  estate.configure(1, [wireRoute('/sheet/', 'safe', change)]);
  for (let i = 0; i < UPSTREAM_COUNT; i++) {
    await estate.addUpstream(({head, socket}) => {
      const id = requestIdOf(head);
      arrivals.set(id, [...(arrivals.get(id) ?? []), performance.now()]);
      const status = isFailing ? '500 Internal Server Error' : '200 OK';
      socket.write(sealedAnswer(head, 'answer', status));
    });
  }
  const ports = [];
  for (let i = 0; i < ENTRY_COUNT; i++) ports.push(await freePorts());
  entries = ports.map(
    one => new EntryProcess(estate.addressOfStore, one, 5, RETRIES),
  );
  for (const entry of entries)
    await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
}, 30_000);
afterEach(async () => {
  await Promise.all(entries.map(one => one.end('SIGKILL')));
  await estate.close();
});

/** Sends batches to entries in turn. */
async function sendTo(some: readonly EntryProcess[], ms: number) {
  const calls: Promise<unknown>[] = [];
  for (let batch = 0; batch < ms / BATCH_MS; batch++) {
    for (let i = 0; i < BATCH; i++) {
      requests.push(performance.now());
      const {callers} = some[i % some.length]!;
      calls.push(estate.callAt(callers, '/sheet/1'));
    }
    await pause(BATCH_MS);
  }
  await Promise.all(calls);
}

/** Returns the largest part of the bound that a window uses. */
function largestLoad(): number {
  const retries = [...arrivals.values()].flatMap(times => times.slice(1));
  const within = (times: number[], from: number) =>
    times.filter(at => at >= from && at < from + WINDOW_MS).length;
  const loads = retries.map(from => {
    const most = Math.max(
      ...[0, WINDOW_MS / 2, WINDOW_MS].map(before =>
        within(requests, from - before),
      ),
    );
    const allowed = RETRIES.retryRatio * most + RETRIES.retrySlack;
    return within(retries, from) / allowed;
  });
  return Math.max(...loads);
}

// Upstreams got 1.3 times the retries that are allowed in a window (BUDGET).
it('retries stay within the bound when callers move to other entries', async () => {
  const [first, second] = [entries.slice(0, 2), entries.slice(2)];
  await sendTo(first, Math.max(2 * WINDOW_MS, SETTLED_MS));
  isFailing = true;
  await sendTo(first, WINDOW_MS / 5);
  for (const entry of first) await entry.end('SIGKILL');
  await sendTo(second, WINDOW_MS);
  expect(largestLoad()).toBeGreaterThan(0.6);
  expect(largestLoad()).toBeLessThanOrEqual(1);
});
