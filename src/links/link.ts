import type {Duplex} from 'node:stream';

import type {WebSocket} from 'ws';

import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {Fault, asFault} from '../errors/index.js';
import type {Identity} from '../membership/index.js';
import type {Metrics} from '../observability/index.js';
import {decode, encode} from './codec.js';
import {Handshake} from './handshake.js';
import {linkMessage} from './messages.js';
import type {LinkMessage} from './messages.js';

/** Largest frame that a link takes, bytes. */
export const MAX_FRAME_BYTES = 16 * 2 ** 20;
/** Most bytes that are read of a peer that has proved nothing yet. */
export const MAX_HANDSHAKE_BYTES = 128 * 2 ** 10;
/** No new call is handed to a link that has this much waiting, bytes. */
export const MAX_BUFFERED_BYTES_FOR_CALLS = 32 * 2 ** 20;
/** A link that has more than this waiting is given up, bytes. */
export const MAX_BUFFERED_BYTES = 64 * 2 ** 20;
/** A heartbeat goes out when this long nothing else did. */
const HEARTBEAT_INTERVAL: Millis = SECOND;
/** A link that is silent this long is given up. */
const HEARTBEAT_TIMEOUT: Millis = 3 * SECOND;
/** The handshake must be over by then. */
const HANDSHAKE_TIMEOUT: Millis = 3 * SECOND;

/** How often a link looks at the time. */
const TICK_INTERVAL: Millis = HEARTBEAT_INTERVAL / 2;

/** What every link of a process needs. */
export interface LinkContext {
  /** How this process introduces itself. */
  readonly self: Identity;
  /** The estate's link key. */
  readonly key: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** What the owner of a link hears of it. */
export interface LinkListener {
  /** The peer proved that it has the key. */
  open(link: Link, peer: Identity): void;
  /** A message came. */
  message(link: Link, message: LinkMessage): void;
  /** The link is closed for good, opened or not. */
  closed(link: Link, reason: Fault): void;
}

/** One authenticated connection to another process of the system. */
export class Link {
  private peer: Identity | undefined;
  private lastReceivedAt: Millis;
  private lastSentAt: Millis;
  private readonly handshake: Handshake;
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;
  /** Whether the dialling side has answered the challenge. */
  private hasAnsweredChallenge = false;

  /**
   * @param socket - the connection, dialled or accepted
   * @param side - which side this process is on
   * @param context - what every link of the process needs
   * @param listener - who hears of it
   */
  constructor(
    private readonly socket: WebSocket,
    readonly side: 'dial' | 'accept',
    private readonly context: LinkContext,
    private readonly listener: LinkListener,
  ) {
    this.lastReceivedAt = this.lastSentAt = context.clock.now();
    this.handshake = new Handshake(context.key, context.self);
    socket.binaryType = 'nodebuffer';
    socket.on('message', data => this.receive(data as Buffer));
    socket.on('error', err => this.close(asFault(err, 'link_closed')));
    socket.on('close', () => this.close(asFault('peer closed', 'link_closed')));
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL);
    if (side === 'accept') this.write(this.handshake.challenge());
  }

  /** The peer, once the link is open. */
  get remote(): Identity | undefined {
    return this.peer;
  }

  /** When the peer was last heard. */
  get lastSeenAt(): Millis {
    return this.lastReceivedAt;
  }

  /** Bytes that wait to leave. */
  get buffered(): number {
    return this.socket.bufferedAmount;
  }

  /**
   * Sends a message.
   * @param message - the message
   * @returns whether it was handed to the connection; a call is not when too
   *   much waits there, and a link that took no other message is closed
   */
  send(message: LinkMessage): boolean {
    if (this.isClosed || this.peer === undefined) return false;
    const isCongested = this.buffered > MAX_BUFFERED_BYTES_FOR_CALLS;
    if (isCongested && message.type === 'call') return false;
    return this.write(encode(message));
  }

  /**
   * Bounds what a peer can make this process hold before it has proved that
   * it has the key.
   * @param tcp - the connection below
   */
  limitHandshake(tcp: Duplex): void {
    let read = 0;
    const count = (chunk: Buffer) => {
      read += chunk.length;
      if (this.peer !== undefined) tcp.off('data', count);
      else if (read > MAX_HANDSHAKE_BYTES) {
        this.reject(new Fault('bad_frame', 'the handshake is too long'));
      }
    };
    tcp.on('data', count);
  }

  /**
   * Closes the link once all that was sent has left.
   */
  closeGracefully(): void {
    this.socket.close();
  }

  /**
   * Closes the link at once.
   * @param reason - why
   */
  close(reason: Fault): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.timer);
    this.socket.terminate();
    this.context.metrics.closedLinks.inc({reason: reason.reason});
    this.listener.closed(this, reason);
  }

  private write(frame: Uint8Array): boolean {
    if (this.socket.readyState !== this.socket.OPEN) return false;
    if (this.buffered + frame.byteLength > MAX_BUFFERED_BYTES) {
      this.close(new Fault('link_overflow'));
      return false;
    }
    this.lastSentAt = this.context.clock.now();
    this.socket.send(frame);
    return true;
  }

  private receive(frame: Uint8Array): void {
    if (this.isClosed) return;
    const now = this.context.clock.now();
    if (now - this.lastReceivedAt > HEARTBEAT_TIMEOUT) {
      // This process was paused: what waited meanwhile may be out of date.
      this.close(asFault('was paused', 'link_closed'));
      return;
    }
    this.lastReceivedAt = now;
    try {
      if (this.peer === undefined) this.negotiate(frame);
      else this.deliver(decode(linkMessage, frame));
    } catch (thrown) {
      this.reject(asFault(thrown, 'internal'));
    }
  }

  private reject(fault: Fault): void {
    this.context.metrics.droppedFrames.inc({reason: fault.reason});
    this.close(fault);
  }

  private deliver(message: LinkMessage): void {
    if (message.type === 'heartbeat') return;
    try {
      this.listener.message(this, message);
    } catch {
      // A fault of this process is no fault of the peer or its other calls.
      this.context.metrics.droppedFrames.inc({reason: 'internal'});
    }
  }

  private negotiate(frame: Uint8Array): void {
    if (this.side === 'accept') {
      const {peer, reply} = this.handshake.verifyHello(frame);
      this.write(reply);
      this.markOpen(peer);
      return;
    }
    if (this.hasAnsweredChallenge) {
      this.markOpen(this.handshake.verifyWelcome(frame));
      return;
    }
    this.hasAnsweredChallenge = true;
    this.write(this.handshake.answerChallenge(frame));
  }

  private markOpen(peer: Identity): void {
    this.peer = peer;
    this.listener.open(this, peer);
  }

  private tick(): void {
    const now = this.context.clock.now();
    const limit =
      this.peer === undefined ? HANDSHAKE_TIMEOUT : HEARTBEAT_TIMEOUT;
    if (now - this.lastReceivedAt > limit) {
      this.close(new Fault('link_silent'));
      return;
    }
    if (
      this.peer !== undefined &&
      now - this.lastSentAt >= HEARTBEAT_INTERVAL
    ) {
      this.send({type: 'heartbeat'});
    }
  }
}
