import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {headerPairs, isFinalStatus, malformedField} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import {UnframedBody} from '../../direct/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  ExtraResponse,
  HeaderDialect,
  HeaderLines,
  Upstream,
} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import type {BufferedBody} from '../shared/buffered_body.js';
import {ResponseChunkCollector} from '../shared/chunk_collector.js';
import {wasReset} from '../shared/reset_aware_socket.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {UpstreamConnections} from './upstream_connections.js';

/** Connect timeout; connecting takes two one-way trips. */
export const CONNECT_TIMEOUT: Millis = 400;

/** Size limit of a response head, enforced by the parser. */
const MAX_HEAD_BYTES = 16 * 2 ** 10;
/** Statuses of responses that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Transfer codings that delimit a body; after others its connection does. */
const CHUNKED_LAST = /(?:^|,)[ \t]*chunked[ \t]*$/i;
/** Interim responses before the final one; more would never end. */
const MAX_INTERIM_RESPONSES = 16;

/** Request as sent to an upstream, without the headers. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  /** Whether it has a Content-Length. */
  readonly hasBody: boolean;
  readonly body: BufferedBody;
  /** Id that the response must echo. */
  readonly id: string | undefined;
}

/**
 * Returns a caller's request as sent to an upstream.
 * @param req - the caller's HTTP request
 * @param admitted - the request with its body
 */
export function attemptRequest(
  req: IncomingMessage,
  {body, metadata}: AdmittedRequest,
): AttemptRequest {
  const {method = 'GET', url: path = '/'} = req;
  const hasBody =
    body.bytes.length > 0 || req.headers['content-length'] !== undefined;
  return {method, path, hasBody, body, id: metadata.id};
}

/** How the end of a body is found; `close` is the end of its connection. */
export type BodyFraming = 'none' | 'length' | 'chunks' | 'close';

/** Head of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderLines;
  readonly framing: BodyFraming;
}

/** What an attempt has received of its response's body. */
export interface ReceivedBody {
  readonly framing: BodyFraming;
  readonly bytes: number;
}

/** Response that was received completely. */
export interface WholeResponse extends ResponseHead {
  readonly body: Buffer;
}

/** Callbacks of an attempt; none follows `onEnd` or `onFailure`. */
export interface AttemptListener {
  /**
   * Called when the connection is there.
   * @param send - writes the request at once, with these headers and the framing
   */
  onConnect(send: (lines: HeaderLines) => void): void;
  /** Called when the system has taken all bytes of the request. */
  onRequestSent(): void;
  /** Called with the response head. */
  onHead(head: ResponseHead, metadata: ResponseMetadata): void;
  /** Called with each chunk of the body, unless paused. */
  onData(chunk: Buffer): void;
  /** Called when another response was found within the body; the end follows. */
  onExtraResponse(extra: ExtraResponse): void;
  /** Called when the response is complete. */
  onEnd(): void;
  /** Called when no complete response will follow. */
  onFailure(failure: AttemptFailure): void;
}

/** One attempt of a request at one upstream. */
export class Attempt {
  /** Undefined until the connection is there. */
  private req: ClientRequest | undefined;
  /** Connection without a request. */
  private unused: Socket | undefined;
  private res: IncomingMessage | undefined;
  private isConnected = false;
  /**
   * Undefined once the attempt has ended: its idle connection would hold the
   * caller's with all that it has read.
   */
  private listener: AttemptListener | undefined;
  private framing: BodyFraming | undefined;
  private bodyBytes = 0;
  /** Body of a response without a length. */
  private unframed: UnframedBody | undefined;
  private connectTimer: NodeJS.Timeout | undefined;
  private readonly releaseBody: () => void;

