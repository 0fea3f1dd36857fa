import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import {EntryProcess, freePorts} from './support/entry_process.js';
import type {EntryPorts} from './support/entry_process.js';

const ENTRY_COUNT = 4;
const UPSTREAM_COUNT = 6;
const REQUESTS_PER_ENTRY = 6;
const RETRIES = {retryRatio: 0.2, retryWindowS: 4, retrySlack: 88};
const WINDOW_MS = RETRIES.retryWindowS * 1_000;
/** Time after which an entry uses its whole share. */
const SETTLED_MS = WINDOW_MS + 1_500;
/** The same for a process whose former one may have retries unread. */
const RESETTLED_MS = WINDOW_MS + 10_500;

let estate: DirectEstate;
let entries: EntryProcess[] = [];
/** Times at which each request arrived at upstreams. */
const arrivals = new Map<string, number[]>();
const requests: number[] = [];

beforeEach(async () => {
  arrivals.clear();
  requests.length = 0;
  estate = new DirectEstate();
  await estate.start(0);
  const change = {MaxAttempts: UPSTREAM_COUNT};
  estate.configure(1, [wireRoute('/sheet/', 'safe', change)]);
  for (let i = 0; i < UPSTREAM_COUNT; i++) {
    await estate.addUpstream(({head, socket}) => {
      const id = requestIdOf(head);
      arrivals.set(id, [...(arrivals.get(id) ?? []), performance.now()]);
      socket.write(sealedAnswer(head, 'failed', '500 Internal Server Error'));
    });
  }
});
afterEach(async () => {
  await Promise.all(entries.splice(0).map(one => one.end('SIGKILL')));
  await estate.close();
});

async function startEntry(ports: EntryPorts): Promise<EntryProcess> {
  const entry = new EntryProcess(estate.addressOfStore, ports, 5, RETRIES);
  entries.push(entry);
  await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
  return entry;
}

async function startEntries(): Promise<void> {
  const ports = [];
  for (let i = 0; i < ENTRY_COUNT; i++) ports.push(await freePorts());
  await Promise.all(ports.map(startEntry));
}

/** Ends an entry and starts its successor. */
async function restart(entry: EntryProcess): Promise<void> {
  entries = entries.filter(one => one !== entry);
  await entry.end('SIGKILL');
  await startEntry(entry.ports);
}

async function sendTo(entry: EntryProcess, count: number): Promise<void> {
  const answers = Array.from({length: count}, () => {
    requests.push(performance.now());
    return estate.callAt(entry.callers, '/sheet/1');
  });
  await Promise.all(answers);
}

const sendToAll = () =>
  Promise.all(entries.map(entry => sendTo(entry, REQUESTS_PER_ENTRY)));

/** Returns the retries and the bound of the window that uses most of it. */
function fullestWindow(): {retries: number; allowed: number} {
  const retries = [...arrivals.values()].flatMap(times => times.slice(1));
  const within = (times: number[], from: number) =>
    times.filter(at => at >= from && at < from + WINDOW_MS).length;
  const windows = retries.map(from => {
    const most = Math.max(
      ...[0, WINDOW_MS / 2, WINDOW_MS].map(before =>
        within(requests, from - before),
      ),
    );
    const allowed = RETRIES.retryRatio * most + RETRIES.retrySlack;
    return {retries: within(retries, from), allowed};
  });
  windows.sort((a, b) => b.retries / b.allowed - a.retries / a.allowed);
  return windows[0] ?? {retries: 0, allowed: RETRIES.retrySlack};
}

function expectWithinBound(): void {
  const {retries, allowed} = fullestWindow();
  expect(retries).toBeLessThanOrEqual(allowed);
}

// Upstreams got up to 1.6 times the retries that are allowed in a window (BUDGET).
describe('retries of entries that have spent their share before a kill', () => {
  it('stay within the bound when all are killed at once', async () => {
    await startEntries();
    await pause(SETTLED_MS);
    const sentAt = performance.now();
    await sendToAll();
    expect(fullestWindow().retries).toBeGreaterThan(60);
    await Promise.all(entries.map(restart));
    await pause(sentAt + WINDOW_MS - 400 - performance.now());
    await sendToAll();
    expectWithinBound();
    const refused = entries.map(entry => entry.hasLogged('retry_refused'));
    expect(refused).toEqual(entries.map(() => true));
  });

  it('stay within the bound when they are killed in series', async () => {
    await startEntries();
    await pause(SETTLED_MS);
    await sendToAll();
    for (const entry of [...entries]) await restart(entry);
    for (let i = 0; i < 4; i++) {
      await sendToAll();
      await pause(200);
    }
    expectWithinBound();
  });

  it('use their share again a window after upstreams have read all', async () => {
    await startEntries();
    await pause(SETTLED_MS);
    await restart(entries[0]!);
    await pause(RESETTLED_MS);
    await sendTo(entries.at(-1)!, REQUESTS_PER_ENTRY);
    expect(fullestWindow().retries).toBeGreaterThan(15);
  });
});

it('stay within the bound when entries start without knowing of each other', async () => {
  await startEntries();
  await pause(WINDOW_MS / 4);
  for (let i = 0; i < 4; i++) {
    await sendToAll();
    await pause(200);
  }
  expectWithinBound();
});
