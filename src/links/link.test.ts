import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {WebSocket, WebSocketServer} from 'ws';

import {until} from '../../test/support/processes.js';
import {Clock} from '../core/index.js';
import type {Millis} from '../core/index.js';
import type {Fault} from '../errors/index.js';
import {identity} from '../membership/index.js';
import type {Identity} from '../membership/index.js';
import {Metrics} from '../observability/index.js';
import {encode} from './codec.js';
import {dial} from './dial.js';
import {Handshake} from './handshake.js';
import {
  MAX_BUFFERED_BYTES_FOR_CALLS,
  MAX_BUFFERED_BYTES,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKE_READS,
} from './link.js';
import type {Link, LinkContext, LinkListener} from './link.js';
import {MAX_UNAUTHENTICATED_LINKS, acceptLinks} from './listener.js';
import type {LinkServer} from './listener.js';
import type {LinkMessage} from './messages.js';

class FakeClock extends Clock {
  time: Millis = 0;
  now(): Millis {
    return this.time;
  }
  wall(): Millis {
    return this.time;
  }
}

/** Interval at which a link checks its timeouts, ms. */
const TICK_INTERVAL = 500;
const KEY = 'a link key of the estate';

const identityOf = (vm: string): Identity =>
  identity.parse({
    incarnation: `${vm}/1`,
    vm,
    availabilityZone: 'z1',
    role: 'entry',
    address: '127.0.0.1:1',
    program: '0.1.0',
  });

/** Links of one process; records their events. */
class Endpoint implements LinkListener {
  readonly clock = new FakeClock();
  readonly metrics = new Metrics();
  readonly links: Link[] = [];
  readonly messages: LinkMessage[] = [];
  readonly reasons: string[] = [];
  throws = false;

  constructor(
    readonly vm: string,
    private readonly key = KEY,
  ) {}

  get context(): LinkContext {
    const {clock, metrics, key} = this;
    return {self: identityOf(this.vm), key, clock, metrics};
  }

  open(link: Link): void {
    this.links.push(link);
  }

  message(_link: Link, message: LinkMessage): void {
    if (this.throws) throw new Error('error of the listener');
    this.messages.push(message);
  }

  closed(_link: Link, {reason}: Fault): void {
    this.reasons.push(reason);
  }

  async count(name: string, reason: string): Promise<number> {
    const {values} = await this.metrics.registry
      .getSingleMetric(`baobabspan_${name}_total`)!
      .get();
    return values.find(({labels}) => labels['reason'] === reason)?.value ?? 0;
  }
}

/** Peer that sends and receives raw frames. */
class RawPeer {
  readonly socket: WebSocket;
  readonly frames: Buffer[] = [];
  /** The hello frame that it sent, for replays. */
  hello: Uint8Array = new Uint8Array();
  private readonly handshake = new Handshake(KEY, identityOf('raw'));
  private tcp: Socket | undefined;

  constructor(address: string) {
    this.socket = new WebSocket(`ws://${address}`);
    this.socket.once('upgrade', ({socket}) => {
      this.tcp = socket.setNoDelay();
    });
    this.socket.on('message', data => this.frames.push(data as Buffer));
    this.socket.on('error', () => undefined);
  }

  get isClosed(): boolean {
    return this.socket.readyState === WebSocket.CLOSED;
  }

  /** Writes bytes to the connection as they are. */
  write(bytes: Uint8Array): void {
    this.tcp?.write(bytes);
  }

  async waitForChallenge(): Promise<void> {
    await until(() => this.frames.length > 0);
  }

  async completeHandshake(): Promise<void> {
    await this.waitForChallenge();
    this.hello = this.handshake.answerChallenge(this.frames[0]!);
    this.socket.send(this.hello);
    await until(() => this.frames.length > 1);
  }
}

const LEAVING = {type: 'leaving'} as const;
const NESTED = Buffer.alloc(100_000, 0x91);

const call = (bytes: number) =>
  ({
    type: 'call',
    ...{callId: 'c', attempt: 1, service: 's', organisation: 'o', weight: 1},
    ...{priority: 'normal', idempotent: true, remainingMs: 1, method: 'GET'},
    ...{path: '/', headers: {}, body: new Uint8Array(bytes), credit: 1},
  }) as unknown as LinkMessage;

