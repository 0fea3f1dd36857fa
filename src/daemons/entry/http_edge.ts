import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {STATUS_CODES, createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {CallRequest} from '../../calls/index.js';
import {MAX_BODY_BYTES} from '../../configuration/index.js';
import {SECOND, callId, hostPort} from '../../core/index.js';
import type {CallId} from '../../core/index.js';
import {ERRORS, Fault, asFault, describe} from '../../errors/index.js';
import type {DaemonContext} from '../shared/context.js';
import type {ErrorName} from '../../errors/index.js';
import {AnswerTimer} from './answer_timer.js';
import {Caller} from './caller.js';
import {answerKeyRequest, isKeyRequest} from './key_issuer.js';
import type {IssuedKey} from './key_issuer.js';
import type {LimitsTask} from './limits_task.js';
import {deferContinue, readBody} from '../shared/request_body.js';
import {guardRequest} from './request_guard.js';
import {identify, resolve, toCall} from './request_parser.js';
import type {InForce} from './types.js';

/** How long a slow caller has to send its request. */
export const EDGE_TIMEOUTS = {
  headersTimeout: 10 * SECOND,
  requestTimeout: 60 * SECOND,
  connectionsCheckingInterval: SECOND,
};
const MAX_HEADER_BYTES = 32 * 2 ** 10;

/** What the parser's errors are called; anything else is a bad request. */
const UNREADABLE: Readonly<Record<string, ErrorName>> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout',
};

/** What the edge needs of the rest of the entry. */
export interface EdgeServices {
  /** The configuration in force, if there is one. */
  inForce(): InForce | undefined;
  /** Whether new requests are taken. */
  accepting(): boolean;
  /** Carries a call; `ended` is called once when it is over. */
  carry(
    request: CallRequest,
    caller: Caller,
    res: ServerResponse,
    ended: () => void,
  ): void;
  /** Issues an idempotency key for a service. */
  issueKey(service: string): Result<IssuedKey, Fault>;
}

/** The HTTP server that callers reach. */
export class HttpEdge {
  private readonly server: Server;
  /** The newest answer on each connection. */
  private readonly responses = new WeakMap<Duplex, ServerResponse>();

