import {Socket} from 'node:net';

import {afterEach, beforeEach, expect, it, vi} from 'vitest';

import {
  DirectEstate,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';

/** Limit that the callers of the estate name, ms. */
const LIMIT_MS = 1_200;

let estate: DirectEstate;
let upstreamPort: number;
let handedOn: number[];
let holdUpMs: number;

beforeEach(async () => {
  handedOn = [];
  estate = new DirectEstate();
  await estate.start();
  const upstream = await estate.addUpstream(({head, socket}) => {
    handedOn.push(Number(/deadline-ms: (\d+)/i.exec(head)?.[1]));
    socket.write(sealedAnswer(head, 'answer'));
  });
  upstreamPort = upstream.port;
  estate.configure(1, [wireRoute('/load/', 'unsafe')]);
  await estate.waitUntilReady();
});
afterEach(async () => {
  vi.restoreAllMocks();
  await estate.close();
});

/** Blocks the event loop once, while a connection to the upstream is under way. */
function holdUpNextConnect(): void {
  const {connect} = Socket.prototype;
  let isNext = true;
  vi.spyOn(Socket.prototype, 'connect').mockImplementation(function (
    this: Socket,
    ...args: unknown[]
  ) {
    const [options] = args.flat() as [{port?: number}];
    if (isNext && options.port === upstreamPort) {
      isNext = false;
      // Before the next poll, which completes a connection on loopback.
      process.nextTick(() => {
        const until = performance.now() + holdUpMs;
        while (performance.now() < until);
      });
    }
    return Reflect.apply(connect, this, args) as Socket;
  });
}

// Upstreams were told the time left before the connect (BUDGET).
it('a request hands on the time that is left when it is connected', async () => {
  holdUpMs = 350;
  holdUpNextConnect();
  const {status} = await estate.call('/load/1');
  expect(status).toBe(200);
  expect(handedOn).toHaveLength(1);
  expect(handedOn[0]).toBeLessThanOrEqual(LIMIT_MS - holdUpMs);
});

// The upstream counted as unreachable, and the caller was refused.
it('a connect that is late as the entry was held up is repeated', async () => {
  holdUpMs = 500;
  holdUpNextConnect();
  const {status} = await estate.call('/load/1');
  expect(status).toBe(200);
  expect(handedOn).toHaveLength(1);
  expect(handedOn[0]).toBeLessThanOrEqual(LIMIT_MS - holdUpMs);
  const {body} = await estate.operate('/status');
  expect(JSON.parse(body)).toMatchObject({upstreams: [{suspended: false}]});
});
