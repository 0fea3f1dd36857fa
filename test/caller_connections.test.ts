import {connect} from 'node:net';
import type {Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  DirectEstate,
  pause,
  requestIdOf,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';
import type {Script} from './support/direct_estate.js';
import {recordUncaught} from './support/uncaught.js';

let estate: DirectEstate;
let callers: Caller[];
const uncaught = recordUncaught();
/** Larger than what an entry buffers, so that it is passed on as it comes. */
const FIRST_PART = 'a'.repeat(2 ** 20 + 2 ** 18);
const LAST_PART = 'b'.repeat(2 ** 18);
const BODY = FIRST_PART + LAST_PART;

/** A caller that writes raw bytes. */
class Caller {
  readonly socket: Socket;
  text = '';
  isReset = false;
  readonly closed: Promise<void>;

  constructor(address: string, allowHalfOpen = false) {
    const [host, port] = address.split(':');
    this.socket = connect({port: Number(port), host, allowHalfOpen});
    this.socket.on('data', data => (this.text += data.toString('latin1')));
    this.socket.on('error', () => (this.isReset = true));
    this.closed = new Promise(resolve => this.socket.on('close', resolve));
    callers.push(this);
  }

  send(...bytes: string[]): this {
    this.socket.write(bytes.join(''), 'latin1');
    return this;
  }

  /** Waits until a part of the answer has come. */
  async receive(part: string): Promise<void> {
    await expect
      .poll(() => this.rest.includes(part), {timeout: 5_000, interval: 10})
      .toBe(true);
  }

  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(found =>
      Number(found[1]),
    );
  }

  /** What follows the first head, without the framing of chunks. */
  get rest(): string {
    const rest = this.text.slice(this.text.indexOf('\r\n\r\n') + 4);
    return this.text.includes('Transfer-Encoding: chunked')
      ? rest.replace(/(^|\r\n)[0-9a-f]+\r\n(\r\n$)?/g, '')
      : rest;
  }
}

beforeEach(async () => {
  callers = [];
  estate = new DirectEstate();
  await estate.start();
  estate.configure(
    3,
    (['/sheet/', '/load/', '/plan/'] as const).map((prefix, i) =>
      wireRoute(prefix, (['safe', 'unsafe', 'streaming'] as const)[i]!, {
        TimeoutMs: 12_000,
      }),
    ),
  );
});
afterEach(async () => {
  callers.forEach(({socket}) => socket.destroy());
  await estate.close();
  expect(uncaught).toEqual([]);
});

async function connectCaller(
  script: Script,
  allowHalfOpen = false,
): Promise<Caller> {
  await estate.addUpstream(script);
  await estate.waitUntilReady();
  return new Caller(estate.callersAddress, allowHalfOpen);
}

const get = (path: string, id: string, ...lines: string[]) =>
  [`GET ${path} HTTP/1.1`, 'Host: vans.example', `Request-Id: ${id}`]
    .concat('Authorization: Bearer k1', 'Deadline-Ms: 11000', lines)
    .join('\r\n') + '\r\n\r\n';
const HALF_A_REQUEST = get('/sheet/2', 'r2').slice(0, -20);
const NO_REQUEST = 'these bytes are no request\r\n\r\n';

/** Answers with a body whose last part follows after a time, ms. */
const slowly =
  (delay: number, framing: 'length' | 'close'): Script =>
  ({head, socket}) => {
    const line =
      framing === 'length'
        ? `Content-Length: ${BODY.length}`
        : 'Connection: close';
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
        `Response-Seal: s\r\n${line}\r\n\r\n${FIRST_PART}`,
    );
    setTimeout(() => {
      if (framing === 'length') socket.write(LAST_PART);
      else socket.end(LAST_PART);
    }, delay);
  };

/** Answers after a time, ms. */
const later =
  (delay: number): Script =>
  ({head, socket}) =>
    void setTimeout(
      () => socket.write(sealedAnswer(head, requestIdOf(head))),
      delay,
    );

async function countRefusals(reason: string): Promise<number> {
  const {body} = await estate.operate('/metrics');
  const line = `refusals_total\\{reason="${reason}",service=""\\} (\\d+)`;
  return Number(new RegExp(line).exec(body)?.[1] ?? 0);
}

