/** Connections to upstreams that no request needs any more. */
import {Socket} from 'node:net';

import {afterEach, beforeEach, expect, it, vi} from 'vitest';

import {
  DirectEstate,
  pause,
  sealedAnswer,
  wireRoute,
} from './support/direct_estate.js';

/** Time after which the first request is answered, and the second connects, ms. */
const ANSWER_MS = 30;
const CONNECT_MS = 60;
/** Time in which a connection that no request needs is closed, ms. */
const CLOSE_MS = 200;

let estate: DirectEstate;
let upstreamPort: number;
let heads: number;

beforeEach(async () => {
  heads = 0;
  estate = new DirectEstate();
  await estate.start();
  const upstream = await estate.addUpstream(({head, socket}) => {
    heads += 1;
    setTimeout(() => socket.write(sealedAnswer(head, 'answer')), ANSWER_MS);
  });
  upstreamPort = upstream.port;
  estate.configure(1, [wireRoute('/load/', 'safe')]);
  await estate.waitUntilReady();
});
afterEach(async () => {
  vi.restoreAllMocks();
  await estate.close();
});

/** Delays the second connection to the upstream; returns all of them. */
function delaySecondConnect(): Socket[] {
  const opened: Socket[] = [];
  const {connect} = Socket.prototype;
  vi.spyOn(Socket.prototype, 'connect').mockImplementation(function (
    this: Socket,
    ...args: unknown[]
  ) {
    const [options] = args.flat() as [{port?: number}];
    const begin = () => Reflect.apply(connect, this, args) as Socket;
    if (options.port !== upstreamPort) return begin();
    opened.push(this);
    if (opened.length !== 2) return begin();
    Object.assign(this, {connecting: true});
    setTimeout(begin, CONNECT_MS);
    return this;
  });
  return opened;
}

// It stayed open without a listener: its reset was an uncaught exception, and each
// took a descriptor at the entry and at the upstream.
it('a connection is closed if its request takes one that became idle', async () => {
  const opened = delaySecondConnect();
  const responses = await Promise.all([
    estate.call('/load/1'),
    estate.call('/load/2'),
  ]);
  expect(responses.map(({status}) => status)).toEqual([200, 200]);
  expect(heads).toBe(2);
  await pause(CLOSE_MS);
  const open = opened.filter(socket => !socket.destroyed);
  expect(open).toHaveLength(1);
});
