import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {CallerMemory} from '../../admission/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {ConnectionEvents, CutReason} from './connection_events.js';
import {HeadMeter, headBytes} from './head_meter.js';
import {ReadGate} from './read_gate.js';
import {failBody, hasBody, isReadingBody} from './request_body.js';
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

/** Open requests from which on a connection is not read, even for its end. */
const MAX_OPEN_REQUESTS = 1_024;
/** Discarded requests from which on an ended connection is not read further. */
const MAX_DISCARDED_REQUESTS = 16;
/**
 * Charge of a request beside the bytes of its head: its objects, 3 to 8 KB, and
 * the room that the garbage collector needs to move them.
 */
const REQUEST_BYTES = 12 * 2 ** 10;

/** A connection of a caller, with the responses that are open on it. */
export class CallerConnection {
  /** Open responses, with the memory that their requests were charged. */
  private readonly responses = new Map<ServerResponse, number>();
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
  private isDetached = false;
  private isSuspended = false;
  /** Number of requests that came too late to be served. */
  private discarded = 0;
  private readonly gate: ReadGate;
  private readonly heads: HeadMeter;
  /** Memory that the head being read was charged. */
  private headCharge = 0;
  /** Whether the connection was not read for a time since `takePaused`. */
  private wasPaused = false;

  /**
   * @param socket - the connection
   * @param memory - memory budget of all connections
   * @param events - callbacks
   * @param clock - the clock
   */
  constructor(
    private readonly socket: Socket,
    private readonly memory: CallerMemory<CallerConnection>,
    private readonly events: ConnectionEvents,
    clock: Clock,
  ) {
    this.gate = new ReadGate(socket, clock);
    this.heads = new HeadMeter(socket);
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
    return [...this.responses.keys()];
  }

  /**
   * Registers a request whose head was read.
   * @param req - the request
   * @param res - its response
   * @returns whether it is to be served
   */
  accept(req: IncomingMessage, res: ServerResponse): boolean {
    const head = headBytes(req);
    const charge = REQUEST_BYTES + head;
    if (this.isClosing) {
      this.discard(req, charge);
      return false;
    }
    this.heads.recordRequest(req, head);
    this.latestRequest = req;
    this.responses.set(res, charge);
    this.addBytes(charge);
    req.once('end', () => this.onRequestEnd(req));
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
    if (res.destroyed || !this.responses.has(res)) return false;
    if (this.first === res) return true;
    return new Promise(resolve => this.waiting.set(res, resolve));
  }

  /**
   * Begins a request, in its turn if it has no body: until then a request that
   * waits behind thousands holds and costs little.
   * @param res - its response
   * @param begin - called with false if the connection ends before its turn
   */
  beginInTurn(res: ServerResponse, begin: (isTurn: boolean) => void): void {
    if (hasBody(res.req) || this.first === res) begin(true);
    else this.waiting.set(res, begin);
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
    this.isDetached = true;
    this.gate.open();
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
    // A timer would hold a closed connection with all that it has read.
    if (this.isLingering || this.socket.destroyed) return;
    this.isClosing = true;
    this.isLingering = true;
    this.updateReading();
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
    // Closing it with unread bytes resets it, which drops the last response.
    const isUnread = this.isLingering && this.gate.isClosed;
    if (this.responses.size === 0 && !isUnread) this.socket.destroy();
  }

  private addBytes(bytes: number): void {
    if (this.isClosing) return;
    this.memory.add(this, bytes);
    this.updateReading();
  }

  private removeBytes(bytes: number): void {
    this.memory.remove(this, bytes);
  }

  /** Charges the head that is being read, whose size shows in no event. */
  check(): void {
    if (!this.isClosing) this.chargeHead();
    this.gate.checkBacklog();
  }

  /**
   * Returns since when a request may have waited in the system's buffers, while
   * this process did not read the connection.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    return this.gate.earliestArrival(now);
  }

  /** Stops reading, whatever the connection holds, until `unsuspend`. */
  suspend(): void {
    this.isSuspended = true;
    this.updateReading();
  }

  /** Reads on, as far as the connection may. */
  unsuspend(): void {
    this.isSuspended = false;
    this.updateReading();
  }

