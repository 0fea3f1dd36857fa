import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import {ChunkCollector} from './chunk_collector.js';
import type {ConnectionEvents, CutReason} from './connection_events.js';
import {ConnectionCharges} from './connection_charges.js';
import {HeadMeter, headBytes} from './head_meter.js';
import {ReadControl} from './read_control.js';
import {hasDiscardedMost} from './read_decision.js';
import type {ConnectionProgress} from './read_decision.js';
import {failBody, hasBody, isReadingBody} from './request_body.js';
import {abortResponse} from './response_framing.js';
import {ResponseQueue} from './response_queue.js';
import {SendStall} from './send_stall.js';
import {discardInput, isResetByPeer, pendingBytes} from './socket_handle.js';
import type {SharedParts} from './shared_parts.js';
import {actionAfterUnreadable} from './unreadable_message.js';
import type {UnreadableAction} from './unreadable_message.js';

/**
 * Time without bytes from the caller after which a connection that was ended is
 * closed. Closing it while the caller sends resets it, which drops the part of the
 * last response that is still in the system's buffers.
 */
const LINGER_IDLE_TIMEOUT: Millis = 2 * SECOND;
const MAX_LINGER_TIME: Millis = 30 * SECOND;

/**
 * Charge of a request beside the bytes of its head: its objects, 3 to 8 KB, and
 * the room that the garbage collector needs to move them.
 */
const REQUEST_BYTES = 12 * 2 ** 10;

/** A connection of a caller, with the responses that are open on it. */
export class CallerConnection {
  private readonly responses: ResponseQueue;
  private latestRequest: IncomingMessage | undefined;
  /** Bytes read at the end of the latest request; undefined before it. */
  private bytesAtRequestEnd: number | undefined;
  /** Whether no further request is served. */
  private isClosing = false;
  private isLingering = false;
  private isCut = false;
  private isDetached = false;
  /** Number of requests that came too late to be served. */
  private discarded = 0;
  private readonly reading: ReadControl<CallerConnection>;
  private readonly heads: HeadMeter;
  private readonly stall = new SendStall();
  /** Whether the connection was not read for a time since `takePaused`. */
  private wasPaused = false;
  private readAtPass = 0;
  private readonly charges: ConnectionCharges<CallerConnection>;

