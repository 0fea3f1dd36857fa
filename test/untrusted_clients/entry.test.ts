/** Crowds at the ports of an entry of the direct form. */
import {afterEach, beforeEach, describe, it} from 'vitest';

import {LONG_CROWD_MS} from './crowd.js';
import {CROWD_TEST_MS, expectSound} from './expectations.js';
import {startDirectEntry} from './processes.js';
import type {Running} from './processes.js';
import {ENDLESS_HEADS, bodiesWith} from './sendings.js';

let entry: Running;

beforeEach(async () => {
  entry = await startDirectEntry();
});
afterEach(() => entry.close());

const headOf = (framing: string, key = 'k1') =>
  'POST /sheet/1 HTTP/1.1\r\nHost: vans.example\r\nRequest-Id: c1\r\n' +
  `Authorization: Bearer ${key}\r\nDeadline-Ms: 9000\r\n${framing}\r\n\r\n`;
const KEYED = bodiesWith(framing => headOf(framing));
const WITHOUT_KEY = bodiesWith(framing => headOf(framing, 'unknown'));
const RELAYED = bodiesWith(
  framing => `POST /crashes HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`,
);

// An entry ran out of memory under such heads (275 MB of 250).
describe('an entry lives through heads without end', () => {
  it.each([
    ['one header line', 100],
    ['header lines of 28 bytes', 400],
    ['header lines of 6 bytes', 100],
    ['empty lines before a request', 100],
  ])(
    '%s, %i clients',
    async (name, clients) => {
      const sending = ENDLESS_HEADS[name]!;
      const port = entry.ports['callers']!;
      await expectSound(entry.watched, [{clients, port, sending}]);
    },
    CROWD_TEST_MS,
  );
});

// Chunks of one byte from 60 clients kept an entry from answering for a minute.
describe('an entry lives through bodies', () => {
  it.each([
    ['one chunk that stops short', 100],
    ['chunks of 64 KB that stop short', 100],
    ['chunks of 64 KB without end', 100],
    ['lines without end behind the last chunk', 60],
    ['an announced length of 4 GB', 60],
  ])(
    'with a key, %s, %i clients',
    async (name, clients) => {
      const sending = KEYED[name]!;
      const port = entry.ports['callers']!;
      await expectSound(entry.watched, [{clients, port, sending}]);
    },
    CROWD_TEST_MS,
  );

  it.each([
    ['chunks of 64 KB without end', 60],
    ['an announced length of 4 GB', 60],
  ])(
    'without a key, %s, %i clients',
    async (name, clients) => {
      const sending = WITHOUT_KEY[name]!;
      const port = entry.ports['callers']!;
      await expectSound(entry.watched, [{clients, port, sending}]);
    },
    CROWD_TEST_MS,
  );

  it.each([
    ['with a key', KEYED],
    ['without a key', WITHOUT_KEY],
  ])(
    '%s, chunks of one byte that stop short, 100 clients',
    async (_name, bodies) => {
      const sending = bodies['chunks of one byte that stop short']!;
      const port = entry.ports['callers']!;
      const crowd = {clients: 100, port, sending};
      await expectSound(entry.watched, [crowd], LONG_CROWD_MS);
    },
    CROWD_TEST_MS,
  );

  it(
    'of all kinds beside heads without end',
    async () => {
      const port = entry.ports['callers']!;
      const sendings = [KEYED, WITHOUT_KEY, ENDLESS_HEADS].flatMap(kinds =>
        Object.values(kinds),
      );
      const crowds = sendings.map(sending => ({clients: 10, port, sending}));
      await expectSound(entry.watched, crowds);
    },
    CROWD_TEST_MS,
  );
});

// Bodies at the internal port were charged to no budget: 354 MB of 250.
describe('an entry lives through crowds at its internal port', () => {
  it.each([
    ['chunks of one byte that stop short', 60],
    ['lines without end behind the last chunk', 60],
  ])(
    '%s, %i clients',
    async (name, clients) => {
      const sending = RELAYED[name]!;
      const port = entry.ports['internal']!;
      await expectSound(entry.watched, [{clients, port, sending}]);
    },
    CROWD_TEST_MS,
  );

  it(
    'bodies of 256 KB that stop short, 800 clients',
    async () => {
      const length = 256 * 2 ** 10;
      const head = `POST /crashes HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`;
      const sending = {begin: head + 'x'.repeat(length - 1)};
      const port = entry.ports['internal']!;
      const crowd = {clients: 800, port, sending};
      await expectSound(entry.watched, [crowd]);
    },
    CROWD_TEST_MS,
  );
});

describe('an entry lives through heads without end at its other ports', () => {
  it.each(['readiness', 'operators', 'internal'])(
    'of its port for %s',
    async name => {
      const port = entry.ports[name]!;
      const crowds = Object.values(ENDLESS_HEADS).map(sending => {
        return {clients: 60, port, sending};
      });
      await expectSound(entry.watched, crowds);
    },
    CROWD_TEST_MS,
  );
});