  /**
   * Connects; the request is sent once the connection is there.
   * @param upstream - the receiver
   * @param outbound - the request
   * @param connections - connection pool
   * @param dialect - parses the response head
   * @param listener - callbacks
   */
  constructor(
    upstream: Upstream,
    private readonly outbound: AttemptRequest,
    private readonly connections: UpstreamConnections,
    private readonly dialect: HeaderDialect,
    listener: AttemptListener,
  ) {
    this.listener = listener;
    this.releaseBody = outbound.body.hold();
    const {host, port} = splitAddress(upstream.registration.address);
    connections.prune(host, port);
    if (connections.hasIdle(host, port)) this.onConnect(host, port);
    else this.connect(host, port);
  }

  /** Whether bytes of the request may have been sent. */
  get mayHaveBeenSent(): boolean {
    return this.isConnected;
  }

  /** What was received of the response's body; undefined before its head. */
  get receivedBody(): ReceivedBody | undefined {
    const {framing, bodyBytes: bytes} = this;
    return framing && {framing, bytes};
  }

  /**
   * Aborts the attempt without further callbacks. The request may still be
   * queued on an unread connection or a stalled path: an orderly close would
   * deliver it after its caller has left, a reset drops it.
   */
  cancel(): void {
    this.listener = undefined;
    clearTimeout(this.connectTimer);
    this.releaseBody();
    this.unused?.destroy();
    const {req, isConnected} = this;
    if (isConnected) req?.socket?.resetAndDestroy();
    req?.destroy();
  }

  /** Resumes reading the response. */
  resume(): void {
    this.res?.resume();
  }

  /** Pauses reading the response until `resume`. */
  pause(): void {
    this.res?.pause();
  }

  private connect(host: string, port: number): void {
    const socket = this.connections.open(host, port);
    this.unused = socket;
    socket.once('connect', () => this.onConnect(host, port));
    socket.on('error', this.onConnectionError);
    this.connectTimer = setTimeout(() => {
      // After a hold-up of the process timers come before connections.
      setImmediate(() => {
        if (socket.connecting) this.fail('connect timeout');
      });
    }, CONNECT_TIMEOUT);
  }

  private onConnect(host: string, port: number): void {
    clearTimeout(this.connectTimer);
    this.listener?.onConnect(lines => this.send(host, port, lines));
  }

  private readonly onConnectionError = (err: Error) =>
    this.fail(describeError(err), true);

  private send(host: string, port: number, lines: HeaderLines): void {
    const {method, path, hasBody, body} = this.outbound;
    const length: HeaderLines = hasBody
      ? [['Content-Length', `${body.bytes.length}`]]
      : [];
    const req = this.connections.request({
      ...{host, port, method, path, connection: this.unused},
      headers: [...lines, ...length],
      maxHeaderSize: MAX_HEAD_BYTES,
    });
    this.req = req;
    // Node prefers a connection that became idle while this one was connecting.
    if (req.reusedSocket) this.unused?.destroy();
    // The request has its own listener, and the connection outlives it.
    this.unused?.off('error', this.onConnectionError);
    this.unused = undefined;
    req.once('socket', socket => {
      socket.setNoDelay(true);
      this.isConnected = true;
    });
    let interim = 0;
    req.on('information', () => {
      interim += 1;
      if (interim > MAX_INTERIM_RESPONSES)
        this.fail('too many interim responses');
    });
    req.on('response', res => this.onResponse(res));
    req.on('error', err => this.fail(describeError(err), true));
    req.on('close', () => {
      // A response that has begun reports its own end.
      if (this.res === undefined) this.fail('connection closed', true);
    });
    req.once('finish', () => {
      this.releaseBody();
      this.listener?.onRequestSent();
    });
    req.once('close', this.releaseBody);
    req.end(body.bytes);
  }

