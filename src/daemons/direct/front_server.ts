import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {Result} from 'neverthrow';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND, headerPairs, malformedField} from '../../core/index.js';
import type {
  EdgeLimits,
  HeaderDialect,
  HeaderLines,
  RequestId,
  RequestMetadata,
} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import type {Containment, Fields, Logger} from '../../observability/index.js';
import type {CallerConnection} from '../shared/caller_connection.js';
import {CallerConnections} from '../shared/caller_connections.js';
import type {CallerEvents} from '../shared/caller_connections.js';
import {BodyReader, isBodyRejection} from '../shared/body_reader.js';
import type {BufferedBody} from '../shared/buffered_body.js';
import {
  declaredLength,
  deferContinue,
  failBody,
} from '../shared/request_body.js';
import type {HeadRejection} from './head_decision.js';
import {splitAddress} from './attempt.js';
import type {RequestLog} from './request_log.js';
import {ResponseWriter, formatError} from './response_writer.js';

/** Limits until the first configuration. */
const DEFAULT_LIMITS: EdgeLimits = {
  maxHeaderBytes: 16 * 2 ** 10,
  maxBodyBytes: 2 ** 20,
  headerTimeout: 3 * SECOND,
  idleTimeout: 15 * SECOND,
};
/**
 * Bytes by which the parser's limit exceeds the configured one, for the address of a
 * request, which does not count as its header. The limit itself is checked below.
 */
const MAX_URL_BYTES = 16 * 2 ** 10;
/** Fewest bytes that a header line counts: a name of one byte and separators. */
const MIN_LINE_BYTES = 5;
/** Interval at which the server checks for callers that are too slow. */
const TIMEOUT_CHECK_INTERVAL: Millis = SECOND;
/** Number of open requests that the line of an unreadable one names. */
const MAX_LOGGED_IDS = 8;
/** Delay after which the caller of a body that was rejected is to retry. */
const BODY_RETRY_AFTER: Millis = SECOND / 2;
/** Rest of a rejected body behind which the next request is read, bytes. */
const MAX_DISCARDED_BYTES = 64 * 2 ** 10;
/**
 * Shortest time after which a caller is cut that takes no byte of its response.
 * The system reports room for further bytes in steps of up to a third of its send
 * buffer, 1.4 MB, which a caller that reads 24 KB a second takes in a minute.
 */
const MIN_SEND_TIMEOUT: Millis = 60 * SECOND;
/** Accept queue length; callers retry connections beyond it after a second. */
const LISTEN_BACKLOG = 1_024;

/** A request with its complete body. */
export interface BufferedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly headers: HeaderLines;
  /** Released at the end of the response, or earlier. */
  readonly body: BufferedBody;
  readonly arrivedAt: Millis;
}

/** Receives the requests of callers. */
export interface RequestReceiver {
  /**
   * Decides by its head whether a request is served. It is asked before a body
   * is read; the decision after the body is the receiver's.
   */
  decideOnHead(
    req: IncomingMessage,
    metadata: RequestMetadata,
  ): Result<unknown, HeadRejection>;
  /** Returns since when a request may have waited whose head is read now. */
  earliestArrival(now: Millis): Millis;
  /** Called with each request that was read completely. */
  serve(request: BufferedRequest): void;
}

/** HTTP server for callers. */
export class FrontServer {
  private readonly server: Server;
  private limits = DEFAULT_LIMITS;
  private readonly connections: CallerConnections;
  private readonly bodies: BodyReader<CallerConnection>;
  /** Header limit of each connection's parser, which does not change. */
  private readonly headerLimits = new WeakMap<Socket, number>();
  private isClosing = false;
  private isEnding = false;