  /**
   * @param context - what the daemon's tasks share
   * @param limits - the organisations' limits
   * @param services - the rest of the entry
   * @param timeouts - how long slow callers have, ms
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly limits: LimitsTask,
    private readonly services: EdgeServices,
    timeouts = EDGE_TIMEOUTS,
  ) {
    this.server = createServer(
      {
        ...timeouts,
        maxHeaderSize: MAX_HEADER_BYTES,
        // The guard refuses it with a problem body.
        requireHostHeader: false,
      },
      (req, res) => this.take(req, res),
    );
    // No header is dropped unseen; their size bounds them.
    this.server.maxHeadersCount = 0;
    this.server.on('checkContinue', (req, res) => {
      deferContinue(req, res);
      this.take(req, res);
    });
    this.server.on('clientError', (err, socket) =>
      this.unreadable(err, socket),
    );
  }

  /**
   * Starts to listen.
   * @param host - IP address to listen on
   * @param port - port; 0 picks a free one
   * @returns `host:port`
   */
  async listen(host: string, port: number): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    return hostPort(host, (this.server.address() as AddressInfo).port);
  }

  /** Closes the listener and what is left open. */
  async close(): Promise<void> {
    const closed = new Promise(done => this.server.close(done));
    this.server.closeIdleConnections();
    setTimeout(() => this.server.closeAllConnections(), SECOND).unref();
    await closed;
  }

  /** Serves a request; whatever is thrown stays with that request. */
  private take(req: IncomingMessage, res: ServerResponse): void {
    const id = this.newCallId();
    const caller = new Caller(res, id);
    this.responses.set(req.socket, res);
    this.serve(req, res, caller, id).catch(thrown => {
      const reason = 'internal';
      this.context.logger.error('edge_fault', {
        call: id,
        err: describe(thrown),
      });
      this.context.metrics.refusals.inc({reason, service: ''});
      this.context.metrics.outcomes.inc({outcome: 'unknown', service: ''});
      caller.finish({kind: 'unknown', reason, retryAfterMs: 0});
    });
  }

  /** Answers what is no HTTP request, and closes. */
  private unreadable(err: NodeJS.ErrnoException, socket: Duplex): void {
    const last = this.responses.get(socket);
    if (last?.writableFinished === true) {
      socket.end();
      return;
    }
    // The request before may be running: nothing may look like its answer.
    const mayRun =
      last !== undefined && (last.req.complete || last.headersSent);
    if (mayRun || !socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const reason = UNREADABLE[err.code ?? ''] ?? 'bad_request';
    this.context.metrics.refusals.inc({reason, service: ''});
    const {status, message, hint} = ERRORS[reason];
    const type = `urn:baobabspan:error:${reason}`;
    const problem = {type, title: message, status, reason, hint};
    const body = `${JSON.stringify({...problem, outcome: 'not-run'})}\n`;
    const head = [
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
      'content-type: application/problem+json',
      'baobabspan-outcome: not-run',
      'retry-after: 1',
      'connection: close',
      `content-length: ${Buffer.byteLength(body)}`,
    ];
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
    setTimeout(() => socket.destroy(), SECOND).unref();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    caller: Caller,
    id: CallId,
  ): Promise<void> {
    const receivedAt = this.context.clock.now();
    const guarded = guardRequest(req);
    if (guarded.isErr()) return this.refuse(req, res, caller, guarded.error);
    if (isKeyRequest(req)) {
      await answerKeyRequest(req, res, caller, this.services);
      return;
    }
    const admitted = await this.admit(req, res, id).catch(thrown =>
      err(asFault(thrown, 'internal')),
    );
    if (admitted.isErr()) return this.refuse(req, res, caller, admitted.error);
    const call = admitted.value;
    const ended = () => this.limits.end(call);
    if (!res.closed) {
      const {clock, metrics} = this.context;
      caller.timeWith(
        new AnswerTimer(clock, metrics, call.service, receivedAt),
      );
      return this.services.carry(call, caller, res, ended);
    }
    ended();
    this.refuse(req, res, caller, new Fault('caller_gone'));
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    caller: Caller,
    fault: Fault,
  ): void {
    const {metrics} = this.context;
    metrics.refusals.inc({reason: fault.reason, service: ''});
    metrics.outcomes.inc({outcome: 'not-run', service: ''});
    // A body that is too large or without a length is not waited for.
    const declared = Number(req.headers['content-length'] ?? NaN);
    const isShort = req.complete || declared <= MAX_BODY_BYTES;
    const hasWaited = req.headers.expect === undefined;
    if (!isShort || !hasWaited) res.setHeader('connection', 'close');
    caller.refuse(fault);
  }

  private async admit(
    req: IncomingMessage,
    res: ServerResponse,
    id: CallId,
  ): Promise<Result<CallRequest, Fault>> {
    const inForce = this.services.inForce();
    if (!this.services.accepting()) return err(new Fault('draining'));
    if (inForce === undefined) return err(new Fault('no_configuration'));
    const identified = identify(req, inForce);
    if (identified.isErr()) return err(identified.error);
    const organisation = identified.value;
    const body = await readBody(req, MAX_BODY_BYTES);
    if (body.isErr()) return err(body.error);
    const resolved = resolve(req, body.value, inForce);
    if (resolved.isErr()) return err(resolved.error);
    if (body.value.length > resolved.value.service.limits.body) {
      return err(new Fault('body_too_large'));
    }
    const now = this.context.clock.now();
    const wall = this.context.clock.wall();
    const parts = {callId: id, now, wall, organisation, body: body.value};
    const call = toCall(req, {...parts, resolved: resolved.value});
    if (call.isErr()) return err(call.error);
    const {limits} = organisation.organisation;
    const isAnswered = () => res.headersSent;
    const verdict = this.limits.admit(limits, call.value, isAnswered);
    if (verdict.allowed) return ok(call.value);
    const {limit, retryAfterMs} = verdict;
    return err(new Fault('organisation_over_limit', limit, retryAfterMs));
  }

  private newCallId(): CallId {
    const {incarnation} = this.context.self;
    return callId(`${incarnation}/${randomBytes(8).toString('hex')}`);
  }
}
