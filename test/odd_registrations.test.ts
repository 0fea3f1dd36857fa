import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {DirectEstate, ROUTES, sealedAnswer} from './support/direct_estate.js';
import {recordUncaught} from './support/uncaught.js';

const NESTED = `${'{"a":'.repeat(200_000)}1${'}'.repeat(200_000)}`;

const registration = (fields: string) =>
  '{"Service":"app","Address":"127.0.0.1:9","Zone":"a","Slots":6,' +
  `"State":"ready","Sequence":1,"born":5,${fields}}`;

let estate: DirectEstate;
const uncaught = recordUncaught();

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(async () => {
  await estate.close();
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

// The key becomes the id in a header: one that cannot be sent ended each entry, again
// after each start (LOST).
describe('a registration whose key', () => {
  it.each<[string, string]>([
    ['is not UTF-8', '\ufffd\ufffd'],
    ['has a line break', 'i-1\r\nTenant: other'],
    ['has a control character', 'i\u0000'],
    ['is empty', ''],
    ['is white space', ' '],
    ['has letters beyond Latin-1', 'сервер'],
  ])('%s disturbs nothing', async (_name, key) => {
    await estate.addUpstream(({head, socket}) => {
      setTimeout(() => socket.write(sealedAnswer(head, 'done')), 50);
    });
    estate.configure(1, ROUTES);
    estate.store.putBytes(
      'keyed.servers',
      key,
      Buffer.from(registration('"Sequence":2')),
    );
    await estate.waitUntilReady();
    const answers = await Promise.all(
      Array.from({length: 12}, () => estate.call('/load/1')),
    );
    expect(answers.map(answer => answer.status)).toEqual(
      Array.from({length: 12}, () => 200),
    );
    expect(uncaught).toEqual([]);
  });
});

// The entry ended at the first request of such an organisation (LOST).
describe('an organisation whose name has letters beyond', () => {
  it.each([
    ['ASCII', 'Café'],
    ['Latin-1', 'Мама Ntilie'],
  ])('%s reaches the upstream in UTF-8', async (_name, organisation) => {
    await estate.addUpstream(({head, socket}) =>
      socket.write(sealedAnswer(head, 'done')),
    );
    estate.configure(1, ROUTES, organisation);
    await estate.waitUntilReady();
    expect((await estate.call('/load/1')).status).toBe(200);
    const [head = ''] = estate.upstreams[0]!.received;
    const sent = Buffer.from(head, 'latin1').toString('utf8');
    expect(sent).toContain(`Tenant: ${organisation}\r\n`);
    expect(uncaught).toEqual([]);
  });
});
