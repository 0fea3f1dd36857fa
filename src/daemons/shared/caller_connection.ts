import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import {failBody, isReadingBody} from './request_body.js';
import {abortResponse} from './response_framing.js';
import {actionAfterUnreadable} from './unreadable_message.js';
import type {UnreadableAction} from './unreadable_message.js';

/**
 * Time without bytes from the caller after which a connection that was ended is
 * closed. Closing it while the caller sends resets it, which drops the part of the
 * last response that is still in the system's buffers.
 */
const LINGER_IDLE_TIMEOUT: Millis = 2 * SECOND;
const MAX_LINGER_TIME: Millis = 30 * SECOND;

/** Why a response was cut: its caller left, or the process ends. */
export type CutReason = 'caller_gone' | 'shutdown';

/** A response that was cut before all of it was sent. */
export interface CutResponse {
  readonly req: IncomingMessage;
  readonly reason: CutReason;
  /** Bytes that have not left the process. */
  readonly unsentBytes: number;
}

/** A connection of a caller, with the responses that are open on it. */
export class CallerConnection {
  private readonly responses = new Set<ServerResponse>();
  /** Requests that wait for the responses before theirs. */
  private readonly waiting = new Map<
    ServerResponse,
    (isTurn: boolean) => void
  >();
  private latestRequest: IncomingMessage | undefined;
  /** Bytes read at the end of the latest request; undefined before it. */
  private bytesAtRequestEnd: number | undefined;
  /** Whether no further request is served. */
  private isClosing = false;
  private isLingering = false;
  private isCut = false;
  /** Whether the connection was not read for a time since `takePaused`. */
  private wasPaused = false;

  /**
   * @param socket - the connection
   * @param onCut - called for responses that are cut
   */
  constructor(
    private readonly socket: Socket,
    private readonly onCut: (cut: CutResponse) => void,
  ) {
    // Node destroys the connection after its last response.
    socket.destroySoon = () => this.end();
    // Before Node's own listener, which sends a FIN: no reset can follow it.
    socket.prependListener('end', () => this.onCallerLeft());
    socket.once('close', () => this.onClosed());
    socket.on('pause', () => (this.wasPaused = true));
  }

  /** The request whose head was read last. */
  get latest(): IncomingMessage | undefined {
    return this.latestRequest;
  }

  /**
   * Returns whether this process did not read the connection for a time since the
   * last call, as it does while its answers are not read.
   */
  takePaused(): boolean {
    const {wasPaused} = this;
    this.wasPaused = this.socket.isPaused();
    return wasPaused || this.wasPaused;
  }

  /** The responses that were not sent completely, in order. */
  get open(): readonly ServerResponse[] {
    return [...this.responses];
  }

  /**
   * Registers a request whose head was read.
   * @param req - the request
   * @param res - its response
   * @returns whether it is to be served
   */
  accept(req: IncomingMessage, res: ServerResponse): boolean {
    if (this.isClosing) {
      req.resume();
      return false;
    }
    this.latestRequest = req;
    this.responses.add(res);
    req.once('end', () => (this.bytesAtRequestEnd = this.socket.bytesRead));
    res.once('finish', () => {
      // Node also emits it for what a broken connection drops.
      const {destroyed, errored} = this.socket;
      if (destroyed || errored !== null) this.recordCut('caller_gone');
      else this.remove(res);
    });
    res.once('close', () => this.remove(res));
    return true;
  }

  /**
   * Waits until the responses before one were sent. A request that was passed on
   * earlier would be lost if one of them closes the connection.
   * @param res - the response
   * @returns whether it can be sent
   */
  async turnOf(res: ServerResponse): Promise<boolean> {
    const [first] = this.responses;
    if (first === res) return true;
    if (!this.responses.has(res)) return false;
    return new Promise(resolve => this.waiting.set(res, resolve));
  }

  /**
   * Handles a message that is unreadable.
   * @param fault - why it is unreadable
   * @returns what was decided
   */
  onUnreadable(fault: Fault): UnreadableAction {
    const {latest, open} = this;
    const isWithinBody = latest?.complete === false;
    const action = actionAfterUnreadable({
      isClosing: this.isClosing,
      isReadingBody: isWithinBody && isReadingBody(latest),
      isAnswered: isWithinBody && !isReadingBody(latest),
      openResponses: open.length,
    });
    if (action === 'ignore') return action;
    this.isClosing = true;
    const last = open.at(-1);
    if (last?.headersSent === false) last.shouldKeepAlive = false;
    if (action === 'respond_in_order' && latest !== undefined)
      failBody(latest, fault);
    if (action === 'close_after_own' && last === undefined) this.end();
    return action;
  }

  /** Takes the place of the server's parser, which a CONNECT has detached. */
  onDetached(): void {
    const {socket} = this;
    socket.on('error', () => socket.destroy());
    socket.on('drain', () => this.open[0]?.emit('drain'));
    socket.on('timeout', () => this.onTimeout());
    socket.resume();
  }

  /**
   * Ends the connection and discards what its caller still sends.
   * @param bytes - last bytes to send
   */
  end(bytes = ''): void {
    if (this.isLingering) return;
    this.isClosing = true;
    this.isLingering = true;
    const {socket} = this;
    socket.end(bytes);
    this.closeWaiting();
    socket.setTimeout(LINGER_IDLE_TIMEOUT);
    const timer = setTimeout(() => socket.destroy(), MAX_LINGER_TIME).unref();
    socket.once('close', () => clearTimeout(timer));
  }

  /** Closes the connection if no request and no response is under way. */
  closeIfIdle(): void {
    const isWithinRequest = this.socket.bytesRead !== this.bytesAtRequestEnd;
    if (isWithinRequest || this.isLingering || this.responses.size > 0) return;
    this.socket.destroy();
  }

  /** Handles a connection without traffic for the time that was set. */
  onTimeout(): void {
    if (this.responses.size === 0) this.socket.destroy();
  }

  /**
   * Cuts the responses that were not sent completely.
   * @param reason - why
   */
  cut(reason: CutReason): void {
    const [first] = this.responses;
    if (first === undefined) return;
    this.recordCut(reason);
    abortResponse(first);
  }

  /** A caller that half-closes its connection is taken to have left. */
  private onCallerLeft(): void {
    const [first] = this.responses;
    if (first === undefined) return;
    this.isClosing = true;
    if (first.writableEnded) this.closeWaiting();
    else abortResponse(first);
  }

  private onClosed(): void {
    this.recordCut('caller_gone');
    this.closeWaiting();
  }

  /** Closes responses behind the first; Node closes none that waits for its turn. */
  private closeWaiting(): void {
    for (const res of this.responses) {
      if (res.socket !== null || res.writableFinished) continue;
      res.destroy();
      res.emit('close');
    }
  }

  /** Records the complete responses that were not sent to their end. */
  private recordCut(reason: CutReason): void {
    if (this.isCut) return;
    this.isCut = true;
    for (const res of this.responses) {
      if (!res.writableEnded) continue;
      this.onCut({req: res.req, reason, unsentBytes: res.writableLength});
    }
  }

  private remove(res: ServerResponse): void {
    if (!this.responses.delete(res)) return;
    this.resolveTurn(res, false);
    const [next] = this.responses;
    if (next !== undefined) this.resolveTurn(next, true);
    else if (this.isClosing) this.end();
  }

  private resolveTurn(res: ServerResponse, isTurn: boolean): void {
    this.waiting.get(res)?.(isTurn);
    this.waiting.delete(res);
  }
}