  /** Closes the connection, and releases all that it holds at once. */
  closeOverBudget(): void {
    const open = this.open.map(({req}) => req);
    this.events.onOverBudget({heldBytes: this.memory.heldBy(this), open});
    this.isClosing = true;
    this.isCut = true;
    // Those that hold nothing are not told: there may be thousands.
    const waiting = [...this.waiting].filter(([res]) => hasBody(res.req));
    this.waiting.clear();
    for (const [, resolve] of waiting) resolve(false);
    this.memory.removeHolder(this);
    // The system resets no connection that is being shut down.
    if (this.isLingering) this.socket.destroy();
    else this.socket.resetAndDestroy();
    this.closeWaiting();
  }

  /**
   * Cuts the responses that were not sent completely.
   * @param reason - why
   */
  cut(reason: CutReason): void {
    const {first} = this;
    if (first === undefined) return;
    this.recordCut(reason);
    abortResponse(first);
  }

  /** A caller that half-closes its connection is taken to have left. */
  private onCallerLeft(): void {
    const {first} = this;
    if (first === undefined) return;
    this.isClosing = true;
    if (first.writableEnded) this.closeWaiting();
    else abortResponse(first);
  }

  private onClosed(): void {
    this.recordCut('caller_gone');
    this.isClosing = true;
    this.closeWaiting();
    this.memory.removeHolder(this);
  }

  private get first(): ServerResponse | undefined {
    const [first] = this.responses.keys();
    return first;
  }

  /** Whether reading is to wait, so that no more requests are parsed. */
  private get mustWait(): boolean {
    if (this.isDetached) return false;
    if (this.isSuspended) return true;
    if (this.isLingering) return this.discarded >= MAX_DISCARDED_REQUESTS;
    const {latest} = this;
    // The memory of a body is reserved before it is read.
    if (latest?.complete === false && hasBody(latest)) return false;
    const {size} = this.responses;
    if (size >= MAX_OPEN_REQUESTS) return true;
    if (this.memory.mayRead(this)) return false;
    // A caller with one whole request is read on: it may leave.
    return size !== 1 || latest?.complete !== true;
  }

  private updateReading(): void {
    if (!this.mustWait) {
      this.memory.unpause(this);
      this.gate.open();
      return;
    }
    this.gate.close();
    if (!this.memory.mayRead(this))
      this.memory.pause(this, () => this.updateReading());
  }

  private chargeHead(): void {
    const {headCharge} = this;
    const bytes = this.heads.unfinishedBytes;
    this.headCharge = bytes;
    if (bytes > headCharge) this.addBytes(bytes - headCharge);
    else if (bytes < headCharge) this.removeBytes(headCharge - bytes);
  }

  private onRequestEnd(req: IncomingMessage): void {
    this.bytesAtRequestEnd = this.socket.bytesRead;
    this.heads.recordEnd(req);
    this.updateReading();
  }

  /**
   * Discards a request that is not served. Node keeps it until the connection
   * ends, so a caller that goes on sending is not read.
   */
  private discard(req: IncomingMessage, bytes: number): void {
    if (this.socket.destroyed) return;
    req.resume();
    this.memory.add(this, bytes);
    this.discarded += 1;
    if (this.discarded >= MAX_DISCARDED_REQUESTS) this.gate.close();
  }

  /** Closes responses behind the first; Node closes none that waits for its turn. */
  private closeWaiting(): void {
    for (const res of this.responses.keys()) {
      if (res.socket !== null || res.writableFinished) continue;
      res.destroy();
      res.emit('close');
    }
  }

  /** Records the complete responses that were not sent to their end. */
  private recordCut(reason: CutReason): void {
    if (this.isCut) return;
    this.isCut = true;
    for (const res of this.responses.keys()) {
      if (!res.writableEnded) continue;
      this.events.onCut({
        req: res.req,
        reason,
        unsentBytes: res.writableLength,
      });
    }
  }

  private remove(res: ServerResponse): void {
    const charge = this.responses.get(res);
    if (charge === undefined) return;
    this.responses.delete(res);
    // Node keeps what an ended connection has read.
    if (!this.isLingering) this.removeBytes(charge);
    if (this.gate.isClosed) this.updateReading();
    this.resolveTurn(res, false);
    const {first: next} = this;
    if (next !== undefined) this.resolveTurn(next, true);
    else if (this.isClosing) this.end();
  }

  private resolveTurn(res: ServerResponse, isTurn: boolean): void {
    this.waiting.get(res)?.(isTurn);
    this.waiting.delete(res);
  }
}
