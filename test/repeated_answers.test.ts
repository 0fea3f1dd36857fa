import {request} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  chunk,
  DirectEstate,
  event,
  onReset,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import type {ReceivedRequest, Script} from './support/direct_estate.js';

let estate: DirectEstate;

beforeEach(async () => {
  estate = new DirectEstate();
  await estate.start();
});
afterEach(() => estate.close());

const ROUTES = [
  wireRoute('/load/', 'unsafe', {TimeoutMs: 8_000}),
  wireRoute('/sheet/', 'safe', {TimeoutMs: 8_000}),
  wireRoute('/plan/', 'streaming', {TimeoutMs: 8_000}),
];

async function withUpstreams(...scripts: Script[]): Promise<void> {
  for (const script of scripts) await estate.addUpstream(script);
  estate.configure(3, ROUTES);
  await estate.waitUntilReady();
}

const received = () => estate.upstreams.flatMap(upstream => upstream.received);

/** Runs the scripts in turn, whichever upstream gets the request. */
function inTurn(...scripts: Script[]): Script {
  let turn = 0;
  return one => {
    const script = scripts[Math.min(turn, scripts.length - 1)]!;
    turn += 1;
    script(one);
  };
}

interface Received {
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
  readonly ms: number;
}

let requestCount = 0;

/**
 * Sends a request until it reaches an upstream: connecting to one may time out on
 * a busy machine.
 */
async function call(path: string, deadline = 8_000): Promise<Received> {
  for (;;) {
    const before = received().length;
    const got = await send(path, deadline);
    if (received().length > before) return got;
    expect(got.status).toBe(503);
  }
}

/** Sends a request and returns its whole answer, whatever its size. */
function send(path: string, deadline: number): Promise<Received> {
  const [host, port] = estate.callersAddress.split(':');
  const startedAt = performance.now();
  requestCount += 1;
  const headers = {
    Host: 'vans.example',
    'Request-Id': `r${requestCount}`,
    Authorization: 'Bearer k1',
    'Deadline-Ms': `${deadline}`,
  };
  const options = {host, port, path, method: 'POST', headers, agent: false};
  return new Promise((resolve, reject) => {
    let [hasBegun, isReset] = [false, false];
    const req = request(options, res => {
      hasBegun = true;
      const chunks: Buffer[] = [];
      res.on('data', (bytes: Buffer) => chunks.push(bytes));
      res.on('error', () => (isReset = true));
      res.on('close', () =>
        resolve({
          status: res.statusCode ?? 0,
          body: Buffer.concat(chunks).toString('latin1'),
          isWhole: res.complete && !isReset,
          ms: performance.now() - startedAt,
        }),
      );
    });
    onReset(req, () => (isReset = true));
    req.on('error', err => {
      isReset = true;
      if (!hasBegun) reject(err);
    });
    req.end('load');
  });
}

/** Returns the head of an answer that ends with its connection. */
const openHead = (id: string, status = '200 OK', more = '') =>
  `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Seal: s\r\n${more}\r\n`;

/** Returns a text of a length that repeats at no short distance. */
const textOf = (length: number) =>
  Array.from({length: Math.ceil(length / 8)}, (_, i) =>
    `${(i * 7919) % 1_000_003}`.padStart(8, '.'),
  )
    .join('')
    .slice(0, length);

/** Writes parts with pauses between them, and then closes. */
async function writeParts(
  {socket}: ReceivedRequest,
  parts: readonly string[],
  gap: number,
): Promise<void> {
  for (const part of parts) {
    if (part !== parts[0] && gap > 0) await pause(gap);
    socket.write(part, 'latin1');
  }
  socket.end();
}

const BODIES: [string, string][] = [
  ['800 bytes', textOf(800)],
  ['60 KB', textOf(61_440)],
  ['1.5 MiB', textOf(1.5 * 2 ** 20)],
];
const GAPS = [0, 40];

type Second = (id: string, body: string) => string;

