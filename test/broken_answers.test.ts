import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';

const ROUTES = [
  wireRoute('/load/', 'unsafe'),
  wireRoute('/sheet/', 'safe'),
  wireRoute('/plan/', 'streaming'),
];
/** Statuses that promise callers that their request did not run. */
const NOT_RUN = [408, 421, 429, 503];
const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

let estate: DirectEstate;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(() => estate.close());

async function withUpstreams(...scripts: Script[]): Promise<void> {
  for (const script of scripts) await estate.addUpstream(script);
  estate.configure(3, ROUTES);
  await estate.waitUntilReady();
}

const received = () => estate.upstreams.flatMap(upstream => upstream.received);

const refusal = (id: string) =>
  `HTTP/1.1 503 Busy\r\n${id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;

describe('An earlier refusal that is repeated on a kept connection', () => {
  const variants: [string, string][] = [
    ['with the id of the earlier request', 'Request-Id: r-earlier\r\n'],
    ['without an id', ''],
  ];
  const script =
    (id: string): Script =>
    ({head, socket}) =>
      socket.write(
        head.includes('/1 ') ? sealedAnswer(head, event(1)) : refusal(id),
      );

  it.each(variants)(
    'does not answer the next request as not run, %s',
    async (_name, id) => {
      await withUpstreams(script(id));
      expect((await estate.call('/plan/1')).status).toBe(200);
      const next = await estate.call('/plan/2');
      expect(NOT_RUN).not.toContain(next.status);
      expect(estate.upstreams[0]!.connectionCount).toBe(1);
    },
  );

  it.each(variants)(
    'does not send the next request to a second upstream, %s',
    async (_name, id) => {
      for (let i = 0; i < 2; i++) await estate.addUpstream(script(id));
      const once = wireRoute('/plan/', 'streaming', {Resumable: false});
      estate.configure(3, [once]);
      await estate.waitUntilReady();
      // Leaves a kept connection to each of the two.
      await Promise.all([estate.call('/plan/1'), estate.call('/plan/1')]);
      expect(estate.upstreams.map(one => one.connectionCount)).toEqual([1, 1]);
      await estate.call('/plan/2');
      const runs = received().filter(head => head.includes('/plan/2 '));
      expect(runs).toHaveLength(1);
    },
  );
});
