import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  requestIdOf,
  ROUTES,
  sealedAnswer,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';
import {PlatformStore} from '../platform/store_client.js';
import {PlatformRankClient} from '../platform/rank_client.js';
import {EntryProcess, freePorts} from './support/entry_process.js';

const FILLER = 'x'.repeat(16 * 2 ** 10);
/** Half of the smallest VM's memory; the caller and the upstream run in it too. */
const MAX_MEMORY_GROWTH_BYTES = 125 * 2 ** 20;
/** Ends with its connection, so a caller with unread bytes sees a complete body. */
const UNFRAMED_BODY = 'a body without length';

let estate: DirectEstate;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(() => estate.close());

/** Writes the beginning, then filler until the connection closes. */
function endlessAnswer(
  begin: (head: string) => string,
  filler = FILLER,
): Script {
  return ({head, socket}) => {
    socket.write(begin(head));
    const pour = () => {
      while (!socket.destroyed && socket.write(filler));
      if (!socket.destroyed) socket.once('drain', () => setImmediate(pour));
    };
    pour();
  };
}

const openAnswer = (head: string, rest: string) =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\nResponse-Seal: s\r\n${rest}`;

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

const endlessAnswers: [string, Script][] = [
  ['a status line', endlessAnswer(() => 'HTTP/1.1 200 ')],
  ['a header', endlessAnswer(() => 'HTTP/1.1 200 OK\r\nX: ')],
  [
    'headers',
    endlessAnswer(() => 'HTTP/1.1 200 OK\r\n', 'X: y\r\n'.repeat(2_000)),
  ],
  [
    'interim answers',
    endlessAnswer(() => '', 'HTTP/1.1 103 Hint\r\n\r\n'.repeat(700)),
  ],
  [
    'a chunk extension',
    endlessAnswer(head => `${openAnswer(head, CHUNKED)}1;`),
  ],
  [
    'chunks',
    endlessAnswer(
      head => openAnswer(head, CHUNKED),
      `1000\r\n${'x'.repeat(4_096)}\r\n`,
    ),
  ],
  [
    'a trailer',
    endlessAnswer(head => `${openAnswer(head, CHUNKED)}1\r\nx\r\n0\r\nT: `),
  ],
  [UNFRAMED_BODY, endlessAnswer(head => openAnswer(head, '\r\n'))],
  [
    'bytes before the answer',
    endlessAnswer(() => '\r\n', '\r\n'.repeat(4_000)),
  ],
  [
    'bytes after a whole answer',
    endlessAnswer(head => sealedAnswer(head, 'done')),
  ],
  [
    'the body of a rejection',
    endlessAnswer(
      () => 'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 1\r\n\r\n',
    ),
  ],
];

describe('an upstream that sends endless bytes', () => {
  it.each(
    ['/load/', '/sheet/', '/plan/'].flatMap(path =>
      endlessAnswers.map(([name, script]) => [name, path, script] as const),
    ),
  )(
    '%s on %s: ends by the deadline with bounded memory',
    async (name, path, script) => {
      await estate.addUpstream(script);
      estate.configure(3, ROUTES);
      await estate.waitUntilReady();
      let peak = 0;
      const before = process.memoryUsage().rss;
      const watch = setInterval(() => {
        peak = Math.max(peak, process.memoryUsage().rss - before);
      }, 20);
      const method = path === '/sheet/' ? 'GET' : 'POST';
      const answer = await estate
        .call(`${path}1`, {'Deadline-Ms': '700'}, method)
        .catch(() => undefined);
      clearInterval(watch);
      expect(answer?.ms ?? 0).toBeLessThan(1_000);
      // Only these answers of the upstream may reach the caller as complete.
      const isWhole = answer?.isWhole === true && answer.status === 200;
      const allowed = ['bytes after a whole answer', UNFRAMED_BODY];
      if (isWhole) expect(allowed).toContain(name);
      expect(peak).toBeLessThan(MAX_MEMORY_GROWTH_BYTES);
      // The connection to the upstream is closed.
      await expect
        .poll(() => estate.upstreams[0]!.openConnections, {timeout: 500})
        .toBe(0);
    },
  );

  it('resets the caller if the body can only end with the connection', async () => {
    // Exceeds the entry's buffer, then sends nothing until the deadline.
    const long = 'x'.repeat(2 ** 20 + 1);
    await estate.addUpstream(({head, socket}) => {
      socket.write(openAnswer(head, `\r\n${long}`));
    });
    estate.configure(3, ROUTES);
    await estate.waitUntilReady();
    const answer = await estate.call('/load/1', {'Deadline-Ms': '700'});
    expect(answer).toMatchObject({status: 200, isWhole: false});
  });

  it('answers every request by its deadline for arbitrary bytes', async () => {
    let bytes = Buffer.alloc(0);
    await estate.addUpstream(({head, socket}) => {
      const text = bytes
        .toString('latin1')
        .replaceAll('%ID', requestIdOf(head));
      socket.write(text, 'latin1');
    });
    estate.configure(3, ROUTES);
    await estate.waitUntilReady();
    const piece = fc.oneof(
      fc.constantFrom(
        'HTTP/1.1 200 OK\r\n',
        'HTTP/1.1 503 Busy\r\n',
        'HTTP/1.1 100 Continue\r\n\r\n',
        'HTTP/1.1 000 OK\r\n',
        'HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n',
        'HTTP/1.1 999 Odd\r\n',
        'X : a\r\n',
        ': a\r\n',
        'Trailer: T\r\n',
        'Request-Id: %ID\r\n',
        'Response-Seal: s\r\n',
        'Not-Executed: 1\r\n',
        'Retry-After: 0.01\r\n',
        'Content-Length: 4\r\n',
        'Transfer-Encoding: chunked\r\n',
        'Connection: close\r\n',
        '\r\n',
        '4\r\ndata\r\n',
        '0\r\n\r\n',
        'id: 1\ndata: x\n\n',
      ),
      fc.string({maxLength: 12}),
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(piece, {maxLength: 10}),
        fc.constantFrom('/load/1', '/sheet/1', '/plan/1'),
        async (pieces, path) => {
          bytes = Buffer.from(pieces.join(''), 'latin1');
          const answer = await estate
            .call(path, {'Deadline-Ms': '160'})
            .catch(() => undefined);
          expect(answer?.ms ?? 0).toBeLessThan(600);
          if (answer?.status !== 200 || !answer.isWhole) return;
          expect(answer.headers['response-seal']).toBeDefined();
        },
      ),
      {numRuns: 60, seed: 5},
    );
  }, 60_000);
});

function peakMemory(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(text)?.[1]) * 2 ** 10;
}

// A process that runs out of memory ends with the requests of all callers (LOST).
describe('many endless answers at once', () => {
  const CALLERS = 300;
  const UPSTREAMS = 6;

  it.each(['chunks', 'a body without length'])(
    'of %s leave the memory of the process bounded',
    async kind => {
      const [, script] = endlessAnswers.find(([name]) => name === kind)!;
      for (let i = 0; i < UPSTREAMS; i++) await estate.addUpstream(script);
      estate.configure(3, ROUTES);
      const entry = new EntryProcess(estate.addressOfStore, await freePorts());
      try {
        await expect.poll(() => entry.isReady(), {timeout: 15_000}).toBe(true);
        const before = peakMemory(entry.child.pid!);
        await Promise.all(
          Array.from({length: CALLERS}, (_, i) =>
            estate
              .callAt(entry.callers, i % 2 === 0 ? '/load/1' : '/sheet/1')
              .catch(() => undefined),
          ),
        );
        expect(entry.hasEnded).toBe(false);
        const growth = peakMemory(entry.child.pid!) - before;
        expect(growth).toBeLessThan(MAX_MEMORY_GROWTH_BYTES);
      } finally {
        await entry.end('SIGKILL');
      }
    },
    60_000,
  );
});

describe('the buffer budget', () => {
  const part = (head: string) =>
    openAnswer(head, `Content-Length: 9000\r\n\r\n${'x'.repeat(4_000)}`);

  it.each<[string, Script]>([
    [
      'a whole response',
      ({head, socket}) => socket.write(sealedAnswer(head, FILLER)),
    ],
    ['a response without an end', ({head, socket}) => socket.write(part(head))],
    ['a truncated response', ({head, socket}) => socket.end(part(head))],
    [
      'a failed response',
      ({head, socket}) =>
        socket.write(sealedAnswer(head, FILLER, '500 Failed')),
    ],
  ])('is returned after %s', async (_name, script) => {
    await estate.addUpstream(script);
    await estate.addUpstream(script);
    estate.configure(3, ROUTES);
    await estate.waitUntilReady();
    for (const [path, method] of [
      ['/load/1', 'POST'],
      ['/sheet/1', 'GET'],
    ] as const) {
      await estate
        .call(path, {'Deadline-Ms': '300'}, method)
        .catch(() => undefined);
    }
    await expect.poll(() => estate.bufferedBytes, {timeout: 500}).toBe(0);
  });
});

// The store and the engines may hand out endless bytes like any upstream.
describe('an endless answer of', () => {
  async function endlessServer(head: string): Promise<string> {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(head);
        const pour = () => {
          while (!socket.destroyed && socket.write(FILLER));
          if (!socket.destroyed) socket.once('drain', () => setImmediate(pour));
        };
        pour();
      });
    });
    server.unref();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  it.each([
    ['without a length', 'HTTP/1.1 200 OK\r\n\r\n'],
    [
      'with a long length',
      'HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n',
    ],
  ])('the store or an engine %s fails the call early', async (_name, head) => {
    const address = await endlessServer(head);
    const listing = await new PlatformStore(address).list('keyed.op');
    expect(listing._unsafeUnwrapErr().message).toMatch(/body of more than/);
    // The timeout of an engine's call may come before the limit of its size.
    const report = await new PlatformRankClient(address).report();
    expect(report._unsafeUnwrapErr().message).toMatch(
      /body of more than|no answer within/,
    );
  });
});
