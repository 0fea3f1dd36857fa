import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  chunk,
  DirectEstate,
  event,
  requestIdOf,
  ROUTES,
  sealedAnswer,
  sendRaw,
  wireRoute,
} from './support/direct_estate.js';
import type {Answer, Script} from './support/direct_estate.js';

/** Statuses that promise callers that their request did not run. */
const NOT_RUN = [408, 421, 429, 503];

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

/** Runs the scripts in turn, whichever upstream gets the request. */
function inTurn(...scripts: Script[]): Script {
  let turn = 0;
  return request => {
    const script = scripts[Math.min(turn, scripts.length - 1)]!;
    turn += 1;
    script(request);
  };
}

const headOf = (head: string, framing = 'Transfer-Encoding: chunked\r\n') =>
  `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
  `Response-Seal: s\r\n${framing}\r\n`;

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
describe('A stream that breaks off and goes on with', () => {
  const begun: Script = ({head, socket}) => {
    socket.write(headOf(head) + chunk(event(1)));
    setTimeout(() => socket.resetAndDestroy(), 40);
  };
  const LARGE = 'x'.repeat(1.5 * 2 ** 20);

  it.each<[string, Script]>([
    ...['500 Error', '503 Busy', '400 Bad', '404 None', '301 Moved'].map(
      (status): [string, Script] => [
        `status ${status}`,
        ({head, socket}) =>
          socket.write(sealedAnswer(head, 'no such stream', status)),
      ],
    ),
    [
      'an error of 1.5 MB',
      ({head, socket}) => socket.write(sealedAnswer(head, LARGE, '500 Error')),
    ],
    [
      'an error without a length',
      ({head, socket}) =>
        socket.end(headOf(head, '').replace('200 OK', '400 Bad') + 'no such'),
    ],
    [
      'an event without an id',
      ({head, socket}) =>
        socket.write(sealedAnswer(head, 'data: {"error": "gone"}\n\n')),
    ],
  ])(
    '%s contains nothing of that, and is not complete',
    async (_name, next) => {
      const script = inTurn(begun, next);
      await withUpstreams(script, script);
      const answer = await estate.call('/plan/1');
      expect(answer.body).toBe(event(1));
      expect(answer.isWhole).toBe(false);
      expect(received()).toHaveLength(2);
    },
  );
});

describe('An answer that is too large to be buffered', () => {
  const LARGE = 'x'.repeat(1.5 * 2 ** 20);

  it('is followed by no other when it is an error', async () => {
    const script = inTurn(
      ({head, socket}) => socket.write(sealedAnswer(head, LARGE, '500 Error')),
      ({head, socket}) => socket.write(sealedAnswer(head, 'second')),
    );
    await withUpstreams(script, script);
    const answer = await estate.call('/sheet/1', {}, 'GET');
    expect(answer).toMatchObject({status: 500, isWhole: true});
    expect(answer.body).not.toContain('second');
    expect(received()).toHaveLength(1);
  });

  it('is followed by no other when it breaks off', async () => {
    const script = inTurn(
      ({head, socket}) => {
        socket.write(sealedAnswer(head, LARGE + LARGE).slice(0, -9));
        setTimeout(() => socket.resetAndDestroy(), 100);
      },
      ({head, socket}) => socket.write(sealedAnswer(head, 'second')),
    );
    await withUpstreams(script, script);
    const answer = await estate.call('/sheet/1', {}, 'GET');
    expect(answer.isWhole).toBe(false);
    expect(answer.body).not.toContain('second');
    expect(received()).toHaveLength(1);
  });
});

describe('An answer whose head breaks off', () => {
  it.each(['/load/1', '/plan/1'])(
    'is not passed on as a success, on %s at any byte',
    async path => {
      let cut = 0;
      let whole = '';
      await withUpstreams(({head, socket}) => {
        whole = sealedAnswer(head, event(1));
        socket.end(whole.slice(0, cut));
      });
      for (cut = 1; cut === 1 || cut < whole.length; cut += 3) {
        const answer = await estate.call(path).catch(() => undefined);
        const isSuccess = answer?.status === 200 && answer.isWhole;
        expect(isSuccess, `cut at byte ${cut}`).toBe(false);
      }
    },
    30_000,
  );

  it('is not passed on as a success on a kept connection', async () => {
    await withUpstreams(({head, socket}) => {
      const whole = sealedAnswer(head, event(1));
      if (/\/plan\/1/.test(head)) socket.write(whole);
      else socket.end(whole.slice(0, whole.indexOf('Content-Length') + 9));
    });
    expect((await estate.call('/plan/1')).status).toBe(200);
    expect((await estate.call('/plan/2')).status).not.toBe(200);
  });
});

describe('A stream that ends', () => {
  it.each<[string, string]>([
    ['with its connection', ''],
    ['with its length', `Content-Length: ${event(1).length * 2}\r\n`],
  ])('%s is complete', async (_name, framing) => {
    await withUpstreams(({head, socket}) => {
      socket.end(headOf(head, framing) + event(1) + event(2));
    });
    const answer = await estate.call('/plan/1');
    expect(answer).toMatchObject({status: 200, isWhole: true});
    expect(answer.body).toBe(event(1) + event(2));
  });

  const broken: [string, Script][] = [
    [
      'with its connection',
      ({head, socket}) =>
        socket.end(headOf(head, '') + event(1) + event(2).slice(0, 9)),
    ],
    [
      'in chunks',
      ({head, socket}) =>
        socket.write(
          headOf(head) + chunk(event(1) + event(2).slice(0, 9)) + '0\r\n\r\n',
        ),
    ],
  ];

  it.each(broken)(
    '%s within an event goes on at another upstream',
    async (_name, first) => {
      const script = inTurn(first, ({head, socket}) => {
        socket.write(sealedAnswer(head, event(2) + event(3)));
      });
      await withUpstreams(script, script);
      const answer = await estate.call('/plan/1');
      expect(answer.body).toBe(event(1) + event(2) + event(3));
      expect(answer.isWhole).toBe(true);
      expect(received()[1]).toMatch(/Last-Event-Id: 1\b/);
    },
  );

  it.each(broken)(
    '%s within an event is not complete if no other can go on',
    async (_name, first) => {
      await withUpstreams(first);
      const answer = await estate.call('/plan/1');
      expect(answer.body).toBe(event(1));
      expect(answer.isWhole).toBe(false);
    },
  );
});

// A caller of HTTP/1.0 gets neither chunks nor a length: its aborted responses ended in
// order, as complete ones do (ORDER, MIXED).
describe('A caller of HTTP/1.0', () => {
  const LARGE = 'x'.repeat(1.5 * 2 ** 20);

  it.each([
    ['a stream', '/plan/1', event(1)],
    ['a large body', '/sheet/1', LARGE],
  ])('sees a reset when %s breaks off', async (_name, path, part) => {
    const once = ['/plan/', '/sheet/'].map((prefix, i) =>
      wireRoute(prefix, i === 0 ? 'streaming' : 'safe', {MaxAttempts: 1}),
    );
    await estate.addUpstream(({head, socket}) => {
      socket.write(headOf(head) + chunk(part));
      setTimeout(() => socket.resetAndDestroy(), 100);
    });
    estate.configure(3, once);
    await estate.waitUntilReady();
    const answer = await sendRaw(
      estate.callersAddress,
      `POST ${path} HTTP/1.0\r\nHost: vans.example\r\nRequest-Id: r1\r\n` +
        'Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nload',
    );
    expect(answer.text).toMatch(/^HTTP\/1\.1 200 /);
    expect(answer.isReset).toBe(true);
  });
});

// Node reports a reset that arrives together with the last bytes as an orderly end.
describe('An answer without a length whose last bytes come with a reset', () => {
  const LARGE = 'x'.repeat(1.5 * 2 ** 20);
  const cut =
    (part: string, delay: number): Script =>
    ({head, socket}) => {
      socket.write(headOf(head, '') + part.slice(0, -3));
      setTimeout(() => {
        socket.write(part.slice(-3));
        socket.resetAndDestroy();
      }, delay);
    };

  /** Connecting to an upstream may time out on a busy machine. */
  async function callUpstream(path: string): Promise<Answer> {
    for (;;) {
      const before = received().length;
      const answer = await estate.call(path);
      if (received().length > before) return answer;
      expect(answer.status).toBe(503);
    }
  }

  it.each([0, 5, 20])('is not complete, %d ms after its head', async delay => {
    await withUpstreams(cut('the first half', delay));
    for (const path of ['/load/1', '/sheet/1'])
      expect((await callUpstream(path)).status).toBe(502);
  });

  it('is tried again on a safe route', async () => {
    const script = inTurn(cut('the first half', 5), ({head, socket}) =>
      socket.write(sealedAnswer(head, 'the whole')),
    );
    await withUpstreams(script, script);
    const answer = await callUpstream('/sheet/1');
    expect(answer).toMatchObject({status: 200, body: 'the whole'});
  });

  it('is not complete if it is too large to be buffered', async () => {
    await withUpstreams(cut(LARGE, 20));
    const {status, isWhole} = await callUpstream('/load/1');
    // A reset drops what an upstream has not sent: 502 if little was forwarded.
    expect(isWhole).toBe(status === 502);
  });

  it('goes on at another upstream if it is a stream', async () => {
    const script = inTurn(cut(event(1), 5), ({head, socket}) =>
      socket.write(sealedAnswer(head, event(2) + event(3))),
    );
    await withUpstreams(script, script);
    const answer = await callUpstream('/plan/1');
    expect(answer.body).toBe(event(1) + event(2) + event(3));
    expect(answer.isWhole).toBe(true);
  });
});
