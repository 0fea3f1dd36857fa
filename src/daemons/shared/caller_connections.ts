import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

import {CallerMemory} from '../../admission/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {Fault} from '../../errors/index.js';
import {CallerConnection} from './caller_connection.js';
import type {ConnectionEvents} from './connection_events.js';
import {CostlyReads} from './costly_reads.js';
import {nextRead} from './next_read.js';
import {PassCounter} from './pass_counter.js';
import type {SharedParts} from './shared_parts.js';
import {TurnScheduler} from './turn_scheduler.js';
import {unreadableReason} from './unreadable_message.js';

const CHECK_INTERVAL: Millis = SECOND / 20;
/** Requests from which on a pass of the event loop reads no further connection. */
const MAX_REQUESTS_PER_PASS = 256;
/** Time for the rest of a head that came late since this process did not read. */
const LATE_HEAD_TIME: Millis = 2 * SECOND;
/** Interval at which connections are checked for what shows in no event. */
const CONNECTION_CHECK_INTERVAL: Millis = SECOND / 10;

/** Time after which a caller that reads nothing of an ended response is cut. */
const DEFAULT_SEND_TIMEOUT: Millis = 30 * SECOND;

/** What a server for callers does on behalf of its connections. */
export interface CallerEvents extends ConnectionEvents {
  /** Returns a complete response that closes its connection. */
  formatError(fault: Fault): string;
  /**
   * Called for a message that is unreadable and has no response of its own.
   * @param fault - why it is unreadable
   * @param open - requests whose responses are still open on its connection
   */
  onUnreadable(fault: Fault, open: readonly IncomingMessage[]): void;
}

/** Connections of a server for callers, with their open responses. */
export class CallerConnections {
  private readonly connections = new Map<Duplex, CallerConnection>();
  private readonly shared: SharedParts<CallerConnection>;
  private sendTimeout: Millis = DEFAULT_SEND_TIMEOUT;
  private timer: NodeJS.Timeout | undefined;
  private isSuspended = false;
  private readonly pass = new PassCounter(MAX_REQUESTS_PER_PASS);