// An error response of the entry's own stood within the body, and the rest was lost
// (MIXED, LOST).
describe.each<'length' | 'close'>(['length', 'close'])(
  'a response delimited by %s',
  framing => {
    it.each([
      ['half a request that times out', HALF_A_REQUEST, 6_000],
      ['bytes that are no request', NO_REQUEST, 500],
      ['a CONNECT', 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', 500],
      ['the preface of HTTP/2', 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 500],
    ])(
      'is sent whole before the connection closes, with %s amid it',
      async (_name, bytes, delay) => {
        const caller = await connectCaller(slowly(delay, framing));
        caller.send(get('/sheet/1', 'r1'));
        await caller.receive(FIRST_PART);
        caller.send(bytes);
        await caller.closed;
        expect(caller.statuses).toEqual([200]);
        expect(caller.rest === BODY).toBe(true);
        expect(caller.isReset).toBe(false);
      },
      15_000,
    );
  },
);

describe('a connection with open responses and an unreadable message', () => {
  it.each([
    ['half a request that times out', HALF_A_REQUEST, 5_500],
    ['bytes that are no request', NO_REQUEST, 300],
    ['a CONNECT', 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', 300],
  ])(
    'closes after the answer that had not begun (%s)',
    async (_name, bytes, delay) => {
      const caller = await connectCaller(later(delay));
      caller.send(get('/load/1', 'r1'), bytes);
      await caller.closed;
      expect(caller.statuses).toEqual([200]);
      expect(caller.rest).toBe('r1');
      expect(caller.text).toMatch(/connection: close/i);
      expect(caller.isReset).toBe(false);
    },
    15_000,
  );

  it('answers whole pipelined requests in order', async () => {
    const delays = new Map([
      ['r1', 400],
      ['r2', 50],
      ['r3', 200],
    ]);
    const caller = await connectCaller(received =>
      later(delays.get(requestIdOf(received.head))!)(received),
    );
    caller.send(
      ...[...delays.keys()].map(id => get('/sheet/1', id)),
      NO_REQUEST,
    );
    await caller.closed;
    expect(caller.text.match(/\r\n\r\nr\d/g)).toEqual(
      [...delays.keys()].map(id => `\r\n\r\n${id}`),
    );
    expect(caller.statuses).toEqual([200, 200, 200]);
  });

  it('answers a request with an unreadable body behind them', async () => {
    const caller = await connectCaller(later(300));
    const chunked = get('/load/2', 'r2', 'Transfer-Encoding: chunked');
    caller.send(
      get('/sheet/1', 'r1'),
      chunked.replace('GET', 'POST'),
      'no size\r\n',
    );
    await caller.closed;
    expect(caller.statuses).toEqual([200, 400]);
    const [, , second = ''] = caller.text.split('HTTP/1.1 ');
    expect(second).toMatch(/connection: close/i);
    expect(second).toMatch(/content-length: \d+/i);
    expect(await countRefusals('bad_request')).toBe(1);
  });

  it('adds nothing after the response to a rejected body', async () => {
    const caller = await connectCaller(later(0));
    const chunked = get('/load/2', 'r2', 'Transfer-Encoding: chunked');
    const chunk = `11000\r\n${'x'.repeat(0x11000)}\r\n`;
    caller.send(chunked.replace('GET', 'POST'), chunk);
    await caller.receive('body_too_large');
    caller.send('no size\r\n');
    await caller.closed;
    expect(caller.statuses).toEqual([413]);
  });

  it('receives the rest of a large answer while its caller goes on sending', async () => {
    const caller = await connectCaller(slowly(300, 'length'));
    caller.send(get('/sheet/1', 'r1'));
    await caller.receive('aaa');
    caller.socket.pause();
    const timer = setInterval(() => caller.send(NO_REQUEST.repeat(500)), 20);
    await pause(1_500);
    caller.socket.resume();
    await caller.receive(LAST_PART);
    clearInterval(timer);
    expect(caller.rest === BODY).toBe(true);
    expect(caller.isReset).toBe(false);
  });
});

// Pipelined requests ran at upstreams, and their answers were lost behind one that closed
// the connection (LOST).
describe('a request behind a response', () => {
  const received = () =>
    estate.upstreams.flatMap(one => one.received.map(requestIdOf));

  it.each<[string, Script, number]>([
    ['closes the connection', slowly(300, 'close'), 200],
    [
      'breaks off',
      ({head, socket}) => {
        socket.write(sealedAnswer(head, BODY).slice(0, -9));
        setTimeout(() => socket.resetAndDestroy(), 300);
      },
      200,
    ],
  ])('that %s does not run', async (_name, script, status) => {
    const caller = await connectCaller(script);
    caller.send(get('/load/1', 'r1'), get('/load/2', 'r2'));
    await caller.closed;
    expect(caller.statuses).toEqual([status]);
    expect(received()).toEqual(['r1']);
  });

  it('is answered before its connection closes if the entry drains', async () => {
    const caller = await connectCaller(later(400));
    caller.send(...['r1', 'r2', 'r3'].map(id => get('/load/1', id)));
    await expect.poll(received).toEqual(['r1']);
    const drained = estate.drain();
    await caller.closed;
    expect(caller.statuses).toEqual([200, 200, 200]);
    expect(caller.text.match(/connection: close/gi)).toHaveLength(1);
    await drained;
  });

  it('runs once its caller has the response, and not after its deadline', async () => {
    const caller = await connectCaller(later(600));
    const late = get('/load/2', 'r2').replace('11000', '500');
    caller.send(get('/load/1', 'r1'), late, get('/load/3', 'r3'));
    await pause(300);
    expect(received()).toEqual(['r1']);
    await expect.poll(() => caller.statuses, {timeout: 5_000}).toHaveLength(3);
    expect(caller.statuses).toEqual([200, 503, 200]);
    expect(received()).toEqual(['r1', 'r3']);
  });
});

describe('a message that is unreadable by itself', () => {
  it.each([
    ['bad_request', 400, NO_REQUEST],
    ['request_timeout', 408, HALF_A_REQUEST],
    ['headers_too_large', 431, get('/x', `r${'a'.repeat(140_000)}`)],
  ])(
    'gets a complete response and is counted (%s)',
    async (reason, status, bytes) => {
      const caller = await connectCaller(later(0));
      caller.send(bytes);
      await caller.closed;
      expect(caller.statuses).toEqual([status]);
      expect(caller.text).toContain(`Content-Length: ${caller.rest.length}`);
      expect(caller.text).toMatch(/connection: close/i);
      expect(JSON.parse(caller.rest)).toMatchObject({reason, status});
      expect(await countRefusals(reason)).toBe(1);
    },
    15_000,
  );
});

// Requests ran on for callers that had left (GONE).
describe('a caller that leaves', () => {
  const leave = {
    reset: (caller: Caller) => caller.socket.resetAndDestroy(),
    close: (caller: Caller) => caller.socket.destroy(),
  };
  const openAtUpstreams = () =>
    estate.upstreams.reduce((sum, one) => sum + one.openConnections, 0);

  it.each([
    ['reset', 'bytes that are no request', NO_REQUEST],
    ['close', 'bytes that are no request', NO_REQUEST],
    ['reset', 'half a request', HALF_A_REQUEST],
    ['close', 'half a request', HALF_A_REQUEST],
    ['close', 'a CONNECT', 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n'],
    ['reset', 'a whole request', get('/load/2', 'r2')],
    ['close', 'a whole request', get('/load/2', 'r2')],
  ] as const)('by %s after %s ends its requests', async (how, _name, bytes) => {
    const caller = await connectCaller(later(9_000));
    caller.send(get('/load/1', 'r1'), bytes);
    await expect.poll(openAtUpstreams).toBeGreaterThan(0);
    await pause(200);
    leave[how](caller);
    await expect.poll(openAtUpstreams, {timeout: 450, interval: 20}).toBe(0);
  });

  // The cut response ended in order and looked complete (MIXED).
  it('by half leaves a response without a length incomplete', async () => {
    const caller = await connectCaller(slowly(3_000, 'close'), true);
    caller.send(get('/sheet/1', 'r1'));
    await caller.receive(FIRST_PART);
    caller.socket.end();
    await caller.closed;
    expect(caller.isReset).toBe(true);
  });
});
