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

/** Largest frame that a link accepts, bytes. */
export const MAX_FRAME_BYTES = 16 * 2 ** 20;
/** Most bytes read from a peer before it is authenticated. */
export const MAX_HANDSHAKE_BYTES = 128 * 2 ** 10;
/** Most reads that these bytes come in; each is an object until its frame ends. */
export const MAX_HANDSHAKE_READS = 64;
/** Send buffer size above which a link accepts no new calls, bytes. */
export const MAX_BUFFERED_BYTES_FOR_CALLS = 32 * 2 ** 20;
/** Send buffer size above which a link is closed, bytes. */
export const MAX_BUFFERED_BYTES = 64 * 2 ** 20;
/** Idle time after which a heartbeat is sent. */
const HEARTBEAT_INTERVAL: Millis = SECOND;
/** Time without a received frame after which a link is closed. */
const HEARTBEAT_TIMEOUT: Millis = 3 * SECOND;
/** Most time without a received frame during the handshake. */
const HANDSHAKE_TIMEOUT: Millis = 3 * SECOND;

/** Interval at which a link checks its timeouts. */
const TICK_INTERVAL: Millis = HEARTBEAT_INTERVAL / 2;

/** Settings and services shared by all links of a process. */
export interface LinkContext {
  /** Identity that this process presents to its peers. */
  readonly self: Identity;
  /** Link key of the estate. */
  readonly key: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** Receives the events of a link. */
export interface LinkListener {
  /** Called when the peer is authenticated. */
  open(link: Link, peer: Identity): void;
  /** Called for each message other than a heartbeat. */
  message(link: Link, message: LinkMessage): void;
  /** Called once when the link closes, also if it never opened. */
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
   * @param side - side of this process
   * @param context - settings shared by all links of the process
   * @param listener - receives the events of the link
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

  /** Identity of the peer, once the link is open. */
  get remote(): Identity | undefined {
    return this.peer;
  }

  /** Monotonic time of the last frame from the peer, ms. */
  get lastSeenAt(): Millis {
    return this.lastReceivedAt;
  }

  /** Bytes in the send buffer. */
  get buffered(): number {
    return this.socket.bufferedAmount;
  }

  /**
   * Sends a message.
   * @param message - the message
   * @returns whether it was buffered for sending; a call is rejected while the
   *   send buffer is too full, any other message that does not fit closes the
   *   link
   */
  send(message: LinkMessage): boolean {
    if (this.isClosed || this.peer === undefined) return false;
    const isCongested = this.buffered > MAX_BUFFERED_BYTES_FOR_CALLS;
    if (isCongested && message.type === 'call') return false;
    return this.write(encode(message));
  }

  /**
   * Bounds the bytes, and the parts of them, that an unauthenticated peer can make this
   * process buffer.
   * @param tcp - the underlying connection
   */
  limitHandshake(tcp: Duplex): void {
    let bytes = 0;
    let reads = 0;
    const count = (chunk: Buffer) => {
      bytes += chunk.length;
      reads += 1;
      if (this.peer !== undefined) tcp.off('data', count);
      else if (bytes > MAX_HANDSHAKE_BYTES) {
        this.reject(new Fault('bad_frame', 'the handshake is too long'));
      } else if (reads > MAX_HANDSHAKE_READS) {
        this.reject(new Fault('bad_frame', 'the handshake has too many parts'));
      }
    };
    tcp.on('data', count);
  }

  /** Closes the link once the send buffer is flushed. */
  closeGracefully(): void {
    this.socket.close();
  }

  /**
   * Closes the link at once.
   * @param reason - cause, passed to the listener
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
      // This process was paused: the queued frames may be outdated.
      this.close(asFault('this process was paused', 'link_closed'));
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
      // A local error must not close the link: the peer's calls are unaffected.
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
