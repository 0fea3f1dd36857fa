import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND, headerPairs, malformedField} from '../../core/index.js';
import type {
  EdgeLimits,
  HeaderDialect,
  HeaderLines,
  RequestId,
} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import type {Containment, Logger} from '../../observability/index.js';
import {CallerConnections} from '../shared/caller_connections.js';
import {deferContinue, readBody} from '../shared/request_body.js';
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
/** Header limit of the parser; the configured limit is checked below. */
const PARSER_HEADER_BYTES = 128 * 2 ** 10;
/** Interval at which the server checks for callers that are too slow. */
const TIMEOUT_CHECK_INTERVAL: Millis = SECOND;
/** Number of open requests that the line of an unreadable one names. */
const MAX_LOGGED_IDS = 8;
/** Accept queue length; callers retry connections beyond it after a second. */
const LISTEN_BACKLOG = 1_024;

/** A request with its complete body. */
export interface BufferedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  readonly arrivedAt: Millis;
}

/** HTTP server for callers. */
export class FrontServer {
  private readonly server: Server;
  private limits = DEFAULT_LIMITS;
  private readonly connections: CallerConnections;
  private isClosing = false;

  /**
   * @param clock - the clock
   * @param dialect - header format of rejections
   * @param logger - logs failed responses
   * @param log - logs and counts rejected requests
   * @param containment - contains exceptions to their request
   * @param serve - called with each request that was read completely
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialect: HeaderDialect,
    private readonly logger: Logger,
    private readonly log: RequestLog,
    private readonly containment: Containment,
    private readonly serve: (request: BufferedRequest) => void,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL,
        noDelay: true,
        requireHostHeader: false,
      },
      (req, res) => this.accept(req, res),
    );
    this.server.maxHeadersCount = 0;
    this.server.on('checkContinue', (req, res) => {
      deferContinue(req, res);
      this.accept(req, res);
    });
    this.connections = new CallerConnections(this.server, {
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
    });
    this.setLimits(DEFAULT_LIMITS);
  }

  /** Number of requests that are being read or were not responded to completely. */
  get openRequests(): number {
    return this.connections.openResponses;
  }

  /**
   * Sets the limits of callers' requests.
   * @param limits - the limits
   */
  setLimits(limits: EdgeLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeout;
    this.server.headersTimeout = limits.headerTimeout + SECOND;
    this.server.requestTimeout = 0;
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
  }

  /** Closes connections without a request or an unsent response. */
  closeIdle(): void {
    this.connections.closeIdle();
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

  private idOf(req: IncomingMessage): RequestId | undefined {
    return this.dialect.readRequest(headerPairs(req.rawHeaders)).id;
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    if (!this.connections.accept(req, res)) return;
    const arrivedAt = this.clock.now();
    this.connections.beginInTurn(req, res, isTurn => {
      if (isTurn) void this.handleContained(req, res, arrivedAt);
      else this.recordUnserved(req, arrivedAt);
    });
  }

  /** Records a request whose connection ended before its turn. */
  private recordUnserved(req: IncomingMessage, arrivedAt: Millis): void {
    this.log.recordRejected(this.idOf(req), 'caller_gone', arrivedAt, {
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
    res.on('error', err => {
      this.logger.debug('answer_not_taken', {err: err.message});
    });
    const reply = new ResponseWriter(res, this.dialect, () =>
      this.closesAfter(res),
    );
    const headers = headerPairs(req.rawHeaders);
    const reject = (fault: Fault) => {
      const {reason, detail} = fault;
      const {id} = this.dialect.readRequest(headers);
      this.log.recordRejected(id, reason, arrivedAt, {detail});
      reply.sendError(fault);
    };
    if (headerBytes(req) > this.limits.maxHeaderBytes) {
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
    const body = await readBody(req, this.limits.maxBodyBytes);
    if (body.isErr()) {
      if (body.error.reason === 'caller_gone') res.destroy();
      else reject(body.error);
      return;
    }
    const {value} = body;
    if (!(await this.connections.turnOf(req, res))) {
      this.recordUnserved(req, arrivedAt);
      return;
    }
    this.serve({req, res, headers, body: value, arrivedAt});
  }
}

function headerBytes(req: IncomingMessage): number {
  // Each line adds a colon, a space and a line end.
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
