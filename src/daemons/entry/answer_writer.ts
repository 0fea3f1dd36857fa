import type {ServerResponse} from 'node:http';

import type {Outcome} from '../../calls/index.js';
import type {CallId, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {ERRORS} from '../../errors/index.js';
import type {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import {
  abortResponse,
  markDelimitedByClose,
} from '../shared/response_framing.js';
import type {AnswerTimer} from './answer_timer.js';

const DEFAULT_RETRY_AFTER: Millis = SECOND;
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
]);

/** Writes the answer of one call to its caller. */
export class AnswerWriter {
  private timer: AnswerTimer | undefined;

  /**
   * @param res - the HTTP response
   * @param callId - the call
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly callId: CallId,
  ) {}

  /**
   * Sets the timer of the answer.
   * @param timer - records each chunk
   */
  setTimer(timer: AnswerTimer): void {
    this.timer = timer;
  }

  /**
   * Writes status and headers of the upstream's answer.
   * @param status - HTTP status
   * @param headers - headers from the upstream
   */
  writeHead(status: number, headers: Readonly<Record<string, string>>): void {
    this.res.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      if (!HOP_BY_HOP.has(name)) this.res.setHeader(name, value);
    }
    this.res.setHeader('baobabspan-outcome', 'done');
    this.res.setHeader('baobabspan-call-id', this.callId);
    this.res.flushHeaders();
    const hasLength = this.res.hasHeader('content-length');
    // Callers of HTTP/1.0 take no chunks.
    if (this.res.req.httpVersion === '1.0' && !hasLength)
      markDelimitedByClose(this.res);
  }

  /**
   * Writes a chunk of the answer.
   * @param bytes - the chunk
   * @returns false if the caller should drain before the next chunk
   * @throws {Error} if no head was sent: Node would send a 200 of its own
   */
  writeBody(bytes: Uint8Array): boolean {
    if (!this.res.headersSent) throw new Error('body without an answer head');
    this.timer?.recordChunk();
    return this.res.write(bytes);
  }

  /** Ends a complete answer. */
  end(): void {
    this.res.end();
  }

  /**
   * Aborts an incomplete answer by cutting its connection, after an error
   * event if the answer is an event stream.
   * @param outcome - outcome of the call
   */
  abort({kind, reason}: Exclude<Outcome, {kind: 'done'}>): void {
    const type = String(this.res.getHeader('content-type') ?? '');
    // A caller that does not read would never receive the event.
    const isRead = !this.res.writableNeedDrain;
    if (!type.startsWith('text/event-stream') || !isRead) {
      abortResponse(this.res);
      return;
    }
    const error = {type: `urn:baobabspan:error:${reason}`, reason};
    const data = JSON.stringify({error: {...error, outcome: kind}});
    const event = `event: error\ndata: ${data}\n\n`;
    this.res.write(event, () => abortResponse(this.res));
  }

  /**
   * Writes a problem body with the final outcome of a call without an answer.
   * @param outcome - outcome of the call
   */
  sendOutcome(outcome: Exclude<Outcome, {kind: 'done'}>): void {
    this.writeProblem(outcome.kind, outcome.reason, '', outcome.retryAfterMs);
  }

  /**
   * Rejects a request before it becomes a call.
   * @param fault - reason for the rejection
   */
  reject(fault: Fault): void {
    const {reason, detail, retryAfterMs} = fault;
    this.writeProblem('not-run', reason, detail, retryAfterMs);
  }

  private writeProblem(
    outcome: Outcome['kind'],
    reason: ErrorName,
    detail: string,
    retryAfterMs = 0,
  ): void {
    const {status, message, hint} = ERRORS[reason];
    const {res} = this;
    if (res.headersSent) {
      abortResponse(res);
      return;
    }
    const retryAfter = retryAfterMs > 0 ? retryAfterMs : DEFAULT_RETRY_AFTER;
    res.statusCode = status;
    res.setHeader('content-type', 'application/problem+json');
    res.setHeader('baobabspan-outcome', outcome);
    res.setHeader('baobabspan-call-id', this.callId);
    res.setHeader('retry-after', Math.ceil(retryAfter / SECOND));
    const body = {
      type: `urn:baobabspan:error:${reason}`,
      title: message,
      status,
      detail: detail === '' ? hint : detail,
      reason,
      outcome,
      hint,
      callId: this.callId,
    };
    res.end(`${JSON.stringify(body)}\n`);
  }
}
