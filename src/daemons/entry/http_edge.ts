import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {STATUS_CODES, createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {NamedOrganisation} from '../../admission/index.js';
import type {CallRequest} from '../../calls/index.js';
import {MAX_BODY_BYTES} from '../../configuration/index.js';
import {SECOND, callId, hostPort} from '../../core/index.js';
import type {CallId, Millis} from '../../core/index.js';
import {ERRORS, Fault, asFault, describeError} from '../../errors/index.js';
import type {CallerConnection} from '../shared/caller_connection.js';
import type {CutResponse, OverBudget} from '../shared/connection_events.js';
import {CallerConnections} from '../shared/caller_connections.js';
import type {CallerEvents} from '../shared/caller_connections.js';
import type {DaemonContext} from '../shared/context.js';
import {AnswerTimer} from './answer_timer.js';
import {AnswerWriter} from './answer_writer.js';
import {answerKeyRequest, isKeyRequest} from './key_issuer.js';
import type {IssuedKey} from './key_issuer.js';
import type {LimitsTask} from './limits_task.js';
import {BodyReader, isBodyRejection} from '../shared/body_reader.js';
import type {BufferedBody} from '../shared/buffered_body.js';
import {deferContinue} from '../shared/request_body.js';
import {guardRequest} from './request_guard.js';
import {
  createCall,
  identify,
  resolveHead,
  resolveRequest,
} from './request_parser.js';
import type {ConfigurationInForce} from './types.js';

/** Time limits for receiving a request, against slow callers. */
export const EDGE_TIMEOUTS = {
  headersTimeout: 10 * SECOND,
  requestTimeout: 60 * SECOND,
  connectionsCheckingInterval: SECOND,
};
/** Time in which callers may read the rest of their answers as the edge closes. */
const FLUSH_TIMEOUT: Millis = SECOND;
/** Time without a byte of a body after which its request is rejected. */
const BODY_IDLE_TIMEOUT: Millis = 15 * SECOND;
const MAX_HEADER_BYTES = 32 * 2 ** 10;

/** Number of open calls that the line of an unreadable message names. */
const MAX_LOGGED_IDS = 8;

const BODY_LIMITS = {
  callerTimeout: undefined,
  idleTimeout: BODY_IDLE_TIMEOUT,
};

/** An admitted call, with the body to release at its end. */
interface AdmittedCall {
  readonly call: CallRequest;
  readonly body: BufferedBody;
}

/** A request whose body was read. */
interface WholeRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: CallId;
  readonly organisation: NamedOrganisation;
  readonly inForce: ConfigurationInForce;
}
/** Labels of a request whose connection ended before its turn. */
const UNSERVED = {reason: 'caller_gone', service: ''};

/** Services of the entry that the edge uses. */
export interface EdgeServices {
  /** The configuration in force, if there is one. */
  inForce(): ConfigurationInForce | undefined;
  /** Whether new requests are accepted. */
  isAccepting(): boolean;
  /** Starts a call; `onEnd` is called once, at its end. */
  startCall(
    request: CallRequest,
    writer: AnswerWriter,
    res: ServerResponse,
    onEnd: () => void,
  ): void;
  /** Issues an idempotency key for a service. */
  issueKey(service: string): Result<IssuedKey, Fault>;
  /** Counts a connection that is read in turns. */
  countThrottled(): void;
}

/** The HTTP server for callers. */
export class HttpEdge {
  private readonly server: Server;
  private readonly connections: CallerConnections;
  private readonly bodies: BodyReader<CallerConnection>;
  private readonly callIds = new WeakMap<IncomingMessage, CallId>();