const identical: Second = (id, body) => openHead(id) + body;
const withLength: Second = (id, body) =>
  openHead(id, '200 OK', `Content-Length: ${body.length}\r\n`) + body;

/** Second answers that leave it open whether the first is whole. */
const AMBIGUOUS: [string, Second][] = [
  ['truncated', (id, body) => openHead(id) + body.slice(0, -9)],
  ['with a byte more', (id, body) => `${openHead(id)}${body}x`],
  [
    'with another length',
    (id, body) =>
      openHead(id, '200 OK', `Content-Length: ${body.length + 1}\r\n`) +
      `${body}x`,
  ],
  [
    'with another body',
    (id, body) => openHead(id) + body.slice(0, -1).concat('#'),
  ],
  [
    'in chunks',
    (id, body) =>
      openHead(id, '200 OK', 'Transfer-Encoding: chunked\r\n') +
      `${chunk(body)}0\r\n\r\n`,
  ],
  ["with another request's id", (_id, body) => openHead('r-earlier') + body],
  [
    'with a seal and no id',
    (_id, body) => `HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n\r\n${body}`,
  ],
  ['with another status', (id, body) => openHead(id, '500 Error') + body],
  [
    'with another status and the same length',
    (id, body) =>
      openHead(id, '503 Busy', `Content-Length: ${body.length}\r\n`) + body,
  ],
  ['of a head that breaks off', id => openHead(id).slice(0, -9)],
];

const answer =
  (body: string, second: Second, gap: number): Script =>
  one => {
    const id = requestIdOf(one.head);
    void writeParts(one, [openHead(id) + body, second(id, body)], gap);
  };

describe.each(BODIES)('An answer of %s without a length', (size, body) => {
  const isBuffered = size !== '1.5 MiB';

  describe.each(GAPS)('that its upstream repeats %d ms later', gap => {
    it.each<[string, Second]>([
      ['identically', identical],
      ['with a length', withLength],
      ['twice', (id, whole) => identical(id, whole) + identical(id, whole)],
    ])('reaches its caller once, if repeated %s', async (_name, second) => {
      await withUpstreams(answer(body, second, gap));
      for (const path of ['/sheet/1', '/load/1']) {
        const got = await call(path);
        expect(got).toMatchObject({status: 200, isWhole: true});
        expect(got.body === body, `${got.body.length} bytes`).toBe(true);
      }
      expect(received()).toHaveLength(2);
    });

    it.each(AMBIGUOUS)(
      'is not complete with bytes of both, if the second is %s',
      async (_name, second) => {
        await withUpstreams(answer(body, second, gap));
        for (const path of ['/sheet/1', '/load/1']) {
          const got = await call(path);
          const isSuccess = got.status === 200 && got.isWhole;
          expect(isSuccess, `${path}: ${got.body.length} bytes`).toBe(false);
          // What was passed on before the second one began is of the first.
          if (got.status === 200) expect(body.startsWith(got.body)).toBe(true);
          else expect(got.status).toBe(502);
        }
      },
    );

    it('is not complete if the second begins amid its body', async () => {
      const half = Math.floor(body.length / 2);
      await withUpstreams(one => {
        const id = requestIdOf(one.head);
        const parts = [
          openHead(id) + body.slice(0, half),
          identical(id, body),
          body.slice(half),
        ];
        void writeParts(one, parts, gap);
      });
      for (const path of ['/sheet/1', '/load/1']) {
        const got = await call(path);
        expect(got.status === 200 && got.isWhole, path).toBe(false);
        if (got.status === 200) expect(body.startsWith(got.body)).toBe(true);
      }
    });
  });

  it('passes unchanged with the text of a response in it', async () => {
    const texts = [
      'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n',
      'GET / HTTP/1.1 is a request line, HTTP/1.1 200',
      'HTTP/1.1 200 OK\n\nRequest-Id: not a header\n',
      `HTTP/1.0 200 OK\r\nX: ${'y'.repeat(20_000)}\r\nRequest-Id: far\r\n\r\n`,
      'the head ends with HTTP',
    ];
    const whole = texts.map(text => body + text).join('');
    await withUpstreams(one => {
      const id = requestIdOf(one.head);
      void writeParts(one, [openHead(id), ...whole.match(/[^]{1,7000}/g)!], 0);
    });
    const got = await call('/load/1');
    expect(got).toMatchObject({status: 200, isWhole: true});
    expect(got.body === whole).toBe(true);
  });

  it('is tried again on a safe route, if nothing was passed on', async () => {
    const [, second] = AMBIGUOUS[0]!;
    const script = inTurn(answer(body, second, 0), ({head, socket}) =>
      socket.write(sealedAnswer(head, body)),
    );
    await withUpstreams(script, script);
    const got = await call('/sheet/1');
    expect(got.isWhole).toBe(isBuffered);
    if (isBuffered) expect(got.body === body).toBe(true);
    expect(received()).toHaveLength(isBuffered ? 2 : 1);
  });
});

