import type {WebSocket} from 'ws';

import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {Fault} from '../errors/index.js';
import {asFault} from '../errors/index.js';
import type {Identity} from '../membership/index.js';
import type {Metrics} from '../observability/index.js';
import {decode, encode} from './codec.js';
import {Handshake} from './handshake.js';
import {linkMessage} from './messages.js';
import type {LinkMessage} from './messages.js';

/** Largest frame that a link takes, bytes. */
export const MAX_FRAME = 16 * 2 ** 20;
/** A heartbeat goes out when this long nothing else did. */
const HEARTBEAT_EVERY: Millis = SECOND;
/** A link that is silent this long is given up. */
const SILENT_AFTER: Millis = 3 * SECOND;
/** The handshake must be over by then. */
const HANDSHAKE_WITHIN: Millis = 3 * SECOND;

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
  private heardAt: Millis;
  private sentAt: Millis;
  private readonly handshake: Handshake;
  private readonly timer: NodeJS.Timeout;
  private isClosed = false;
  /** Whether the dialling side has answered the challenge. */
  private answered = false;

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
    this.heardAt = this.sentAt = context.clock.now();
    this.handshake = new Handshake(context.key, context.self);
    socket.binaryType = 'nodebuffer';
    socket.on('message', data => this.receive(data as Buffer));
    socket.on('error', err => this.close(asFault(err, 'link_closed')));
    socket.on('close', () => this.close(asFault('peer closed', 'link_closed')));
    this.timer = setInterval(() => this.tick(), HEARTBEAT_EVERY / 2);
    if (side === 'accept') this.write(this.handshake.challenge());
  }

  /** The peer, once the link is open. */
  get remote(): Identity | undefined {
    return this.peer;
  }

  /** When the peer was last heard. */
  get lastHeard(): Millis {
    return this.heardAt;
  }

  /** Bytes that wait to leave. */
  get buffered(): number {
    return this.socket.bufferedAmount;
  }

  /**
   * Sends a message.
   * @param message - the message
   * @returns whether it was handed to the connection
   */
  send(message: LinkMessage): boolean {
    if (this.isClosed || this.peer === undefined) return false;
    return this.write(encode(message));
  }

  /**
   * Closes the link once all that was sent has left.
   */
  finish(): void {
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
    this.sentAt = this.context.clock.now();
    this.socket.send(frame);
    return true;
  }

  private receive(frame: Uint8Array): void {
    if (this.isClosed) return;
    const now = this.context.clock.now();
    if (now - this.heardAt > SILENT_AFTER) {
      // This process was paused: what waited meanwhile may be out of date.
      this.close(asFault('was paused', 'link_closed'));
      return;
    }
    this.heardAt = now;
    try {
      if (this.peer === undefined) this.negotiate(frame);
      else this.deliver(decode(linkMessage, frame));
    } catch (thrown) {
      const fault = asFault(thrown, 'internal');
      this.context.metrics.droppedFrames.inc({reason: fault.reason});
      this.close(fault);
    }
  }

  private deliver(message: LinkMessage): void {
    if (message.type === 'heartbeat') return;
    this.listener.message(this, message);
  }

  private negotiate(frame: Uint8Array): void {
    if (this.side === 'accept') {
      const {peer, reply} = this.handshake.admit(frame);
      this.write(reply);
      this.opened(peer);
      return;
    }
    if (this.answered) {
      this.opened(this.handshake.confirm(frame));
      return;
    }
    this.answered = true;
    this.write(this.handshake.answer(frame));
  }

  private opened(peer: Identity): void {
    this.peer = peer;
    this.listener.open(this, peer);
  }

  private tick(): void {
    const now = this.context.clock.now();
    const limit = this.peer === undefined ? HANDSHAKE_WITHIN : SILENT_AFTER;
    if (now - this.heardAt > limit) {
      this.close(asFault('peer is silent', 'link_closed'));
      return;
    }
    if (this.peer !== undefined && now - this.sentAt >= HEARTBEAT_EVERY) {
      this.send({type: 'heartbeat'});
    }
  }
}