describe('links', () => {
  let here: Endpoint;
  let good: Endpoint;
  let goodLink: Link;
  let listening: LinkServer;
  let raws: RawPeer[];

  const connectRaw = () => {
    const peer = new RawPeer(listening.address);
    raws.push(peer);
    return peer;
  };

  beforeEach(async () => {
    vi.useFakeTimers({toFake: ['setInterval', 'clearInterval']});
    [here, good, raws] = [new Endpoint('here'), new Endpoint('good'), []];
    listening = await acceptLinks('127.0.0.1', 0, () => here.context, here);
    goodLink = dial(listening.address, good.context, good);
    await until(() => here.links.length === 1 && good.links.length === 1);
  });

  afterEach(async () => {
    goodLink.closeGracefully();
    raws.forEach(({socket}) => socket.terminate());
    await listening.close();
    vi.useRealTimers();
  });

  const expectGoodLinkToServe = async () => {
    const before = here.messages.length;
    expect(goodLink.send(LEAVING)).toBe(true);
    await until(() => here.messages.length > before);
    expect(good.reasons).toEqual([]);
  };

  const expectClosed = async (
    peer: RawPeer,
    counter: string,
    reason: string,
  ) => {
    await until(() => peer.isClosed);
    await until(async () => (await here.count(counter, reason)) > 0);
    expect(here.reasons).toEqual([reason]);
    expect(await here.count('closed_links', reason)).toBe(1);
    await expectGoodLinkToServe();
  };

  describe('an unauthenticated peer', () => {
    it.each<[string, string, (peer: RawPeer) => Uint8Array | string]>([
      ['bytes that are no MessagePack', 'bad_frame', () => Buffer.from([0xc1])],
      ['an empty frame', 'bad_frame', () => Buffer.alloc(0)],
      ['text', 'bad_frame', () => 'hello'],
      ['excessive nesting', 'bad_frame', () => NESTED],
      [
        'an array header without items',
        'bad_frame',
        () => Buffer.from([0xdd, 1, 255, 255, 255]),
      ],
      ['a message before the hello', 'bad_frame', () => encode(LEAVING)],
      ['an unknown message', 'bad_frame', () => encode({type: 'what'})],
      ['an echoed challenge', 'bad_frame', peer => peer.frames[0]!],
      [
        'a hello without a MAC',
        'bad_frame',
        () =>
          encode({
            type: 'hello',
            identity: identityOf('raw'),
            nonce: new Uint8Array(16),
            mac: new Uint8Array(0),
          }),
      ],
      [
        'a hello with a wrong MAC',
        'link_refused',
        () =>
          encode({
            type: 'hello',
            identity: identityOf('raw'),
            nonce: new Uint8Array(16),
            mac: new Uint8Array(32),
          }),
      ],
      [
        'a hello signed with another key',
        'link_refused',
        peer =>
          new Handshake('another key', identityOf('raw')).answerChallenge(
            peer.frames[0]!,
          ),
      ],
    ])('is closed for %s', async (_, reason, frame) => {
      const peer = connectRaw();
      await peer.waitForChallenge();
      peer.socket.send(frame(peer));
      await expectClosed(peer, 'dropped_frames', reason);
    });

    it('is closed for an oversized handshake frame before it ends', async () => {
      const peer = connectRaw();
      await peer.waitForChallenge();
      peer.socket.send(Buffer.alloc(200 * 2 ** 10), {fin: false});
      await expectClosed(peer, 'dropped_frames', 'bad_frame');
    });

    // Each read was an object until the frame was complete, up to 131,072 of them for
    // each of 256 peers (Fault).
    it('is closed for a handshake frame that arrives byte by byte', async () => {
      const peer = connectRaw();
      await peer.waitForChallenge();
      let written = 0;
      peer.write(Buffer.from([0x82, 0xfe, 0x7f, 0xff, 0, 0, 0, 0]));
      for (; !peer.isClosed && written < 10 * MAX_HANDSHAKE_READS; written++) {
        peer.write(Buffer.from('x'));
        await setTimeout(1);
      }
      expect(written).toBeLessThan(10 * MAX_HANDSHAKE_READS);
      await expectClosed(peer, 'dropped_frames', 'bad_frame');
    });

    it('is closed for a replayed hello of an earlier link', async () => {
      const first = connectRaw();
      await first.completeHandshake();
      const second = connectRaw();
      await second.waitForChallenge();
      second.socket.send(first.hello);
      await expectClosed(second, 'dropped_frames', 'link_refused');
    });

    it('is closed for a hello with a forged identity', async () => {
      const peer = connectRaw();
      await peer.waitForChallenge();
      const hello = new Handshake(KEY, identityOf('raw')).answerChallenge(
        peer.frames[0]!,
      );
      const forged = Buffer.from(hello);
      forged.write('war', forged.indexOf('raw'));
      peer.socket.send(forged);
      await expectClosed(peer, 'dropped_frames', 'link_refused');
    });

    it('is closed after the handshake timeout', async () => {
      const peer = connectRaw();
      await peer.waitForChallenge();
      // Traffic keeps the good link alive at the later time.
      advanceTime(here, 2_900);
      await expectGoodLinkToServe();
      expect(peer.isClosed).toBe(false);
      advanceTime(here, 200);
      await until(() => peer.isClosed);
      expect(here.reasons).toEqual(['link_silent']);
    });

    it('is rejected when too many others are unauthenticated', async () => {
      for (let i = 0; i < MAX_UNAUTHENTICATED_LINKS; i++) connectRaw();
      await Promise.all(raws.map(peer => peer.waitForChallenge()));
      const late = connectRaw();
      await until(() => late.isClosed);
      expect(await here.count('closed_links', 'overloaded')).toBe(1);
      await expectGoodLinkToServe();
    });
  });

  describe('an open link', () => {
    it.each<[string, string, Uint8Array | string]>([
      ['bytes that are no MessagePack', 'bad_frame', Buffer.from([0xc1])],
      ['text', 'bad_frame', 'hello'],
      ['excessive nesting', 'bad_frame', NESTED],
      ['an unknown message', 'bad_frame', encode({type: 'what'})],
      ['a second hello', 'bad_frame', encode({type: 'hello'})],
      ['an extra field', 'bad_frame', encode({...LEAVING, more: 1})],
      ['a missing field', 'bad_frame', encode({type: 'cancel', callId: 'c'})],
      [
        'a field of the wrong type',
        'bad_frame',
        encode({type: 'cancel', callId: 7, attempt: 1}),
      ],
    ])('is closed for %s', async (_, reason, frame) => {
      const peer = connectRaw();
      await peer.completeHandshake();
      peer.socket.send(frame);
      await expectClosed(peer, 'dropped_frames', reason);
    });

    it('is closed for an oversized frame', async () => {
      const peer = connectRaw();
      await peer.completeHandshake();
      peer.socket.send(Buffer.alloc(MAX_FRAME_BYTES + 1));
      await expectClosed(peer, 'closed_links', 'link_closed');
    });

    it('stays open after an error in the listener', async () => {
      here.throws = true;
      goodLink.send(LEAVING);
      await until(
        async () => (await here.count('dropped_frames', 'internal')) === 1,
      );
      here.throws = false;
      await expectGoodLinkToServe();
    });

    it('sends a heartbeat when idle', async () => {
      const peer = connectRaw();
      await peer.completeHandshake();
      advanceTime(here, 1_000);
      await until(() => peer.frames.length > 2);
      expect(peer.frames[2]).toEqual(Buffer.from(encode({type: 'heartbeat'})));
    });

    it('is closed when the peer exceeds the heartbeat timeout', async () => {
      const peer = connectRaw();
      await peer.completeHandshake();
      advanceTime(here, 2_900);
      await expectGoodLinkToServe();
      expect(peer.isClosed).toBe(false);
      advanceTime(here, 200);
      await expectClosed(peer, 'closed_links', 'link_silent');
    });

    it('delivers no frames queued during a pause of this process', async () => {
      const peer = connectRaw();
      await peer.completeHandshake();
      peer.socket.send(encode(LEAVING));
      goodLink.send(LEAVING);
      here.clock.time += 60_000;
      await until(() => peer.isClosed && good.reasons.length === 1);
      expect(here.messages).toEqual([]);
      expect(here.reasons).toEqual(['link_closed', 'link_closed']);
    });

    it('rejects calls for a peer that does not read, then closes', async () => {
      const peer = connectRaw();
      await peer.completeHandshake();
      peer.socket.pause();
      const link = here.links[1]!;
      const size = 2 ** 20;
      const buffered = () => link.buffered;
      while (link.send(call(size)));
      expect(buffered()).toBeGreaterThan(MAX_BUFFERED_BYTES_FOR_CALLS);
      expect(buffered()).toBeLessThan(MAX_BUFFERED_BYTES_FOR_CALLS + 2 * size);
      expect(here.reasons).toEqual([]);
      const body = new Uint8Array(size);
      const data = {type: 'data', callId: 'c', attempt: 1, seq: 1, body};
      let peak = 0;
      while (link.send(data as LinkMessage)) peak = Math.max(peak, buffered());
      expect(peak).toBeLessThanOrEqual(MAX_BUFFERED_BYTES);
      expect(here.reasons).toEqual(['link_overflow']);
      expect(await here.count('closed_links', 'link_overflow')).toBe(1);
      await expectGoodLinkToServe();
    });
  });

  describe('a dialled link', () => {
    it('is closed by both sides when the keys differ', async () => {
      const stranger = new Endpoint('stranger', 'some other key');
      dial(listening.address, stranger.context, stranger);
      await until(() => stranger.reasons.length === 1);
      expect(here.reasons).toEqual(['link_refused']);
      expect(stranger.links).toEqual([]);
      await expectGoodLinkToServe();
    });

    it.each<[string, (socket: Socket) => void, string]>([
      ['sends nothing', () => undefined, 'link_silent'],
      [
        'speaks another protocol',
        socket => socket.end('SSH-2.0\r\n'),
        'link_closed',
      ],
      ['hangs up', socket => socket.destroy(), 'link_closed'],
    ])('is closed when the other side %s', async (_, behave, reason) => {
      const sockets: Socket[] = [];
      const other = createServer(socket => {
        sockets.push(socket);
        socket.on('error', () => undefined);
        behave(socket);
      });
      other.listen(0, '127.0.0.1');
      await once(other, 'listening');
      const {port} = other.address() as AddressInfo;
      dial(`127.0.0.1:${port}`, good.context, good);
      if (reason === 'link_silent') {
        await until(() => sockets.length === 1);
        advanceTime(good, 2_900);
        here.links[0]!.send(LEAVING);
        await until(() => good.messages.length > 0);
        advanceTime(good, 200);
      }
      await until(() => good.reasons.length === 1);
      expect(good.reasons).toEqual([reason]);
      sockets.forEach(socket => socket.destroy());
      other.close();
    });

    it('does not open for a server without the key', async () => {
      const impostor = new WebSocketServer({host: '127.0.0.1', port: 0});
      await once(impostor, 'listening');
      const self = identityOf('impostor');
      impostor.on('connection', socket => {
        socket.send(new Handshake('no key', self).challenge());
        const mac = new Uint8Array(32);
        socket.on('message', () =>
          socket.send(encode({type: 'welcome', identity: self, mac})),
        );
      });
      const {port} = impostor.address() as AddressInfo;
      dial(`127.0.0.1:${port}`, good.context, good);
      await until(() => good.reasons.length === 1);
      expect(good.reasons).toEqual(['link_refused']);
      expect(good.links).toHaveLength(1);
      impostor.close();
    });
  });
});

/** Advances the clock in steps at which the timers of the links fire. */
function advanceTime({clock}: Endpoint, span: Millis): void {
  for (let left = span; left > 0; left -= TICK_INTERVAL) {
    clock.time += Math.min(TICK_INTERVAL, left);
    vi.advanceTimersByTime(TICK_INTERVAL);
  }
}