// Only a last coding `chunked` delimits a body.
describe.each(['identity', 'gzip', 'chunked, gzip', ''])(
  "An answer with the transfer coding '%s'",
  coding => {
    const body = textOf(800);
    const codedHead = (id: string) =>
      openHead(id, '200 OK', `Transfer-Encoding: ${coding}\r\n`);

    it('that its upstream repeats reaches its caller once', async () => {
      await withUpstreams(one => {
        const id = requestIdOf(one.head);
        void writeParts(one, [codedHead(id) + body, identical(id, body)], 40);
      });
      expect(await call('/load/1')).toMatchObject({
        ...{status: 200, isWhole: true},
        body,
      });
    });

    it('is not complete if its connection is reset', async () => {
      await withUpstreams(({head, socket}) => {
        const part = codedHead(requestIdOf(head)) + body;
        socket.write(part, () => socket.resetAndDestroy());
      });
      expect(await call('/load/1')).toMatchObject({status: 502});
    });
  },
);

describe('An answer without a length whose repeat', () => {
  const body = textOf(800);

  it('comes in two parts reaches its caller once, split at any byte', async () => {
    let cut = 0;
    await withUpstreams(one => {
      const id = requestIdOf(one.head);
      const second = identical(id, body);
      const parts = [
        openHead(id) + body + second.slice(0, cut),
        second.slice(cut),
      ];
      void writeParts(one, parts, 3);
    });
    const headLength = openHead('r10').length;
    for (cut = 1; cut <= headLength + 1; cut++) {
      const got = await call('/load/1');
      expect(got, `split at ${cut}`).toMatchObject({status: 200, body});
    }
  }, 30_000);

  it('breaks off in its head is not complete, cut after its protocol', async () => {
    let cut = 0;
    await withUpstreams(one => {
      const id = requestIdOf(one.head);
      const second = identical(id, body).slice(0, cut);
      void writeParts(one, [openHead(id) + body, second], 3);
    });
    const headLength = openHead('r10').length;
    for (cut = 'HTTP/'.length; cut < headLength; cut++) {
      const got = await call('/load/1');
      expect(got.status, `cut at ${cut}`).toBe(502);
    }
  }, 30_000);

  it('names its length is delivered before the connection closes', async () => {
    await withUpstreams(one => {
      const id = requestIdOf(one.head);
      one.socket.write(openHead(id) + body);
      one.socket.write(withLength(id, body).slice(0, -100));
      // The connection stays open.
    });
    const got = await call('/load/1', 5_000);
    expect(got).toMatchObject({status: 200, body, isWhole: true});
    expect(got.ms).toBeLessThan(2_000);
  });

  it('is a failure stays a failure', async () => {
    await withUpstreams(one => {
      const id = requestIdOf(one.head);
      const failure = openHead(id, '500 Error') + body;
      void writeParts(one, [failure, failure], 0);
    });
    const got = await call('/load/1');
    expect(got).toMatchObject({status: 500, body, isWhole: true});
  });
});