  /**
   * @param context - state shared by the daemon's tasks
   * @param limits - the organisations' limits
   * @param services - services of the entry
   * @param timeouts - time limits for receiving a request, ms
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
        // guardRequest rejects a missing Host header with a problem body.
        requireHostHeader: false,
      },
      (req, res) => this.handleRequest(req, res),
    );
    // No limit: Node.js drops headers above it; maxHeaderSize bounds them.
    this.server.maxHeadersCount = 0;
    // Node would send 417 by itself, in no budget.
    this.server.on('checkExpectation', (req, res) =>
      this.handleRequest(req, res),
    );
    this.server.on('checkContinue', (req, res) => {
      deferContinue(req, res);
      this.handleRequest(req, res);
    });
    const events: CallerEvents = {
      formatError,
      onUnreadable: (fault, open) => this.recordUnreadable(fault, open),
      onCut: cut => this.recordCut(cut),
      onOverBudget: state => this.recordOverBudget(state),
      onThrottled: req => {
        this.services.countThrottled();
        context.logger.info('caller_throttled', {call: this.callIds.get(req)});
      },
    };
    const {clock} = context;
    this.connections = new CallerConnections(this.server, events, clock);
    this.bodies = new BodyReader(clock, this.connections.memory);
  }

  /**
   * Starts listening.
   * @param host - IP address to listen on
   * @param port - port; 0 picks a free one
   * @returns `host:port`
   */
  async listen(host: string, port: number): Promise<string> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
    return hostPort(host, (this.server.address() as AddressInfo).port);
  }

  /** Sends what is left of ended answers for a short time, then closes. */
  async close(): Promise<void> {
    // A whole pass of the event loop reads what waits in the system's buffers.
    await setImmediate();
    await setImmediate();
    await this.connections.flush(FLUSH_TIMEOUT);
    this.connections.cutOpen();
    const closed = new Promise(done => this.server.close(done));
    this.server.closeAllConnections();
    await closed;
  }

  /** Serves a request; an exception fails this request alone. */
  private handleRequest(req: IncomingMessage, res: ServerResponse): void {
    if (!this.connections.accept(req, res)) return;
    this.connections.beginInTurn(req, res, isTurn => {
      if (isTurn) this.begin(req, res);
      else this.context.metrics.refusals.inc(UNSERVED);
    });
  }

  private begin(req: IncomingMessage, res: ServerResponse): void {
    const id = this.createCallId();
    const writer = new AnswerWriter(res, id);
    this.callIds.set(req, id);
    this.serve(req, res, writer, id).catch(thrown => {
      const reason = 'internal';
      this.context.logger.error('edge_fault', {
        call: id,
        err: describeError(thrown),
      });
      this.context.metrics.refusals.inc({reason, service: ''});
      this.context.metrics.outcomes.inc({outcome: 'unknown', service: ''});
      writer.sendOutcome({kind: 'unknown', reason, retryAfterMs: 0});
    });
  }

  private recordUnreadable(
    {reason, detail}: Fault,
    open: readonly IncomingMessage[],
  ): void {
    this.context.metrics.refusals.inc({reason, service: ''});
    const ids = open.slice(0, MAX_LOGGED_IDS).map(req => this.callIds.get(req));
    const fields = {detail, open: open.length, open_ids: ids.join(',')};
    this.context.logger.info('refused', {reason, ...fields});
  }

  private recordCut({req, reason, unsentBytes}: CutResponse): void {
    this.context.metrics.cutResponses.inc({reason});
    this.context.logger.info('response_cut', {
      call: this.callIds.get(req),
      reason,
      unsent_bytes: unsentBytes,
    });
  }

  private recordOverBudget({heldBytes, open}: OverBudget): void {
    const reason = 'over_budget';
    this.context.metrics.closedCallers.inc({reason});
    const ids = open.slice(0, MAX_LOGGED_IDS).map(req => this.callIds.get(req));
    this.context.logger.warn('caller_closed', {
      reason,
      held_bytes: heldBytes,
      open: open.length,
      open_ids: ids.join(','),
    });
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    writer: AnswerWriter,
    id: CallId,
  ): Promise<void> {
    const receivedAt = this.context.clock.now();
    const guarded = guardRequest(req);
    if (guarded.isErr()) return this.reject(req, res, writer, guarded.error);
    if (isKeyRequest(req)) {
      await answerKeyRequest(req, res, writer, this.services);
      return;
    }
    const admitted = await this.admit(req, res, id).catch(thrown =>
      err(asFault(thrown, 'internal')),
    );
    if (admitted.isErr()) return this.reject(req, res, writer, admitted.error);
    const {call, body} = admitted.value;
    const onEnd = () => {
      this.limits.release(call);
      body.release();
    };
    if (!res.destroyed) {
      const {clock, metrics} = this.context;
      writer.setTimer(
        new AnswerTimer(clock, metrics, call.service, receivedAt),
      );
      return this.services.startCall(call, writer, res, onEnd);
    }
    onEnd();
    this.reject(req, res, writer, new Fault('caller_gone'));
  }

  private reject(
    req: IncomingMessage,
    res: ServerResponse,
    writer: AnswerWriter,
    fault: Fault,
  ): void {
    const {metrics, logger} = this.context;
    const {reason, detail} = fault;
    metrics.refusals.inc({reason, service: ''});
    if (isBodyRejection(reason)) {
      const call = this.callIds.get(req);
      logger.info('refused', {call, reason, detail, ...this.bodies.fields});
    }
    metrics.outcomes.inc({outcome: 'not-run', service: ''});
    // Closes rather than reads a body that is too large or of unknown length.
    const declared = Number(req.headers['content-length'] ?? NaN);
    const isBodyBounded = req.complete || declared <= MAX_BODY_BYTES;
    const isBodySent = req.headers.expect === undefined;
    const isLate = !req.complete && isBodyRejection(fault.reason);
    if (!isBodyBounded || !isBodySent || isLate)
      res.setHeader('connection', 'close');
    writer.reject(fault);
  }

  private async admit(
    req: IncomingMessage,
    res: ServerResponse,
    id: CallId,
  ): Promise<Result<AdmittedCall, Fault>> {
    const inForce = this.services.inForce();
    if (!this.services.isAccepting()) return err(new Fault('draining'));
    if (inForce === undefined) return err(new Fault('no_configuration'));
    const identified = identify(req, inForce);
    if (identified.isErr()) return err(identified.error);
    const organisation = identified.value;
    const head = resolveHead(req, inForce);
    if (head.isErr()) return err(head.error);
    const maxBytes = head.value?.service.limits.body ?? MAX_BODY_BYTES;
    const limits = {...BODY_LIMITS, maxBytes};
    const holder = this.connections.holderOf(req);
    if (holder === undefined) return err(new Fault('caller_gone'));
    const read = await this.bodies.read(req, holder, limits);
    if (read.isErr()) return err(read.error);
    const body = read.value;
    const request = {req, res, id, organisation, inForce};
    const call = await this.admitWhole(request, body.bytes).catch(thrown =>
      err(asFault(thrown, 'internal')),
    );
    if (call.isErr()) body.release();
    return call.map(value => ({call: value, body}));
  }

  /** Admits a request whose body was read. */
  private async admitWhole(
    {req, res, id, organisation, inForce}: WholeRequest,
    body: Buffer,
  ): Promise<Result<CallRequest, Fault>> {
    if (!(await this.connections.turnOf(req, res)))
      return err(new Fault('caller_gone'));
    const resolved = resolveRequest(req, body, inForce);
    if (resolved.isErr()) return err(resolved.error);
    if (body.length > resolved.value.service.limits.body) {
      return err(new Fault('body_too_large'));
    }
    const now = this.context.clock.now();
    const wall = this.context.clock.wall();
    const parts = {callId: id, now, wall, organisation, body};
    const call = createCall(req, {...parts, resolved: resolved.value});
    if (call.isErr()) return err(call.error);
    const {limits} = organisation.organisation;
    const isAnswered = () => res.headersSent;
    const verdict = this.limits.admit(limits, call.value, isAnswered);
    if (verdict.allowed) return ok(call.value);
    const {limit, retryAfterMs} = verdict;
    return err(new Fault('organisation_over_limit', limit, retryAfterMs));
  }

  private createCallId(): CallId {
    const {incarnation} = this.context.self;
    return callId(`${incarnation}/${randomBytes(8).toString('hex')}`);
  }
}

/** Returns the rejection of a message that is not a readable request. */
function formatError({reason, status, message, hint}: Fault): string {
  const type = `urn:baobabspan:error:${reason}`;
  const {message: title} = ERRORS[reason];
  const problem = {type, title, status, detail: message, reason, hint};
  const body = `${JSON.stringify({...problem, outcome: 'not-run'})}\n`;
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'content-type: application/problem+json',
    'baobabspan-outcome: not-run',
    'retry-after: 1',
    'connection: close',
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}
