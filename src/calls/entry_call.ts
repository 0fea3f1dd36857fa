import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {AnswerMessage} from './messages.js';
import {NotRunProof} from './not_run_proof.js';
import type {CallRequest, EntryEffect, Outcome} from './types.js';

/** Attempts after the first that a call may get. */
const MAX_RETRIES = 2;
/** Frames that a sidecar may send ahead of the caller. */
const WINDOW_FRAMES = 64;
/** When coming back makes sense if nothing better is known. */
const DEFAULT_RETRY_AFTER: Millis = SECOND;

type State = 'choosing' | 'dispatched' | 'answering' | 'settled';

/**
 * One call as its entry sees it, from the request to the caller's last byte.
 * Each method takes one event and returns what has to be done.
 */
export class EntryCall {
  private state: State = 'choosing';
  private attempt = 0;
  private upstream: Incarnation | undefined;
  private readonly tried: Incarnation[] = [];
  private nextSeq = 0;
  private bytes = 0;
  private proof: NotRunProof | undefined = NotRunProof.nothingSent();
  /** Whether an earlier attempt ended without telling if it ran. */
  private mayHaveRun = false;

  /** @param request - the caller's request */
  constructor(readonly request: CallRequest) {}

  /** Whether the caller got its last byte. */
  get settled(): boolean {
    return this.state === 'settled';
  }

  /** Starts the call. */
  start(): EntryEffect[] {
    return [this.choose(undefined)];
  }

  /**
   * An upstream was chosen.
   * @param now - present time
   * @param upstream - the upstream's process
   */
  chosen(now: Millis, upstream: Incarnation): EntryEffect[] {
    if (this.state !== 'choosing') return [];
    const remainingMs = this.request.deadlineAt - now;
    if (remainingMs <= 0) return this.deadline();
    this.state = 'dispatched';
    this.attempt += 1;
    this.upstream = upstream;
    this.tried.push(upstream);
    this.proof = undefined;
    this.nextSeq = 0;
    const {callId, service, organisation, weight, priority} = this.request;
    const {idempotent, method, path, headers, body} = this.request;
    const {prefix, cost} = this.request;
    return [
      {
        type: 'send',
        to: upstream,
        message: {
          type: 'call',
          callId,
          attempt: this.attempt,
          service,
          organisation,
          weight,
          priority,
          idempotent,
          remainingMs,
          method,
          path,
          headers: {...headers},
          body: body as Uint8Array<ArrayBuffer>,
          ...(prefix && {prefix: [...prefix]}),
          ...(cost && {cost}),
          credit: WINDOW_FRAMES,
        },
      },
    ];
  }

  /**
   * No upstream can be had.
   * @param reason - why
   * @param retryAfterMs - when coming back makes sense, ms
   */
  noneToChoose(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    if (this.state !== 'choosing') return [];
    return this.giveUp(reason, retryAfterMs);
  }

  /**
   * The message could not be handed to any link: nothing left this process.
   */
  unsent(): EntryEffect[] {
    if (this.state !== 'dispatched') return [];
    this.proof = NotRunProof.nothingSent();
    return this.retryOr('no_upstream', DEFAULT_RETRY_AFTER);
  }

  /**
   * A sidecar's message about the call.
   * @param message - the message
   */
  receive(message: AnswerMessage): EntryEffect[] {
    if (this.state === 'settled') return [{type: 'drop', why: 'settled'}];
    if (message.attempt !== this.attempt) return [{type: 'drop', why: 'late'}];
    switch (message.type) {
      case 'refused':
        this.proof = NotRunProof.refusedBy(message);
        return this.retryOr(message.reason, message.retryAfterMs);
      case 'head':
        if (this.nextSeq !== 0) return [{type: 'drop', why: 'late'}];
        this.nextSeq = 1;
        this.state = 'answering';
        return [
          {type: 'head', status: message.status, headers: message.headers},
        ];
      case 'data':
        return this.take(message.seq, message.body);
      case 'end':
        return this.close(message.frames, message.bytes);
      case 'failed':
        return this.lost(message.reason);
    }
  }

  /** The link to the upstream was lost. */
  linkLost(): EntryEffect[] {
    if (this.state !== 'dispatched' && this.state !== 'answering') return [];
    return this.lost('upstream_lost');
  }

  /** The deadline passed. */
  deadline(): EntryEffect[] {
    if (this.state === 'settled') return [];
    return [...this.cancel(), ...this.giveUp('deadline_passed', 0)];
  }

  /** The caller went away. */
  callerGone(): EntryEffect[] {
    if (this.state === 'settled') return [];
    const effects = this.cancel();
    this.state = 'settled';
    return effects;
  }

  /**
   * The caller took frames: lets the sidecar send more.
   * @param frames - how many
   */
  consumed(frames: number): EntryEffect[] {
    if (this.state !== 'answering' || this.upstream === undefined) return [];
    const {callId} = this.request;
    const {attempt} = this;
    const message = {type: 'credit', callId, attempt, frames} as const;
    return [{type: 'send', to: this.upstream, message}];
  }

  private take(seq: number, body: Uint8Array): EntryEffect[] {
    if (seq < this.nextSeq) return [{type: 'drop', why: 'late'}];
    if (seq > this.nextSeq) return this.lost('upstream_failed');
    this.nextSeq += 1;
    this.bytes += body.byteLength;
    return [{type: 'body', bytes: body}];
  }

  private close(frames: number, bytes: number): EntryEffect[] {
    const whole = frames === this.nextSeq - 1 && bytes === this.bytes;
    if (!whole) return this.lost('upstream_failed');
    this.state = 'settled';
    return [{type: 'end'}];
  }

  /** The attempt ended without a whole answer and may have run. */
  private lost(reason: ErrorName): EntryEffect[] {
    this.mayHaveRun = true;
    if (this.state === 'answering') return this.giveUp(reason, 0);
    if (this.request.idempotent) return this.retryOr(reason, 0);
    return this.giveUp(reason, 0);
  }

  private retryOr(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    if (this.attempt > MAX_RETRIES) return this.giveUp(reason, retryAfterMs);
    this.state = 'choosing';
    return [this.choose(reason)];
  }

  private choose(retryOf: ErrorName | undefined): EntryEffect {
    return {type: 'choose', exclude: [...this.tried], retryOf};
  }

  private giveUp(reason: ErrorName, retryAfterMs: Millis): EntryEffect[] {
    const delivered = this.state === 'answering';
    this.state = 'settled';
    const outcome: Outcome =
      this.proof === undefined || this.mayHaveRun
        ? {kind: 'unknown', reason, retryAfterMs}
        : {kind: 'not-run', reason, proof: this.proof, retryAfterMs};
    return [{type: delivered ? 'abort' : 'finish', outcome}];
  }

  private cancel(): EntryEffect[] {
    if (this.upstream === undefined) return [];
    const {callId} = this.request;
    const message = {type: 'cancel', callId, attempt: this.attempt} as const;
    return [{type: 'send', to: this.upstream, message}];
  }
}
