import type {ServerResponse} from 'node:http';

import type {Millis} from '../../core/index.js';
import type {HeaderDialect, HeaderLines} from '../../direct/index.js';
import {ERRORS} from '../../errors/index.js';
import type {Fault} from '../../errors/index.js';
import type {ResponseHead} from './attempt.js';

/** Statuses that say that the request has not run and will not. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Writes the answer to one caller. */
export class ResponseWriter {
  private isFramed = true;

  /**
   * @param res - the HTTP response
   * @param dialect - how headers are written
   * @param isClosing - whether the connection closes after the answer
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly dialect: HeaderDialect,
    private readonly isClosing: () => boolean,
  ) {}

  /** Whether a part of an answer has left. */
  get isStarted(): boolean {
    return this.res.headersSent;
  }

  /**
   * Answers with all of an upstream's answer.
   * @param head - its head
   * @param body - its whole body
   */
  sendWhole(head: ResponseHead, body: Buffer): void {
    const length: HeaderLines = head.isFramed
      ? [['Content-Length', `${body.length}`]]
      : [];
    this.writeResponse(head, length);
    this.res.end(body);
  }

  /**
   * Begins an answer that comes piece by piece.
   * @param head - its head
   */
  sendHead(head: ResponseHead): void {
    this.writeResponse(head, []);
    this.res.flushHeaders();
  }

  /**
   * Writes a piece.
   * @param bytes - the piece
   * @returns whether more may be written at once
   */
  write(bytes: Buffer): boolean {
    return this.res.write(bytes);
  }

  /**
   * Waits until the caller has taken what was written.
   * @param listener - called once
   */
  onDrain(listener: () => void): void {
    this.res.once('drain', listener);
  }

  /** Ends an answer that is whole. */
  end(): void {
    this.res.end();
  }

  /**
   * Breaks off an answer that will not be whole. Where its end is that of its
   * connection, only a reset tells that end from an orderly one.
   */
  abort(): void {
    if (!this.isFramed) this.res.socket?.resetAndDestroy();
    this.res.destroy();
  }

  /**
   * Answers with an error of this process.
   * @param fault - the error
   * @param retryAfter - when to come back, if it makes sense
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

  private writeResponse(head: ResponseHead, length: HeaderLines): void {
    const {status, headers, isFramed} = head;
    this.isFramed = isFramed;
    if (!isFramed) {
      // Its end was not marked, so it may be cut short; no end is made up.
      this.res.shouldKeepAlive = false;
      this.res.removeHeader('transfer-encoding');
    }
    this.writeHead(status, [...this.dialect.toCaller(headers), ...length]);
  }

  private writeHead(status: number, lines: HeaderLines): void {
    if (this.isClosing()) this.res.shouldKeepAlive = false;
    // Flat name and value lists keep order and repeats.
    this.res.writeHead(status, lines.flat() as never);
  }
}
