import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {NamedOrganisation} from '../../admission/index.js';
import type {CallRequest} from '../../calls/index.js';
import {MAX_BODY_BYTES} from '../../configuration/index.js';
import {SECOND, callId, hostPort} from '../../core/index.js';
import type {CallId} from '../../core/index.js';
import {Fault, asFault} from '../../errors/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Caller} from './caller.js';
import {answerKeyRequest, isKeyRequest} from './key_issuer.js';
import type {IssuedKey} from './key_issuer.js';
import type {LimitsTask} from './limits_task.js';
import {identify, resolve, toCall} from './request_parser.js';
import type {InForce} from './types.js';

const HEADERS_TIMEOUT_MS = 10 * SECOND;
const REQUEST_TIMEOUT_MS = 60 * SECOND;
const MAX_HEADER_BYTES = 32 * 2 ** 10;

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

  /**
   * @param context - what the daemon's tasks share
   * @param limits - the organisations' limits
   * @param services - the rest of the entry
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly limits: LimitsTask,
    private readonly services: EdgeServices,
  ) {
    this.server = createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      (req, res) => void this.serve(req, res),
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

  private async serve(req: IncomingMessage, res: ServerResponse) {
    const id = this.newCallId();
    const caller = new Caller(res, id);
    if (isKeyRequest(req)) {
      await answerKeyRequest(req, res, caller, this.services);
      return;
    }
    const admitted = await this.admit(req, id).catch(thrown =>
      err(asFault(thrown, 'internal')),
    );
    if (admitted.isOk()) {
      const {call, organisation} = admitted.value;
      const ended = () => this.limits.end(organisation.name);
      this.services.carry(call, caller, res, ended);
      return;
    }
    const {reason} = admitted.error;
    const {metrics} = this.context;
    metrics.refusals.inc({reason, service: ''});
    metrics.outcomes.inc({outcome: 'not-run', service: ''});
    caller.refuse(admitted.error);
  }

  private async admit(
    req: IncomingMessage,
    id: CallId,
  ): Promise<
    Result<{call: CallRequest; organisation: NamedOrganisation}, Fault>
  > {
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
    const {name, organisation: entry} = organisation;
    const {cost = 1, deadlineAt} = call.value;
    const ask = {cost, deadlineAt};
    const verdict = this.limits.admit(name, entry.limits, ask);
    if (verdict.allowed) return ok({call: call.value, organisation});
    const {limit, retryAfterMs} = verdict;
    return err(new Fault('organisation_over_limit', limit, retryAfterMs));
  }

  private newCallId(): CallId {
    const {incarnation} = this.context.self;
    return callId(`${incarnation}/${randomBytes(8).toString('hex')}`);
  }
}

/**
 * Reads the body of a request.
 * @param req - the request
 * @param limit - largest body that is taken, bytes
 */
export async function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, Fault>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > limit) return err(new Fault('body_too_large'));
    chunks.push(chunk);
  }
  return ok(Buffer.concat(chunks));
}
