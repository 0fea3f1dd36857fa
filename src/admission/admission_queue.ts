import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {LoadReport} from '../routing/index.js';
import {AdaptiveConcurrency} from './adaptive_concurrency.js';
import {DrainRate} from './drain_rate.js';
import {FairQueue} from './fair_queue.js';
import {PrefillEstimate} from './prefill_estimate.js';
import type {Admission, Applicant, Refusal} from './types.js';

/** Bounds of one upstream's queue. */
export interface QueueLimits {
  /** Calls that run at a time. */
  readonly concurrency: number;
  /** Calls that wait. */
  readonly queue: number;
}

/** What a caller is told while nothing is known of the drain rate. */
const DEFAULT_RETRY_AFTER: Millis = SECOND;
const PACE_SMOOTHING = 0.2;
/** A queue that has not been empty for so long holds more than a burst. */
const STANDING_AFTER: Millis = SECOND;
/** Longest expected wait that such a queue takes on. */
const STANDING_WAIT: Millis = 200;
const MAX_RETRY_AFTER: Millis = 30 * SECOND;

/** Decides which calls run at an upstream, which wait and which are refused. */
export class AdmissionQueue {
  private readonly waiting = new FairQueue();
  private readonly running = new DrainRate();
  private readonly prefill = new PrefillEstimate();
  private readonly concurrency: AdaptiveConcurrency;
  private refused: Refusal[] = [];
  private now: Millis = 0;
  private msPerToken: Millis = 0;
  /** When a call last found nobody waiting. */
  private emptyAt: Millis = 0;

  /** @param limits - bounds of the queue */
  constructor(private limits: QueueLimits) {
    this.concurrency = new AdaptiveConcurrency(limits.concurrency);
  }

  /**
   * Takes new bounds; calls that run or wait are left alone.
   * @param limits - the new bounds
   */
  configure(limits: QueueLimits): void {
    this.limits = limits;
    this.concurrency.configure(limits.concurrency);
  }

  /**
   * A call asks to run. It may displace one that waits: see `takeRefused`.
   * @param now - present time
   * @param applicant - the call
   */
  offer(now: Millis, applicant: Applicant): Admission {
    this.now = now;
    if (applicant.deadlineAt <= now) {
      return {decision: 'refuse', reason: 'deadline_passed', retryAfterMs: 0};
    }
    this.refuseLate(now);
    if (now + this.prefillOf(applicant) >= applicant.deadlineAt) {
      return this.refusal('overloaded');
    }
    if (this.waiting.size === 0) this.emptyAt = now;
    const places = this.concurrency.current;
    if (this.running.running < places && this.waiting.size === 0) {
      this.waiting.passed(applicant);
      this.run(now, applicant);
      return {decision: 'start'};
    }
    if (this.comesTooLate(applicant)) return this.refusal('overloaded');
    if (this.waiting.size >= this.limits.queue) {
      const shed = this.waiting.displace(applicant);
      if (shed === undefined) return this.refusal('overloaded');
      this.shed(shed, 'overloaded');
    }
    this.waiting.add(applicant);
    return {decision: 'wait'};
  }

  /**
   * The first byte of a call's answer came.
   * @param now - present time
   * @param callId - the call
   */
  firstToken(now: Millis, callId: CallId): void {
    const perBlock = this.prefill.firstToken(now, callId);
    if (perBlock === undefined) return;
    this.concurrency.sample(perBlock, this.running.running);
  }

  /**
   * A whole answer was streamed.
   * @param took - time from its first to its last token, ms
   * @param tokens - its tokens
   */
  streamed(took: Millis, tokens: number): void {
    if (tokens < 2) return;
    const pace = took / (tokens - 1);
    if (this.msPerToken === 0) this.msPerToken = pace;
    this.msPerToken += PACE_SMOOTHING * (pace - this.msPerToken);
  }

  /**
   * A call ended or was cancelled, whether it ran or waited.
   * @param now - present time
   * @param callId - the call
   * @returns the calls that start now
   */
  end(now: Millis, callId: CallId): CallId[] {
    this.now = now;
    this.waiting.remove(callId);
    this.prefill.end(callId);
    this.running.end(now, callId);
    return this.startNext(now);
  }

  /**
   * Refuses what waited past its deadline.
   * @param now - present time
   */
  sweep(now: Millis): void {
    this.now = now;
    this.refuseLate(now);
  }

  /** Hands over the waiting calls that were refused since it was last asked. */
  takeRefused(): Refusal[] {
    const {refused} = this;
    this.refused = [];
    return refused;
  }

  /** What to tell the entries. */
  report(): LoadReport {
    const concurrency = this.concurrency.current;
    return {
      queued: this.waiting.size,
      running: this.running.running,
      concurrency,
      drainPerSecond: this.running.perSecond(this.now, concurrency),
      pendingBlocks: this.prefill.pendingBlocks,
      msPerBlock: this.prefill.msPerBlock,
      msPerToken: this.msPerToken,
    };
  }

  private run(now: Millis, {callId, blocks = 1}: Applicant): void {
    this.running.start(now, callId);
    this.prefill.start(now, callId, Math.max(1, blocks));
  }

  private startNext(now: Millis): CallId[] {
    this.refuseLate(now);
    const started: CallId[] = [];
    while (this.running.running < this.concurrency.current) {
      const next = this.waiting.take();
      if (next === undefined) break;
      this.run(now, next);
      started.push(next.callId);
    }
    return started;
  }

  private refuseLate(now: Millis): void {
    for (const late of this.waiting.takeLate(now)) {
      this.shed(late, 'deadline_passed');
    }
  }

  private shed({callId}: Applicant, reason: ErrorName): void {
    this.refused.push({callId, reason, retryAfterMs: this.retryAfter()});
  }

  private refusal(reason: ErrorName): Admission {
    return {decision: 'refuse', reason, retryAfterMs: this.retryAfter()};
  }

  /** Expected time from a call's start to its first token. */
  private prefillOf({blocks = 1}: Applicant): Millis {
    const {pendingBlocks, msPerBlock} = this.prefill;
    return (pendingBlocks + Math.max(1, blocks)) * msPerBlock;
  }

  /**
   * Whether a call that has to wait would be over after its deadline, or would
   * only make a queue longer that does not empty any more.
   */
  private comesTooLate(applicant: Applicant): boolean {
    const places = this.concurrency.current;
    const turn = this.running.turn(this.now, places);
    const wait = (this.waiting.ahead(applicant) + 1) * turn;
    const overAt = this.now + wait + places * turn;
    if (overAt >= applicant.deadlineAt) return true;
    const standing = this.now - this.emptyAt > STANDING_AFTER;
    return standing && wait > STANDING_WAIT;
  }

  private retryAfter(): Millis {
    const turn = this.running.turn(this.now, this.concurrency.current);
    if (turn === 0) return DEFAULT_RETRY_AFTER;
    const wait = Math.ceil((this.waiting.size + 1) * turn);
    return Math.min(MAX_RETRY_AFTER, wait);
  }
}