  /**
   * @param server - server without listeners for `clientError` and `timeout`
   * @param events - callbacks
   * @param clock - the clock
   * @param memory - memory budget of the connections
   * @param chargesBodies - whether bodies are charged to it as they are read
   */
  constructor(
    server: Server,
    private readonly events: CallerEvents,
    private readonly clock: Clock,
    readonly memory = new CallerMemory<CallerConnection>(),
    chargesBodies = false,
  ) {
    this.shared = {
      memory,
      turns: new TurnScheduler(),
      reads: new CostlyReads(),
      chargesBodies,
      enforceBudget: () => this.enforceBudget(),
    };
    server.on('connection', (socket: Socket) => this.add(socket));
    server.on('timeout', (socket: Socket) =>
      afterRead(socket, () => this.connections.get(socket)?.onTimeout()),
    );
    server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.onError(err, socket),
    );
    server.on('connect', (_req, socket) => {
      this.connections.get(socket)?.onDetached();
      this.onUnreadable(new Fault('bad_request', 'CONNECT'), socket);
    });
  }

  /** Number of responses that were not sent completely. */
  get openResponses(): number {
    let count = 0;
    for (const {open} of this.connections.values()) count += open.size;
    return count;
  }

  /**
   * Sets the time after which a connection is cut that takes no byte of a response
   * that has ended.
   * @param timeout - the time; Infinity for never
   */
  setSendTimeout(timeout: Millis): void {
    this.sendTimeout = timeout;
  }

  /**
   * Registers a request whose head was read. Its response emits `close` once it
   * has left the process or its caller is gone, also behind other responses.
   * @param req - the request
   * @param res - its response
   * @returns whether it is to be served; false on a connection that is closing
   */
  accept(req: IncomingMessage, res: ServerResponse): boolean {
    const connection = this.connections.get(req.socket);
    const isPassUsedUp = this.pass.record();
    const isServed = connection?.accept(req, res, this.pass.number) === true;
    if (isPassUsedUp) this.suspend();
    this.enforceBudget();
    return isServed && !req.socket.destroyed;
  }

  /**
   * Returns the time from which on the deadline of a request counts: it may have
   * waited while its connection was not read.
   * @param req - the request
   * @param now - time at which its head was read
   */
  earliestArrival({socket}: IncomingMessage, now: Millis): Millis {
    return this.connections.get(socket)?.earliestArrival(now) ?? now;
  }

  /**
   * Returns the connection of a request, as a holder of `memory`.
   * @param req - the request
   * @returns undefined once the connection has closed
   */
  holderOf({socket}: IncomingMessage): CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Returns whether no accepted request follows on the connection of a response.
   * @param res - the response
   */
  isLast(res: ServerResponse): boolean {
    return this.connections.get(res.req.socket)?.open.last === res;
  }

  /**
   * Begins a request that was accepted, in its turn if it has no body.
   * @param req - the request
   * @param res - its response
   * @param begin - called with false if the connection ends before its turn
   */
  beginInTurn(
    req: IncomingMessage,
    res: ServerResponse,
    begin: (isTurn: boolean) => void,
  ): void {
    this.connections.get(req.socket)?.open.beginInTurn(res, begin);
  }

  /**
   * Waits until a response is the first on its connection. The end of a caller that
   * left while the process was held up waits behind its request and is read first.
   * @param req - its request, which was accepted
   * @param res - the response
   * @returns whether it can be sent; false if the connection ends before
   */
  async turnOf(req: IncomingMessage, res: ServerResponse): Promise<boolean> {
    await nextRead();
    return this.queuedTurnOf(req, res);
  }

  /**
   * Waits as `turnOf` does, without a read in between: a client that half-closes its
   * connection after a request has not left yet.
   * @param req - the request, which was accepted
   * @param res - its response
   * @returns whether it can be sent; false if the connection ends before
   */
  async queuedTurnOf(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<boolean> {
    const connection = this.connections.get(req.socket);
    return (await connection?.open.turnOf(res)) === true;
  }

  /**
   * Releases a connection that leaves HTTP; its bytes are for the new protocol.
   * @param socket - the connection
   */
  release(socket: Socket): void {
    this.connections.get(socket)?.release();
    this.connections.delete(socket);
  }

  /** Closes connections without a request or an unsent response. */
  closeIdle(): void {
    for (const connection of this.connections.values())
      connection.closeIfIdle();
  }

  /** Closes all connections at once, also those that a CONNECT has detached. */
  destroyAll(): void {
    for (const socket of this.connections.keys()) socket.destroy();
  }

  /**
   * Waits until all responses were sent.
   * @param timeout - maximum time to wait
   */
  async flush(timeout: Millis): Promise<void> {
    for (let waited = 0; waited < timeout; waited += CHECK_INTERVAL) {
      if (this.openResponses === 0) return;
      await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL));
    }
  }

  /** Cuts the responses that were not sent completely, as the process ends. */
  cutOpen(): void {
    for (const connection of [...this.connections.values()])
      connection.cut('shutdown');
  }

  private add(socket: Socket): void {
    const connection = new CallerConnection(
      socket,
      this.shared,
      this.events,
      this.clock,
    );
    this.connections.set(socket, connection);
    if (this.isSuspended) connection.suspend();
    socket.once('close', () => this.connections.delete(socket));
    this.timer ??= setInterval(
      () => this.check(),
      CONNECTION_CHECK_INTERVAL,
    ).unref();
  }

  /** Checks all connections, for as long as there are any. */
  private check(): void {
    const now = this.clock.now();
    for (const connection of this.connections.values())
      connection.check(now, this.sendTimeout);
    this.enforceBudget();
    this.memory.resumePaused();
    if (this.connections.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /**
   * Reads nothing until the next pass of the event loop: Node keeps the requests
   * of a closed connection for the rest of this one. Then those that were read least
   * recently come first.
   */
  private suspend(): void {
    if (this.isSuspended) return;
    this.isSuspended = true;
    for (const connection of this.connections.values()) connection.suspend();
    setTimeout(() => {
      this.isSuspended = false;
      // The first ones use up the next pass or the memory.
      const connections = [...this.connections.values()].sort(
        (one, other) => one.latestPass - other.latestPass,
      );
      for (const connection of connections) connection.unsuspend();
    });
  }

  /** Closes the connections that hold most until the budget is kept. */
  private enforceBudget(): void {
    let largest = this.memory.excessHolder;
    if (largest !== undefined) this.suspend();
    while (largest !== undefined) {
      largest.closeOverBudget();
      largest = this.memory.excessHolder;
    }
  }

  private onError(err: NodeJS.ErrnoException, socket: Duplex): void {
    const reason = unreadableReason(err.code);
    if (reason === undefined) socket.destroy();
    else if (reason === 'request_timeout') {
      const connection = this.connections.get(socket);
      const latest = connection?.latest;
      // After a hold-up of the process timers come before reads.
      setImmediate(() => {
        if (connection?.latest === latest)
          this.onLateHead(new Fault(reason, err.code), socket);
      });
    } else this.onUnreadable(new Fault(reason, err.code), socket);
  }

  /** Times out a head, unless its rest may wait in a connection that was not read. */
  private onLateHead(fault: Fault, socket: Duplex): void {
    const connection = this.connections.get(socket);
    if (connection?.takePaused() !== true) {
      this.onUnreadable(fault, socket);
      return;
    }
    const {latest} = connection;
    const timer = setTimeout(() => {
      if (connection.latest === latest) this.onLateHead(fault, socket);
    }, LATE_HEAD_TIME).unref();
    socket.once('close', () => clearTimeout(timer));
  }

  private onUnreadable(fault: Fault, socket: Duplex): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    const {openRequests: open} = connection;
    const action = connection.onUnreadable(fault);
    const hasNoResponse = action === 'respond' || action === 'close_after_open';
    if (hasNoResponse) this.events.onUnreadable(fault, open);
    if (action === 'respond') connection.end(this.events.formatError(fault));
  }
}

/** Handles a timeout unless bytes were waiting, for the same reason. */
function afterRead(socket: Socket, onTimeout: () => void): void {
  const {bytesRead} = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) onTimeout();
  });
}