  /**
   * @param socket - the connection
   * @param shared - what all connections share
   * @param events - callbacks
   * @param clock - the clock
   */
  constructor(
    private readonly socket: Socket,
    private readonly shared: SharedParts<CallerConnection>,
    private readonly events: ConnectionEvents,
    clock: Clock,
  ) {
    this.responses = new ResponseQueue(shared.turns);
    const readEvents = {
      progress: () => this.progress,
      onInputHeld: (bytes: number) => this.onInputHeld(bytes),
      onThrottled: () => this.latest && events.onThrottled(this.latest),
    };
    this.reading = new ReadControl(socket, this, shared, readEvents, clock);
    const {input} = this.reading;
    this.heads = new HeadMeter(input);
    this.charges = new ConnectionCharges(shared.memory, this, this.heads);
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

  /** The pass of the event loop that has read its latest request; 0 before any. */
  get latestPass(): number {
    return this.readAtPass;
  }

  /** The responses that were not sent completely. */
  get open(): ResponseQueue {
    return this.responses;
  }

  /** The requests of these responses, in order. */
  get openRequests(): readonly IncomingMessage[] {
    return this.responses.all.map(({req}) => req);
  }

  /**
   * Registers a request whose head was read.
   * @param req - the request
   * @param res - its response
   * @param pass - number of the pass of the event loop that has read it
   * @returns whether it is to be served
   */
  accept(req: IncomingMessage, res: ServerResponse, pass: number): boolean {
    this.readAtPass = pass;
    const head = headBytes(req);
    const charge = REQUEST_BYTES + head;
    if (this.isClosing) {
      this.discard(req, charge);
      return false;
    }
    this.heads.recordRequest(req, head);
    this.latestRequest = req;
    this.reading.recordRequest();
    this.responses.add(res, charge);
    this.addBytes(charge);
    if (hasBody(req))
      new ChunkCollector(req, (...chunk) => this.onChunk(res, ...chunk));
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
   * Handles a message that is unreadable.
   * @param fault - why it is unreadable
   * @returns what was decided
   */
  onUnreadable(fault: Fault): UnreadableAction {
    const {latest} = this;
    const {last, size} = this.responses;
    const isWithinBody = latest?.complete === false;
    const action = actionAfterUnreadable({
      isClosing: this.isClosing,
      isReadingBody: isWithinBody && isReadingBody(latest),
      isAnswered: isWithinBody && !isReadingBody(latest),
      openResponses: size,
    });
    if (action === 'ignore') return action;
    this.isClosing = true;
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
    this.reading.open();
    socket.on('error', () => socket.destroy());
    socket.on('drain', () => this.responses.first?.emit('drain'));
    socket.on('timeout', () => this.onTimeout());
    socket.resume();
  }

  /** Gives the connection back as Node has created it, to be read at once. */
  release(): void {
    this.isClosing = true;
    this.charges.release();
    this.reading.release();
    Reflect.deleteProperty(this.socket, 'destroySoon');
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
    this.reading.stopHolding();
    const {socket} = this;
    discardInput(socket);
    this.reading.update();
    socket.end(bytes);
    this.responses.closeWaiting();
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
    const isUnread = this.isLingering && this.reading.isClosed;
    if (this.responses.size === 0 && !isUnread) this.socket.destroy();
  }

  /**
   * Checks what shows in no event: the head that is being read, the reset of a
   * connection that is not read, an ended response that its caller does not read.
   * @param now - current time
   * @param sendTimeout - time after which a connection that takes no byte of an
   * ended response is cut
   */
  check(now: Millis, sendTimeout: Millis): void {
    if (!this.isClosing && this.charges.chargeHead()) this.reading.update();
    this.reading.checkBacklog();
    if (this.reading.isClosed && isResetByPeer(this.socket)) {
      this.socket.destroy();
      return;
    }
    const isEnded = this.responses.first?.writableEnded === true;
    const unsent = isEnded ? pendingBytes(this.socket) : 0;
    if (this.stall.record(now, unsent) < sendTimeout) return;
    this.recordCut('unread');
    this.socket.resetAndDestroy();
  }

  /**
   * Returns since when a request may have waited in the system's buffers, while
   * this process did not read the connection.
   * @param now - time at which its head was read
   */
  earliestArrival(now: Millis): Millis {
    return this.reading.earliestArrival(now);
  }

  /** Stops reading, whatever the connection holds, until `unsuspend`. */
  suspend(): void {
    this.reading.suspend();
  }

  /** Reads on, as far as the connection may. */
  unsuspend(): void {
    this.reading.unsuspend();
  }

  /** Closes the connection, and releases all that it holds at once. */
  closeOverBudget(): void {
    const {openRequests: open} = this;
    this.events.onOverBudget({heldBytes: this.charges.heldBytes, open});
    this.isClosing = true;
    this.isCut = true;
    this.responses.abandonWaiting();
    this.charges.release();
    // The system resets no connection that is being shut down.
    if (this.isLingering) this.socket.destroy();
    else this.socket.resetAndDestroy();
    this.responses.closeWaiting();
  }

  /**
   * Cuts the responses that were not sent completely.
   * @param reason - why
   */
  cut(reason: CutReason): void {
    const {first} = this.responses;
    if (first === undefined) return;
    this.recordCut(reason);
    abortResponse(first);
  }

  /** A caller that half-closes its connection is taken to have left. */
  private onCallerLeft(): void {
    const {first} = this.responses;
    if (first === undefined) return;
    this.isClosing = true;
    if (first.writableEnded) this.responses.closeWaiting();
    else abortResponse(first);
  }

  private onClosed(): void {
    this.recordCut('caller_gone');
    this.isClosing = true;
    this.responses.closeWaiting();
    this.reading.stopHolding();
    this.charges.release();
  }

  private onChunk(res: ServerResponse, bytes: number, isCostly: boolean): void {
    if (isCostly) this.reading.hold();
    if (!this.shared.chargesBodies) return;
    this.responses.addCharge(res, bytes);
    this.addBytes(bytes);
    this.shared.enforceBudget();
  }

  private get progress(): ConnectionProgress {
    const {latest} = this;
    const isParsing = latest?.complete === false;
    return {
      isDetached: this.isDetached,
      isLingering: this.isLingering,
      discardedRequests: this.discarded,
      isParsing,
      isReadingBody: isParsing && hasBody(latest),
      openRequests: this.responses.size,
      isLatestComplete: latest?.complete === true,
    };
  }

  private addBytes(bytes: number): void {
    if (this.isClosing) return;
    this.charges.add(bytes);
    this.reading.update();
  }

  private onInputHeld(bytes: number): void {
    if (this.charges.chargeInput(bytes)) this.reading.update();
  }

  private onRequestEnd(req: IncomingMessage): void {
    this.bytesAtRequestEnd = this.reading.input.bytesParsed;
    this.heads.recordEnd(req);
    this.reading.update();
  }

  /**
   * Discards a request that is not served. Node keeps it until the connection
   * ends, so a caller that goes on sending is not read.
   */
  private discard(req: IncomingMessage, bytes: number): void {
    if (this.socket.destroyed) return;
    req.resume();
    this.charges.add(bytes);
    this.discarded += 1;
    if (hasDiscardedMost(this.discarded)) this.reading.close();
  }

  /** Records the complete responses that were not sent to their end. */
  private recordCut(reason: CutReason): void {
    if (this.isCut) return;
    this.isCut = true;
    for (const res of this.responses.all) {
      if (!res.writableEnded) continue;
      this.events.onCut({
        req: res.req,
        reason,
        unsentBytes: res.writableLength,
      });
    }
  }

  private remove(res: ServerResponse): void {
    const charge = this.responses.remove(res);
    if (charge === undefined) return;
    // Node keeps what an ended connection has read.
    if (!this.isLingering) this.charges.remove(charge);
    if (this.reading.isClosed) this.reading.update();
    if (this.responses.size === 0) {
      if (this.isClosing) this.end();
      return;
    }
    // What the caller sent before it left may hide its end, not its reset.
    if (isResetByPeer(this.socket)) this.socket.destroy();
    else this.responses.scheduleNext();
  }
}