  /**
   * @param clock - the clock
   * @param dialect - header format of rejections
   * @param logger - logs failed responses
   * @param log - logs and counts rejected requests
   * @param containment - contains exceptions to their request
   * @param receiver - receives the requests
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialect: HeaderDialect,
    private readonly logger: Logger,
    private readonly log: RequestLog,
    private readonly containment: Containment,
    private readonly receiver: RequestReceiver,
  ) {
    this.server = createServer(
      {
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL,
        noDelay: true,
        requireHostHeader: false,
      },
      (req, res) => this.accept(req, res),
    );
    this.server.on('connection', socket =>
      this.headerLimits.set(socket, this.limits.maxHeaderBytes),
    );
    // Node would send 417 by itself, in no budget.
    this.server.on('checkExpectation', (req, res) => this.accept(req, res));
    this.server.on('checkContinue', (req, res) => {
      deferContinue(req, res);
      this.accept(req, res);
    });
    const events: CallerEvents = {
      formatError,
      onUnreadable: ({reason, detail}, open) => {
        const ids = open.slice(0, MAX_LOGGED_IDS).map(req => this.idOf(req));
        const fields = {detail, open: open.length, open_ids: ids.join(',')};
        log.recordRejected(undefined, reason, clock.now(), fields);
      },
      onCut: ({req, reason, unsentBytes}) =>
        log.recordCut(this.idOf(req), reason, unsentBytes),
      onOverBudget: ({heldBytes, open}) => {
        const ids = open.slice(0, MAX_LOGGED_IDS).map(req => this.idOf(req));
        log.recordOverBudget(heldBytes, open.length, ids.join(','));
      },
      onThrottled: req => log.recordThrottled(this.idOf(req)),
    };
    this.connections = new CallerConnections(this.server, events, clock);
    this.bodies = new BodyReader(clock, this.connections.memory);
    this.setLimits(DEFAULT_LIMITS);
  }

  /** Number of requests that are being read or were not responded to completely. */
  get openRequests(): number {
    return this.connections.openResponses;
  }

  /** Memory that callers' bodies hold, as fields of `/status`. */
  get bodyStatus(): object {
    return this.bodies.fields;
  }

  /**
   * Sets the limits of callers' requests.
   * @param limits - the limits
   */
  setLimits(limits: EdgeLimits): void {
    this.limits = limits;
    limitHeads(this.server, limits.maxHeaderBytes);
    this.server.keepAliveTimeout = limits.idleTimeout;
    this.server.headersTimeout = limits.headerTimeout + SECOND;
    this.server.requestTimeout = 0;
    this.updateSendTimeout();
  }