  private onResponse(res: IncomingMessage): void {
    if (this.isFinished) return;
    const status = res.statusCode ?? 0;
    const headers = headerPairs(res.rawHeaders);
    const defect = headDefect(status, headers);
    if (defect !== undefined) {
      this.fail(defect);
      return;
    }
    const metadata = this.dialect.readResponse(status, headers);
    if (!this.isOwnResponse(metadata)) {
      this.fail('response to another request');
      return;
    }
    this.res = res;
    const framing = framingOf(res, this.outbound.method);
    this.framing = framing;
    if (framing === 'close') {
      const identity = {status, id: this.outbound.id};
      this.unframed = new UnframedBody(this.dialect, identity);
      const {socket} = res;
      // Before the parser takes this end for that of the body.
      socket.prependListener('end', () => {
        if (wasReset(socket)) this.fail('connection reset', true);
      });
    }
    this.listener?.onHead({status, headers, framing}, metadata);
    if (this.isFinished) return;
    if (framing === 'chunks') new ResponseChunkCollector(res);
    res.on('data', (chunk: Buffer) => this.onData(chunk));
    res.on('end', () => this.onEnd(res.complete));
    res.on('error', err => this.fail(describeError(err), true));
    res.on('close', () => this.fail('response truncated', true));
  }

  private onData(chunk: Buffer): void {
    if (this.isFinished) return;
    this.deliver(this.unframed?.push(chunk) ?? chunk);
    if (this.unframed !== undefined) this.endUnframed(this.unframed);
  }

  private onEnd(isComplete: boolean): void {
    if (this.isFinished) return;
    if (!isComplete) {
      this.fail('response truncated');
      return;
    }
    if (this.unframed === undefined) {
      this.takeListener()?.onEnd();
      return;
    }
    this.deliver(this.unframed.close());
    this.endUnframed(this.unframed);
  }

  private deliver(body: Buffer): void {
    if (body.length === 0) return;
    this.bodyBytes += body.length;
    this.listener?.onData(body);
  }

  /** Ends the attempt once the state of the body is known. */
  private endUnframed({state, extra}: UnframedBody): void {
    if (this.isFinished || state === 'open') return;
    if (state === 'ambiguous') {
      this.fail('another response within the body');
      return;
    }
    const listener = this.takeListener();
    if (extra !== undefined) {
      // Whatever else the connection carries belongs to no request.
      this.cancel();
      listener?.onExtraResponse(extra);
    }
    listener?.onEnd();
  }

  private get isFinished(): boolean {
    return this.listener === undefined;
  }

  private takeListener(): AttemptListener | undefined {
    const {listener} = this;
    this.listener = undefined;
    return listener;
  }

  /**
   * Returns whether a response belongs to this request. On a reused connection it
   * may be a late or repeated response to an earlier one, even without an id.
   */
  private isOwnResponse(metadata: ResponseMetadata): boolean {
    const {id} = this.outbound;
    if (id === undefined || metadata.id === id) return true;
    return metadata.id === undefined && this.req?.reusedSocket === false;
  }

  private fail(detail: string, isClosed = false): void {
    const listener = this.takeListener();
    if (listener === undefined) return;
    this.cancel();
    const extra = this.unframed?.extra;
    if (extra !== undefined) listener.onExtraResponse(extra);
    const failure: AttemptFailure = this.isConnected
      ? {kind: 'may_have_run', reason: detail, isClosed}
      : {kind: 'not_run', reason: 'unreachable'};
    listener.onFailure(failure);
  }
}

function framingOf(
  {headers, statusCode = 0}: IncomingMessage,
  method: string,
): BodyFraming {
  if (CHUNKED_LAST.test(headers['transfer-encoding'] ?? '')) return 'chunks';
  if (headers['content-length'] !== undefined) return 'length';
  const hasBody = method !== 'HEAD' && !BODILESS_STATUSES.has(statusCode);
  return hasBody ? 'close' : 'none';
}

/** Returns why a response head is malformed, although the parser accepts it. */
function headDefect(status: number, headers: HeaderLines): string | undefined {
  if (!isFinalStatus(status)) return `response with status ${status}`;
  const line = malformedField(headers);
  return line && `response with malformed header ${line}`;
}

/**
 * Splits an address into host and port.
 * @param address - `host:port`
 */
export function splitAddress(address: string): {host: string; port: number} {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(at + 1))};
}
