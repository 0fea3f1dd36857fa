/** Crowds at the ports of a sidecar, and of the product's own form. */
import {afterEach, beforeEach, describe, it} from 'vitest';

import {CROWD_TEST_MS, expectSound} from './expectations.js';
import {TOKEN, startDirectSidecar, startOwnEntry} from './processes.js';
import type {Running} from './processes.js';
import {ENDLESS_HEADS, bodiesWith} from './sendings.js';

let running: Running;

afterEach(() => running.close());

const ANONYMOUS = bodiesWith(
  framing => `POST / HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`,
);

// No crowd had been tried on a sidecar.
describe('a sidecar lives through crowds', () => {
  beforeEach(async () => {
    running = await startDirectSidecar();
  });

  it.each(['links', 'operators'])(
    'of heads without end at its port for %s',
    async name => {
      const port = running.ports[name]!;
      const crowds = Object.values(ENDLESS_HEADS).map(sending => {
        return {clients: 60, port, sending};
      });
      await expectSound(running.watched, crowds);
    },
    CROWD_TEST_MS,
  );

  it.each(['links', 'operators'])(
    'of bodies at its port for %s',
    async name => {
      const port = running.ports[name]!;
      const crowds = Object.values(ANONYMOUS).map(sending => {
        return {clients: 30, port, sending};
      });
      await expectSound(running.watched, crowds);
    },
    CROWD_TEST_MS,
  );
});

// The own form shares the code that reads callers; no crowd had been tried on it.
describe('an entry of the own form lives through crowds', () => {
  beforeEach(async () => {
    running = await startOwnEntry();
  });

  const headOf = (framing: string) =>
    'POST /services/depot/loadings HTTP/1.1\r\nHost: a\r\n' +
    `Authorization: Bearer ${TOKEN}\r\n${framing}\r\n\r\n`;

  it.each([
    ['one chunk that stops short', 100],
    ['chunks of one byte that stop short', 60],
    ['lines without end behind the last chunk', 60],
    ['an announced length of 4 GB', 60],
  ])(
    'of bodies, %s, %i clients',
    async (name, clients) => {
      const sending = bodiesWith(headOf)[name]!;
      const port = running.ports['callers']!;
      await expectSound(running.watched, [{clients, port, sending}]);
    },
    CROWD_TEST_MS,
  );

  it.each(['callers', 'operators', 'links'])(
    'of heads without end at its port for %s',
    async name => {
      const port = running.ports[name]!;
      const crowds = Object.values(ENDLESS_HEADS).map(sending => {
        return {clients: 60, port, sending};
      });
      await expectSound(running.watched, crowds);
    },
    CROWD_TEST_MS,
  );
});
