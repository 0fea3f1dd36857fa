import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {DirectEstate, ROUTES, sealedAnswer} from './support/direct_estate.js';

const NESTED = `${'{"a":'.repeat(200_000)}1${'}'.repeat(200_000)}`;

const registration = (fields: string) =>
  '{"Service":"app","Address":"127.0.0.1:9","Zone":"a","Slots":6,' +
  `"State":"ready","Sequence":1,"born":5,${fields}}`;

let estate: DirectEstate;
const uncaught: unknown[] = [];
const record = (thrown: unknown) => uncaught.push(thrown);

beforeEach(async () => {
  uncaught.length = 0;
  process.on('uncaughtException', record);
  process.on('unhandledRejection', record);
  estate = new DirectEstate();
  await estate.start();
});
afterEach(async () => {
  await estate.close();
  process.off('uncaughtException', record);
  process.off('unhandledRejection', record);
});

// Another writer's entry must neither end the process nor stop its reading.
describe('an odd entry among the registrations', () => {
  it.each<[string, string]>([
    ['is nested deeply', NESTED],
    ['is nested deeply in an unknown field', registration(`"x":${NESTED}`)],
    ['is nested deeply in a known field', registration(`"Zone":${NESTED}`)],
    ['has a port out of range', registration('"Address":"127.0.0.1:99999"')],
    ['has a port of 0', registration('"Address":"127.0.0.1:0"')],
    [
      'has a long port',
      registration(`"Address":"127.0.0.1:${'9'.repeat(400)}"`),
    ],
    ['has an address out of range', registration('"Address":"999.1.1.1:80"')],
    ['has no address', registration('"Address":"...:80"')],
    ['has infinite slots', registration('"Slots":1e999')],
    ['has too many slots', registration('"Slots":9007199254740991')],
    ['has an infinite warm-up', registration('"ColdRemainingMs":1e999')],
    ['has a long warm-up', registration('"ColdRemainingMs":1e300')],
    ['has a large sequence', registration('"Sequence":1e300')],
    ['was born too late', registration('"born":1e300')],
    ['is a number', '1e999'],
    ['is null', 'null'],
    ['is not UTF-8 or JSON', '\u0000\ufffd{'],
  ])(
    'that %s disturbs nothing',
    async (_name, text) => {
      await estate.addUpstream(({head, socket}) =>
        socket.write(sealedAnswer(head, 'done')),
      );
      estate.configure(1, ROUTES);
      await estate.waitUntilReady();
      estate.store.putBytes('keyed.servers', 'odd', Buffer.from(text));
      const status = async () =>
        JSON.parse((await estate.operate('/status')).body) as {
          upstreams: {id: string}[];
        };
      // Later records are still read, and none of the requests goes to it.
      await estate.addUpstream(({head, socket}) =>
        socket.write(sealedAnswer(head, 'done')),
      );
      await vi.waitFor(
        async () =>
          expect((await status()).upstreams).toContainEqual(
            expect.objectContaining({id: 'i-2'}),
          ),
        {timeout: 5_000},
      );
      const answers = await Promise.all(
        Array.from({length: 12}, () => estate.call('/load/1')),
      );
      expect(answers.map(answer => answer.status)).toEqual(
        Array.from({length: 12}, () => 200),
      );
      expect(uncaught).toEqual([]);
    },
    20_000,
  );
});