describe('A stream that ends with its connection', () => {
  const body = event(1) + event(2) + event(3);

  it.each<[string, Second, number]>(
    GAPS.flatMap((gap): [string, Second, number][] => [
      ['identically', identical, gap],
      ['with a length', withLength, gap],
    ]),
  )(
    'contains nothing of its repeat, if repeated %s',
    async (_name, second, gap) => {
      await withUpstreams(answer(body, second, gap));
      const got = await call('/plan/1');
      expect(got).toMatchObject({status: 200, body, isWhole: true});
      expect(received()).toHaveLength(1);
    },
  );

  it('goes on at another upstream if a second response ends it', async () => {
    const script = inTurn(
      one => {
        const id = requestIdOf(one.head);
        void writeParts(
          one,
          [openHead(id) + event(1), identical(id, body), event(2) + event(3)],
          10,
        );
      },
      ({head, socket}) => socket.write(sealedAnswer(head, event(2) + event(3))),
    );
    await withUpstreams(script, script);
    const got = await call('/plan/1');
    expect(got).toMatchObject({status: 200, body, isWhole: true});
    expect(received()[1]).toMatch(/Last-Event-Id: 1\b/);
  });

  it.each(AMBIGUOUS)(
    'is not complete if no other can go on and the second is %s',
    async (_name, second) => {
      await withUpstreams(answer(body, second, 10));
      const got = await call('/plan/1');
      expect(got.isWhole).toBe(false);
      expect(got.body).toBe(body);
    },
  );
});

describe('A response within the body of another', () => {
  it.each<[string, Second]>([
    ['cut_off', identical],
    ['attempt_failed', AMBIGUOUS[0]![1]],
  ])('is counted as %s', async (result, second) => {
    await withUpstreams(answer(textOf(800), second, 0));
    await call('/load/1');
    const {body} = await estate.operate('/metrics');
    expect(body).toContain(
      `baobabspan_extra_responses_total{result="${result}",service="app"} 1`,
    );
  });
});

describe('An answer that has no body', () => {
  it('leaves its connection to the next request', async () => {
    await withUpstreams(({head, socket}) =>
      socket.write(openHead(requestIdOf(head), '204 No Content')),
    );
    for (let i = 0; i < 20; i++) {
      expect(await call('/sheet/1')).toMatchObject({status: 204, body: ''});
    }
    expect(estate.upstreams[0]!.connectionCount).toBe(1);
  });
});

describe('A repeat of an earlier answer on a kept connection', () => {
  it.each([0, 5, 20])(
    'is no part of the next answer, %d ms after it began',
    async gap => {
      const body = textOf(800);
      const [first, rest] = [body.slice(0, 300), body.slice(300)];
      let earlier = '';
      await withUpstreams(one => {
        const id = requestIdOf(one.head);
        if (one.head.includes('/1 ')) {
          earlier = sealedAnswer(one.head, 'earlier');
          one.socket.write(earlier);
          return;
        }
        void writeParts(one, [openHead(id) + first, earlier, rest], gap);
      });
      for (const kind of ['/sheet/', '/load/']) {
        expect((await call(`${kind}1`)).body).toBe('earlier');
        const got = await call(`${kind}2`);
        expect(got.status === 200 && got.isWhole).toBe(false);
      }
    },
  );

  it.each([1, 5, 15, 40])('answers no other request, %d ms late', async gap => {
    await withUpstreams(one => {
      const whole = sealedAnswer(one.head, requestIdOf(one.head));
      one.socket.write(whole);
      setTimeout(() => one.socket.write(whole), gap);
    });
    for (let i = 0; i < 20; i++) {
      const got = await call(`/sheet/${i}`);
      if (got.status === 200) expect(got.body).toBe(`r${requestCount}`);
      await pause(i % 7);
    }
  });
});
