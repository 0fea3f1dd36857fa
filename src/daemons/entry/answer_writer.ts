import type {ServerResponse} from 'node:http';

import type {Outcome} from '../../calls/index.js';
import type {CallId, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {ERRORS} from '../../errors/index.js';
import type {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import type {AnswerTimer} from './answer_timer.js';

const DEFAULT_RETRY_AFTER: Millis = SECOND;
/** How long a caller has to take the last of its answer. */
const SLOW_READER_TIMEOUT: Millis = 30 * SECOND;
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
]);

/** Writes the answer to one caller. */
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
   * Times the answer from here on.
   * @param timer - told of each piece
   */
  setTimer(timer: AnswerTimer): void {
    this.timer = timer;
  }

  /**
   * Starts the upstream's answer.
   * @param status - HTTP status
   * @param headers - the upstream's headers
   */
  writeHead(status: number, headers: Readonly<Record<string, string>>): void {
    this.res.statusCode = status;
    for (const [name, value] of Object.entries(headers)) {
      if (!HOP_BY_HOP.has(name)) this.res.setHeader(name, value);
    }
    this.res.setHeader('baobabspan-outcome', 'done');
    this.res.setHeader('baobabspan-call-id', this.callId);
    this.res.flushHeaders();
  }

  /**
   * Writes a piece of the answer.
   * @param bytes - the piece
   * @returns whether more may be written at once
   */
  writeBody(bytes: Uint8Array): boolean {
    this.timer?.recordChunk();
    return this.res.write(bytes);
  }

  /** The answer is whole. */
  end(): void {
    this.res.end();
    const timer = setTimeout(() => this.res.destroy(), SLOW_READER_TIMEOUT);
    this.res.once('close', () => clearTimeout(timer));
  }

  /**
   * Makes the caller see that the answer is not whole: an error event where it
   * is a stream of events, and a connection that breaks off.
   * @param outcome - what is known of the call
   */
  abort({kind, reason}: Exclude<Outcome, {kind: 'done'}>): void {
    const type = String(this.res.getHeader('content-type') ?? '');
    // A caller that does not read would never take the event.
    const isRead = !this.res.writableNeedDrain;
    if (!type.startsWith('text/event-stream') || !isRead) {
      this.res.destroy();
      return;
    }
    const error = {type: `urn:baobabspan:error:${reason}`, reason};
    const data = JSON.stringify({error: {...error, outcome: kind}});
    const event = `event: error\ndata: ${data}\n\n`;
    this.res.write(event, () => this.res.destroy());
  }

  /**
   * Tells a final outcome when nothing of an answer was sent.
   * @param outcome - the outcome
   */
  sendOutcome(outcome: Exclude<Outcome, {kind: 'done'}>): void {
    this.writeProblem(outcome.kind, outcome.reason, '', outcome.retryAfterMs);
  }

  /**
   * Refuses a request that never became a call.
   * @param fault - why
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
      res.destroy();
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
