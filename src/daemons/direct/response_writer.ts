import type {ServerResponse} from 'node:http';

import type {Millis} from '../../core/index.js';
import type {HeaderDialect, HeaderLines} from '../../direct/index.js';
import {ERRORS} from '../../errors/index.js';
import type {Fault} from '../../errors/index.js';
import type {ResponseHead} from './attempt.js';

/** Statuses that mean that the request has not run and will not. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Writes the response to one caller. */
export class ResponseWriter {
  /** Whether a caller can tell an aborted response from a complete one. */
  private isDelimited = true;

  /**
   * @param res - the HTTP response
   * @param dialect - header format
   * @param isClosing - whether the connection closes after the response
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly dialect: HeaderDialect,
    private readonly isClosing: () => boolean,
  ) {}

  /** Whether part of the response was sent. */
  get isStarted(): boolean {
    return this.res.headersSent;
  }

  /**
   * Sends an upstream's complete response.
   * @param head - its head
   * @param body - its complete body
   */
  sendWhole(head: ResponseHead, body: Buffer): void {
    const length: HeaderLines = head.isFramed
      ? [['Content-Length', `${body.length}`]]
      : [];
    this.writeResponse(head, length, head.isFramed);
    this.res.end(body);
  }

  /**
   * Sends the head of a response whose body follows in parts.
   * @param head - its head
   */
  sendHead(head: ResponseHead): void {
    this.writeResponse(head, [], head.isFramed && this.takesChunks);
    this.res.flushHeaders();
  }

  /**
   * Sends the head of an event stream. It is sent in chunks even if the upstream
   * delimits it by its connection: if this process is killed, the system closes
   * its connections in order, and a stream cut between two events would look
   * complete.
   * @param head - its head
   */
  sendStreamHead(head: ResponseHead): void {
    this.writeResponse(head, [], this.takesChunks);
    this.res.flushHeaders();
  }

  /**
   * Writes a chunk of the body.
   * @param bytes - the chunk
   * @returns whether more may be written without waiting for a drain
   * @throws {Error} if no head was sent: Node would send a 200 of its own
   */
  write(bytes: Buffer): boolean {
    this.assertStarted();
    return this.res.write(bytes);
  }

  /**
   * Registers a listener for the drain of the write buffer.
   * @param listener - called once
   */
  onDrain(listener: () => void): void {
    this.res.once('drain', listener);
  }

  /**
   * Registers a listener for the end of the response: it was sent completely, or
   * its connection closed.
   * @param listener - called once
   */
  onClose(listener: () => void): void {
    this.res.once('close', listener);
  }

  /**
   * Ends a complete response.
   * @throws {Error} if no head was sent
   */
  end(): void {
    this.assertStarted();
    this.res.end();
  }

  /**
   * Aborts an incomplete response, after the bytes written in this turn are sent.
   * If it is delimited by the end of its connection, only a reset distinguishes
   * the abort from a regular end.
   */
  abort(): void {
    setImmediate(() => {
      if (!this.isDelimited) this.res.socket?.resetAndDestroy();
      this.res.destroy();
    });
  }

  /**
   * Sends an error of this process, or aborts a response that has begun.
   * @param fault - the error
   * @param retryAfter - delay until a retry, if one can succeed
   */
  sendError(fault: Fault, retryAfter?: Millis): void {
    if (this.isStarted) {
      this.abort();
      return;
    }
    const {status, reason, hint} = fault;
    const body = Buffer.from(
      JSON.stringify({
        type: 'about:blank',
        title: ERRORS[reason].message,
        status,
        detail: fault.message,
        reason,
        hint,
      }),
    );
    const isNotRun = NOT_RUN_STATUSES.has(status);
    const retryAfterLine =
      retryAfter !== undefined && isNotRun
        ? this.dialect.retryAfter(retryAfter)
        : [];
    this.writeHead(status, [
      ['Content-Type', 'application/problem+json'],
      ['Content-Length', `${body.length}`],
      ...retryAfterLine,
    ]);
    this.res.end(body);
  }

  /** Callers of HTTP/1.0 take no chunks. */
  private get takesChunks(): boolean {
    return this.res.req.httpVersion !== '1.0';
  }

  private assertStarted(): void {
    if (!this.isStarted) throw new Error('body without a response head');
  }

  private writeResponse(
    {status, headers}: ResponseHead,
    length: HeaderLines,
    isDelimited: boolean,
  ): void {
    this.isDelimited = isDelimited;
    if (!isDelimited) {
      // It may be truncated: don't add the terminator that it lacks.
      this.res.shouldKeepAlive = false;
      this.res.removeHeader('transfer-encoding');
    }
    this.writeHead(status, [...this.dialect.toCaller(headers), ...length]);
  }

  private writeHead(status: number, lines: HeaderLines): void {
    if (this.isClosing()) this.res.shouldKeepAlive = false;
    // Flat lists of names and values keep order and duplicates.
    this.res.writeHead(status, lines.flat() as never);
  }
}
