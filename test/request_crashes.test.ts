import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  ROUTES,
  pause,
  sealedAnswer,
} from './support/direct_estate.js';
import type {Answer, ReceivedRequest} from './support/direct_estate.js';

const ENTRIES = 3;
const UPSTREAMS = 8;
/** Time for which an upstream is down after a crash, ms. */
const RESTART_MS = 700;
/** Time from a request to the crash that it causes, ms. */
const CRASH_MS = 10;
/** The rule allows three crashes, and three retries after them. */
const MAX_CRASHES = 3;
const MAX_LATER_RETRIES = 3;

const DEADLY = '/sheet/deadly';
const SOUND = '/sheet/sound';

describe('A request without a prompt that crashes upstreams', () => {
  let estate: DirectEstate;
  let crashes: number;
  /** Handles a request of the deadly path. */
  let onDeadly: (received: ReceivedRequest) => void;

  beforeEach(async () => {
    estate = new DirectEstate();
    crashes = 0;
    onDeadly = crash;
    await estate.start(ENTRIES);
    for (let i = 0; i < UPSTREAMS; i++) {
      await estate.addUpstream(received => {
        if (received.head.includes('/deadly')) onDeadly(received);
        else received.socket.write(sealedAnswer(received.head, 'ok'));
      });
    }
    estate.configure(1, ROUTES);
    await estate.waitUntilReady();
    for (let entry = 0; entry < ENTRIES; entry++) {
      while ((await countEntries(entry)) < ENTRIES) await pause(100);
    }
  });
  afterEach(() => estate.close());

  async function countEntries(entry: number): Promise<number> {
    const {body} = await estate.operate('/status', 'GET', entry);
    return (JSON.parse(body) as {entries: number}).entries;
  }

  function crash({head}: ReceivedRequest): void {
    const upstream = estate.upstreams.find(({received}) =>
      received.includes(head),
    )!;
    setTimeout(() => {
      crashes += 1;
      upstream.crash();
      setTimeout(() => void upstream.restart(), RESTART_MS);
    }, CRASH_MS);
  }

  /** Sends requests through all entries in turn, sound ones between. */
  async function send(path: string, count: number, method = 'GET') {
    const answers: Answer[] = [];
    for (let i = 0; i < count; i++) {
      answers.push(await estate.call(path, {}, method, i % ENTRIES));
      await estate.call(SOUND, {}, method, i % ENTRIES);
      await pause(300);
    }
    return answers;
  }

  it.each([
    ['may run again', DEADLY, 'GET'],
    ['runs at most once', '/load/deadly', 'POST'],
  ])(
    'reaches few upstreams, from any entry, if it %s',
    async (_name, path, method) => {
      const answers = await send(path, 12, method);
      expect(crashes).toBeLessThanOrEqual(MAX_CRASHES + MAX_LATER_RETRIES);
      expect(answers.slice(-4).map(({status}) => status)).toEqual([
        422, 422, 422, 422,
      ]);
      for (let entry = 0; entry < ENTRIES; entry++) {
        const sound = await estate.call(SOUND, {}, method, entry);
        expect(sound.status).toBe(200);
      }
      const other = await estate.call(`${path}?other`, {}, method, 0);
      expect(other.status).not.toBe(422);
    },
    30_000,
  );

  it('is not refused if its upstreams only reset connections', async () => {
    onDeadly = ({socket}) => socket.resetAndDestroy();
    await send(DEADLY, 8);
    onDeadly = ({head, socket}) => socket.write(sealedAnswer(head, 'ok'));
    const answers = await send(DEADLY, 3);
    expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
  }, 30_000);
});
