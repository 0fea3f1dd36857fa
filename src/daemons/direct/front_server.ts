import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {EdgeLimits, HeaderDialect} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {deferContinue, readBody} from '../shared/request_body.js';
import {splitAddress} from './attempt.js';
import {Reply} from './reply.js';

/** Limits that stand until a configuration is known. */
const FIRST_LIMITS: EdgeLimits = {
  maxHeaderBytes: 16 * 2 ** 10,
  maxBodyBytes: 2 ** 20,
  headerTimeout: 3 * SECOND,
  idleTimeout: 15 * SECOND,
};
/** Headers beyond this are cut by the parser; the limits are checked below. */
const PARSER_HEADER_BYTES = 128 * 2 ** 10;
/** How often the server looks for callers that are too slow. */
const CHECK_EVERY: Millis = SECOND;
/** Connections that wait to be accepted; callers retry after a second. */
const BACKLOG = 1_024;

/** A request with its whole body. */
export interface ReadRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: Buffer;
  readonly arrivedAt: Millis;
  /** Must be called when its answer is over. */
  readonly ended: () => void;
}

/** The HTTP server that callers reach. */
export class FrontServer {
  private readonly server: Server;
  private limits = FIRST_LIMITS;
  private isLastAnswer = false;
  private open = 0;

  /**
   * @param clock - tells the time
   * @param dialect - how refusals are written
   * @param logger - for requests that cannot be read
   * @param serve - takes each request that was read whole
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialect: HeaderDialect,
    private readonly logger: Logger,
    private readonly serve: (request: ReadRequest) => void,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_EVERY,
        noDelay: true,
        requireHostHeader: false,
      },
      (req, res) => void this.take(req, res),
    );
    this.server.maxHeadersCount = 0;
    this.server.on('checkContinue', (req, res) => {
      deferContinue(req, res);
      void this.take(req, res);
    });
    this.server.on('clientError', (err, socket) => {
      this.logger.debug('unreadable_request', {err: err.message});
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\n\r\n');
      else socket.destroy();
    });
    this.setLimits(FIRST_LIMITS);
  }

  /** Requests that are being read or answered. */
  get openRequests(): number {
    return this.open;
  }

  /**
   * Bounds what callers may send, from now on.
   * @param limits - the limits
   */
  setLimits(limits: EdgeLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeout;
    this.server.headersTimeout = limits.headerTimeout + SECOND;
    this.server.requestTimeout = 0;
  }

  /**
   * Starts to listen.
   * @param address - `host:port`
   */
  async listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    this.server.listen({port, host, backlog: BACKLOG});
    await once(this.server, 'listening');
  }

  /** Closes connections after their next answer. */
  closeAfterAnswers(): void {
    this.isLastAnswer = true;
  }

  /** Closes connections that wait for no answer. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Stops to listen; open connections go on. */
  stopListening(): void {
    this.server.close();
  }

  private async take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = this.clock.now();
    this.open += 1;
    let isCounted = true;
    const ended = () => {
      if (isCounted) this.open -= 1;
      isCounted = false;
    };
    res.once('close', ended);
    res.on('error', err => {
      this.logger.debug('answer_not_taken', {err: err.message});
    });
    const reply = new Reply(res, this.dialect, () => this.isLastAnswer);
    if (headerBytes(req) > this.limits.maxHeaderBytes) {
      reply.refuse(new Fault('headers_too_large'));
      return;
    }
    const body = await readBody(req, this.limits.maxBodyBytes);
    if (body.isErr()) {
      if (body.error.reason === 'caller_gone') res.destroy();
      else reply.refuse(body.error);
      return;
    }
    this.serve({req, res, body: body.value, arrivedAt, ended});
  }
}

function headerBytes(req: IncomingMessage): number {
  // Each line has a colon, a space and its end.
  return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
