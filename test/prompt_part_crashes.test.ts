import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  event,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import type {Answer, Script} from './support/direct_estate.js';

const ENTRIES = 3;
const UPSTREAMS = 8;
/** Time for which an upstream is down after a crash, ms. */
const RESTART_MS = 150;
/** Time from the head of an answer to the crash, ms. */
const CRASH_MS = 10;
/** The rule allows five crashes, and three requests after them. */
const MAX_CRASHES = 5;
const MAX_LATER_REQUESTS = 3;

const DEADLY = '48720f3588ea';
const COMMON = 'a1979a9a31e';
const WHOLE_STREAM = [1, 2, 3, 4].map(event).join('');

let estate: DirectEstate;
/** Number of crashes before each deadly request reached an upstream. */
let deadlyArrivals: number[];
let crashes: number;

beforeEach(() => {
  estate = new DirectEstate();
  deadlyArrivals = [];
  crashes = 0;
});
afterEach(() => estate.close());

/** Streams four events, or crashes as it begins to if the part is deadly. */
const stream: Script = ({head, socket}) => {
  if (!head.includes(DEADLY)) {
    socket.write(sealedAnswer(head, WHOLE_STREAM));
    return;
  }
  deadlyArrivals.push(crashes);
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
      'Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  const upstream = estate.upstreams.find(({received}) =>
    received.includes(head),
  )!;
  setTimeout(() => {
    crashes += 1;
    upstream.crash();
    setTimeout(() => void upstream.restart(), RESTART_MS);
  }, CRASH_MS);
};

async function startEstate(): Promise<void> {
  await estate.start(ENTRIES);
  for (let i = 0; i < UPSTREAMS; i++) await estate.addUpstream(stream);
  estate.configure(3, [wireRoute('/plan/', 'streaming')]);
  await estate.waitUntilReady();
  for (let entry = 0; entry < ENTRIES; entry++) await knowsPeers(entry);
}

/** Waits until an entry has learnt of the others from the store. */
async function knowsPeers(entry: number): Promise<void> {
  for (;;) {
    const {body} = await estate.operate('/status', 'GET', entry);
    if (JSON.parse(body).entries === ENTRIES) return;
    await pause(100);
  }
}

let own = 0;
function ask(
  parts: readonly string[],
  entry: number,
  entries = ENTRIES,
): Promise<Answer> {
  own += 1;
  const ids = [...parts, `0${own.toString(16)}`];
  const prefix = ids.map(id => `${id}:40`).join(',');
  const headers = {'Prompt-Prefix': prefix};
  return estate.call('/plan/1', headers, 'POST', entry % entries);
}

/** Sends deadly requests through all entries in turn, sound ones between. */
async function sendDeadly(count: number): Promise<Answer[]> {
  const answers: Answer[] = [];
  for (let i = 0; i < count; i++) {
    answers.push(await ask([COMMON, DEADLY], i));
    await ask([COMMON], i + 1);
    await pause(30);
  }
  return answers;
}

describe('A prompt part that crashes upstreams', () => {
  it('reaches no more upstreams once a few have crashed, from any entry', async () => {
    await startEstate();
    const answers = await sendDeadly(24);
    expect(crashes).toBeLessThanOrEqual(MAX_CRASHES);
    const later = deadlyArrivals.filter(before => before >= MAX_CRASHES);
    expect(later.length).toBeLessThanOrEqual(MAX_LATER_REQUESTS);
    const isFailed = ({isWhole, status}: Answer) => !isWhole || status >= 400;
    expect(answers.every(isFailed)).toBe(true);
    for (let i = 0; i < ENTRIES; i++) {
      const sound = await ask([COMMON], i);
      expect(sound).toMatchObject({status: 200, body: WHOLE_STREAM});
    }
  }, 20_000);

  it('reaches no upstream through an entry that starts after the store has lost records', async () => {
    const empty = estate.store.copy();
    await startEstate();
    await sendDeadly(12);
    const crashesBefore = crashes;
    estate.store.restore(empty);
    estate.configure(3, [wireRoute('/plan/', 'streaming')]);
    await estate.addUpstream(stream);
    // Entries that know the quarantine restore it within about a second.
    await pause(2_500);
    await estate.addEntry();
    await estate.waitUntilReady();
    await pause(500);
    const refused = await ask([COMMON, DEADLY], ENTRIES, ENTRIES + 1);
    expect(refused.status).toBe(422);
    expect(crashes).toBe(crashesBefore);
  }, 30_000);

  it('reaches no more upstreams while the store is away', async () => {
    await startEstate();
    estate.store.failureStatus = 503;
    await sendDeadly(12);
    expect(crashes).toBeLessThanOrEqual(MAX_CRASHES);
    const later = deadlyArrivals.filter(before => before >= MAX_CRASHES);
    expect(later.length).toBeLessThanOrEqual(MAX_LATER_REQUESTS);
  }, 20_000);

  it('reaches no upstream from an entry that starts later', async () => {
    await startEstate();
    await sendDeadly(6);
    const before = deadlyArrivals.length;
    await estate.addEntry();
    await estate.waitUntilReady();
    await pause(300);
    const answer = await ask([COMMON, DEADLY], ENTRIES, ENTRIES + 1);
    expect(answer.status).toBe(422);
    expect(JSON.parse(answer.body)).toMatchObject({
      reason: 'prompt_quarantined',
      detail: `prompt part ${DEADLY}`,
    });
    expect(deadlyArrivals).toHaveLength(before);
  }, 20_000);

  it('crashes no second upstream by the same request', async () => {
    await startEstate();
    const answer = await ask([COMMON, DEADLY], 0);
    expect(answer.isWhole).toBe(false);
    expect(deadlyArrivals).toHaveLength(1);
  }, 20_000);

  it('is tried again after an operator lifts its quarantine', async () => {
    await startEstate();
    await sendDeadly(6);
    const before = deadlyArrivals.length;
    const query = `service=app&part=${DEADLY}`;
    expect(await estate.operate(`/quarantine/lift?${query}`)).toMatchObject({
      status: 400,
    });
    await estate.operate(`/quarantine/lift?${query}`, 'POST');
    await pause(200);
    await ask([COMMON, DEADLY], 1);
    expect(deadlyArrivals).toHaveLength(before + 1);
  }, 20_000);

  it('reaches few upstreams if only the whole prompt is deadly', async () => {
    await startEstate();
    // Sound requests have shown that the other parts are harmless.
    for (let i = 0; i < ENTRIES; i++) await ask([COMMON], i);
    const headers = {'Prompt-Prefix': `${COMMON}:40,${DEADLY}:1014`};
    const repeat = (entry: number) =>
      estate.call('/plan/1', headers, 'POST', entry % ENTRIES);
    for (let i = 0; i < 12; i++) {
      await repeat(i);
      await pause(30);
    }
    expect(crashes).toBeLessThanOrEqual(MAX_CRASHES);
    expect(deadlyArrivals.length).toBeLessThanOrEqual(3);
    expect((await repeat(1)).status).toBe(422);
    for (let i = 0; i < ENTRIES; i++) {
      const sound = await ask([COMMON], i);
      expect(sound).toMatchObject({status: 200, body: WHOLE_STREAM});
    }
  }, 20_000);
});