  /**
   * Starts listening.
   * @param address - `host:port`
   */
  async listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    this.server.listen({port, host, backlog: LISTEN_BACKLOG});
    await once(this.server, 'listening');
  }

  /** Closes connections after the responses that are open on them. */
  closeAfterResponses(): void {
    this.isClosing = true;
    this.updateSendTimeout();
  }

  /** Closes connections without a request or an unsent response. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /** Marks that what has no response yet gets none, as the process ends. */
  markEnding(): void {
    this.isEnding = true;
  }

  /** Cuts the responses that were not sent completely. */
  cutOpen(): void {
    this.connections.cutOpen();
  }

  /**
   * Returns whether the connection of a response closes after it, since this
   * process stops. Requests that were read behind it are answered before.
   * @param res - the response
   */
  closesAfter(res: ServerResponse): boolean {
    return this.isClosing && this.connections.isLast(res);
  }

  /** A drain has a bound of its own on slow readers, the grace period. */
  private updateSendTimeout(): void {
    const timeout = Math.max(this.limits.idleTimeout, MIN_SEND_TIMEOUT);
    this.connections.setSendTimeout(this.isClosing ? Infinity : timeout);
  }

  private idOf(req: IncomingMessage): RequestId | undefined {
    return this.dialect.readRequest(headerPairs(req.rawHeaders)).id;
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    if (!this.connections.accept(req, res)) return;
    const now = this.receiver.earliestArrival(this.clock.now());
    const arrivedAt = this.connections.earliestArrival(req, now);
    this.connections.beginInTurn(req, res, isTurn => {
      if (isTurn) void this.handleContained(req, res, arrivedAt);
      else this.recordUnserved(req, arrivedAt);
    });
  }

  /** Records a request whose connection ended before its turn. */
  private recordUnserved(req: IncomingMessage, arrivedAt: Millis): void {
    const reason = this.isEnding ? 'draining' : 'caller_gone';
    this.log.recordRejected(this.idOf(req), reason, arrivedAt, {
      detail: 'the connection ended with an earlier response',
    });
  }

  private async handleContained(
    req: IncomingMessage,
    res: ServerResponse,
    arrivedAt: Millis,
  ): Promise<void> {
    await this.containment.runAsync(
      'request',
      {url: req.url},
      () => this.handle(req, res, arrivedAt),
      () => {
        // Exchanges contain their own exceptions, so nothing was sent yet.
        const reply = new ResponseWriter(res, this.dialect, () => true);
        reply.sendError(new Fault('internal_not_run'), SECOND);
      },
    );
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
    arrivedAt: Millis,
  ): Promise<void> {
    const holder = this.connections.holderOf(req);
    if (holder === undefined) return;
    res.on('error', err => {
      this.logger.debug('answer_not_taken', {err: err.message});
    });
    const reply = new ResponseWriter(res, this.dialect, () =>
      this.closesAfter(res),
    );
    const headers = headerPairs(req.rawHeaders);
    const metadata = this.dialect.readRequest(headers);
    const {id} = metadata;
    const reject = (
      fault: Fault,
      retryAfter = BODY_RETRY_AFTER,
      further: Fields = {},
    ) => {
      const {reason, detail} = fault;
      const fields = isBodyRejection(reason) ? this.bodies.fields : {};
      this.log.recordRejected(id, reason, arrivedAt, {
        detail,
        ...fields,
        ...further,
      });
      // The rest of a large body is discarded only for a time.
      if (!hasBoundedRest(req, reason)) res.shouldKeepAlive = false;
      reply.sendError(fault, retryAfter);
    };
    const {maxHeaderBytes} = this.limits;
    const parserLimit = this.headerLimits.get(req.socket) ?? maxHeaderBytes;
    // A new connection takes heads up to a limit that was raised.
    if (parserLimit < maxHeaderBytes) res.shouldKeepAlive = false;
    if (headerBytes(req) > Math.min(parserLimit, maxHeaderBytes)) {
      reject(new Fault('headers_too_large'));
      return;
    }
    const line = malformedField(headers);
    if (line !== undefined) {
      // Whoever accepts such a line may read another framing from it.
      res.shouldKeepAlive = false;
      reject(new Fault('bad_request', `malformed header ${line}`));
      return;
    }
    const {maxBodyBytes: maxBytes, idleTimeout} = this.limits;
    const length = declaredLength(req) ?? maxBytes;
    if (length > 0 && length <= maxBytes) {
      const decision = this.receiver.decideOnHead(req, metadata);
      if (decision.isErr()) {
        const {fault, retryAfter, version} = decision.error;
        reject(fault, retryAfter, {version});
        return;
      }
    }
    const {callerTimeout} = metadata;
    const limits = {maxBytes, idleTimeout, callerTimeout};
    res.once('close', () => failBody(req, new Fault('caller_gone')));
    const body = await this.bodies.read(req, holder, limits);
    if (body.isErr()) {
      if (body.error.reason === 'caller_gone') res.destroy();
      else reject(body.error);
      return;
    }
    const {value} = body;
    res.once('close', value.release);
    if (!(await this.connections.turnOf(req, res))) {
      value.release();
      this.recordUnserved(req, arrivedAt);
      return;
    }
    this.receiver.serve({req, res, headers, body: value, arrivedAt});
  }
}

/** Whether the rest of a body is short enough to read it for the next request. */
function hasBoundedRest(req: IncomingMessage, reason: ErrorName): boolean {
  if (req.complete) return true;
  if (isBodyRejection(reason) || req.headers.expect !== undefined) return false;
  return (declaredLength(req) ?? Infinity) <= MAX_DISCARDED_BYTES;
}

/**
 * Limits the heads that a server's parsers read. Lines beyond the count are dropped;
 * a head with so many exceeds the limit, and is rejected.
 */
function limitHeads(
  server: Server & {maxHeaderSize?: number},
  maxHeaderBytes: number,
): void {
  server.maxHeaderSize = maxHeaderBytes + MAX_URL_BYTES;
  server.maxHeadersCount = Math.floor(maxHeaderBytes / MIN_LINE_BYTES) + 1;
}

function headerBytes(req: IncomingMessage): number {
  // Each line adds a colon, a space and a line end.
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
