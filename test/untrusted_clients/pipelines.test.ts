/** Crowds that send requests ahead of their responses, at every port. */
import {afterEach, beforeEach, describe, it} from 'vitest';

import type {Crowd} from './crowd.js';
import {LONG_CROWD_MS} from './crowd.js';
import {CROWD_TEST_MS, expectSound} from './expectations.js';
import {
  TOKEN,
  answersAt,
  startDirectEntry,
  startDirectSidecar,
  startOwnEntry,
  startOwnSidecar,
} from './processes.js';
import type {Running} from './processes.js';
import {pipelinesTo} from './sendings.js';

let running: Running;

afterEach(() => running.close());

/** Header lines that callers of the direct form send. */
const DIRECT_HEADERS =
  'Host: vans.example\r\nRequest-Id: c1\r\n' +
  'Authorization: Bearer k1\r\nDeadline-Ms: 9000\r\n';
const TO_DIRECT = pipelinesTo('/sheet/1', DIRECT_HEADERS);
const TO_OWN = pipelinesTo(
  '/services/depot/loadings',
  `Host: a\r\nAuthorization: Bearer ${TOKEN}\r\n`,
);
const TO_CONTROL = pipelinesTo('/x', 'Host: a\r\nRequest-Id: c1\r\n');

/** What is as short as a request can be, and what brings most to do. */
const NAMES = Object.keys(TO_DIRECT);

/** Crowds of all kinds at one port, read by half of the clients. */
function mixAt(
  port: number,
  sendings: typeof TO_DIRECT,
  clients: number,
): readonly Crowd[] {
  return Object.values(sendings).flatMap(sending => [
    {clients, port, sending, isUnread: true},
    {clients, port, sending},
  ]);
}

/** Expects a process to live through crowds at a port, and to answer there. */
async function expectSoundAt(
  port: number,
  crowds: readonly Crowd[],
): Promise<void> {
  const {watched} = running;
  const isServing = async () =>
    (await watched.isServing()) && (await answersAt(port));
  await expectSound({...watched, isServing}, crowds, LONG_CROWD_MS);
}

// An entry ran out of memory under 120 such clients without headers.
describe('an entry lives through unread pipelines', () => {
  beforeEach(async () => {
    running = await startDirectEntry();
  });

  it.each(NAMES)(
    'of %s, 120 clients',
    async name => {
      const port = running.ports['callers']!;
      const sending = TO_DIRECT[name]!;
      const crowd = {clients: 120, port, sending, isUnread: true};
      await expectSoundAt(port, [crowd]);
    },
    CROWD_TEST_MS,
  );

  it.each(['readiness', 'operators', 'internal'])(
    'and read ones at its port for %s',
    async name => {
      const port = running.ports[name]!;
      await expectSoundAt(port, mixAt(port, TO_CONTROL, 15));
    },
    CROWD_TEST_MS,
  );

  it(
    'and read ones of all kinds',
    async () => {
      const port = running.ports['callers']!;
      await expectSoundAt(port, mixAt(port, TO_DIRECT, 15));
    },
    CROWD_TEST_MS,
  );

  it(
    'of clients that connect anew',
    async () => {
      const port = running.ports['callers']!;
      const crowds = mixAt(port, TO_DIRECT, 10);
      const again = crowds.map(crowd => ({...crowd, reconnects: true}));
      await expectSoundAt(port, again);
    },
    CROWD_TEST_MS,
  );
});

// It shares the code of the entry, under a lower heap limit.
describe('a sidecar lives through unread and read pipelines', () => {
  beforeEach(async () => {
    running = await startDirectSidecar();
  });

  it.each(['links', 'operators'])(
    'at its port for %s',
    async name => {
      const port = running.ports[name]!;
      await expectSoundAt(port, mixAt(port, TO_CONTROL, 15));
    },
    CROWD_TEST_MS,
  );
});

describe('an entry of the own form lives through unread and read pipelines', () => {
  beforeEach(async () => {
    running = await startOwnEntry();
  });

  it.each([
    ['callers', TO_OWN],
    ['operators', TO_CONTROL],
    ['links', TO_CONTROL],
  ])(
    'at its port for %s',
    async (name, sendings) => {
      const port = running.ports[name]!;
      await expectSoundAt(port, mixAt(port, sendings, 15));
    },
    CROWD_TEST_MS,
  );

  it.each(['POST without a header', 'POST with the usual headers'])(
    'of %s, 120 clients',
    async name => {
      const port = running.ports['callers']!;
      const sending = TO_OWN[name]!;
      const crowd = {clients: 120, port, sending, isUnread: true};
      await expectSoundAt(port, [crowd]);
    },
    CROWD_TEST_MS,
  );
});

describe('a sidecar of the own form lives through unread and read pipelines', () => {
  beforeEach(async () => {
    running = await startOwnSidecar();
  });

  it.each(['links', 'operators'])(
    'at its port for %s',
    async name => {
      const port = running.ports[name]!;
      await expectSoundAt(port, mixAt(port, TO_CONTROL, 15));
    },
    CROWD_TEST_MS,
  );
});
