import {request} from 'node:http';
import type {
  ClientRequest,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';

import type {Millis} from '../../core/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  HeaderDialect,
  HeaderLines,
  Upstream,
} from '../../direct/index.js';
import {describe} from '../../errors/index.js';
import type {UpstreamConnections} from './upstream_connections.js';

/** A connection takes two one-way trips; more than this is no connection. */
export const CONNECT_TIMEOUT: Millis = 400;

/** Memory that the head of an answer may take; the parser stops beyond it. */
const MAX_HEAD_BYTES = 16 * 2 ** 10;
/** Interim answers before the final one; more is a fault that never ends. */
const MAX_INTERIM_RESPONSES = 16;

/** What is sent to an upstream. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  /** Id that the answer has to repeat. */
  readonly id: string | undefined;
}

/** The head of an upstream's answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderLines;
  /** Whether its end is marked; if not, it ends with its connection. */
  readonly isFramed: boolean;
}

/** What is heard of an attempt; nothing after `ended` or `failed`. */
export interface AttemptListener {
  /** The answer begins. */
  onHead(head: ResponseHead, metadata: ResponseMetadata): void;
  /** Bytes of the answer; the attempt pauses until `resume`. */
  onData(chunk: Buffer): void;
  /** The answer is whole. */
  onEnd(): void;
  /** No whole answer will come. */
  onFailure(failure: AttemptFailure): void;
}

/** One request at one upstream. */
export class Attempt {
  private readonly req: ClientRequest;
  private res: IncomingMessage | undefined;
  private isConnected = false;
  private isFinished = false;
  private readonly connectTimer: NodeJS.Timeout;

  /**
   * Sends the request.
   * @param upstream - where to
   * @param outbound - the request
   * @param connections - connections to take one from
   * @param dialect - reads the answer
   * @param listener - what to tell of it
   */
  constructor(
    upstream: Upstream,
    private readonly outbound: AttemptRequest,
    connections: UpstreamConnections,
    private readonly dialect: HeaderDialect,
    private readonly listener: AttemptListener,
  ) {
    const {host, port} = splitAddress(upstream.registration.address);
    connections.prune(host, port);
    this.req = request({
      host,
      port,
      method: outbound.method,
      path: outbound.path,
      // Flat name and value lists keep order and repeats; the type lacks them.
      headers: outbound.headers.flat() as unknown as OutgoingHttpHeaders,
      setHost: false,
      agent: connections,
      maxHeaderSize: MAX_HEAD_BYTES,
    });
    this.connectTimer = setTimeout(() => {
      if (!this.isConnected) this.fail('connect timeout');
    }, CONNECT_TIMEOUT);
    this.req.once('socket', socket => {
      socket.setNoDelay(true);
      if (!socket.connecting) this.onConnect();
      else socket.once('connect', () => this.onConnect());
    });
    let interim = 0;
    this.req.on('information', () => {
      interim += 1;
      if (interim > MAX_INTERIM_RESPONSES) this.fail('interim answers only');
    });
    this.req.on('response', res => this.onResponse(res));
    this.req.on('error', err => this.fail(describe(err)));
    this.req.on('close', () => {
      // An answer that has begun tells its own end.
      if (this.res === undefined) this.fail('connection closed');
    });
    this.req.end(outbound.body);
  }

  /** Whether bytes of the request may have left. */
  get mayHaveBeenSent(): boolean {
    return this.isConnected;
  }

  /**
   * Gives the attempt up; nothing more is heard of it. A connection that is
   * not read, or a path that holds packets back, still has the request: an
   * orderly close would deliver it after its caller has left, a reset drops it.
   */
  cancel(): void {
    this.isFinished = true;
    clearTimeout(this.connectTimer);
    const {socket} = this.req;
    if (this.isConnected && socket !== null) socket.resetAndDestroy();
    this.req.destroy();
  }

  /** Lets the answer flow again. */
  resume(): void {
    this.res?.resume();
  }

  /** Stops the answer until `resume`. */
  pause(): void {
    this.res?.pause();
  }

  private onConnect(): void {
    this.isConnected = true;
    clearTimeout(this.connectTimer);
  }

  private onResponse(res: IncomingMessage): void {
    if (this.isFinished) return;
    const status = res.statusCode ?? 0;
    const headers = headerPairs(res.rawHeaders);
    const metadata = this.dialect.readResponse(status, headers);
    if (this.outbound.id !== undefined && metadata.id !== this.outbound.id) {
      // A late answer to somebody else; ours may still be running.
      if (metadata.id !== undefined) {
        this.fail('answer to another request');
        return;
      }
    }
    this.res = res;
    const isFramed =
      res.headers['content-length'] !== undefined ||
      res.headers['transfer-encoding'] !== undefined;
    this.listener.onHead({status, headers, isFramed}, metadata);
    if (this.isFinished) return;
    res.on('data', (chunk: Buffer) => {
      if (!this.isFinished) this.listener.onData(chunk);
    });
    res.on('end', () => {
      if (this.isFinished) return;
      if (!res.complete) {
        this.fail('answer cut off');
        return;
      }
      this.isFinished = true;
      this.listener.onEnd();
    });
    res.on('error', err => this.fail(describe(err)));
    res.on('close', () => this.fail('answer cut off'));
  }

  private fail(detail: string): void {
    if (this.isFinished) return;
    this.cancel();
    const failure: AttemptFailure = this.isConnected
      ? {kind: 'may_have_run', reason: detail}
      : {kind: 'not_run', reason: 'unreachable'};
    this.listener.onFailure(failure);
  }
}

/**
 * Splits an address.
 * @param address - `host:port`
 */
export function splitAddress(address: string): {host: string; port: number} {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(at + 1))};
}

/**
 * Header lines as pairs.
 * @param raw - names and values by turns
 */
export function headerPairs(raw: readonly string[]): [string, string][] {
  const lines: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    lines.push([raw[i] as string, raw[i + 1] as string]);
  }
  return lines;
}
