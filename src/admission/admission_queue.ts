import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {LoadReport} from '../routing/index.js';
import {AdaptiveConcurrency} from './adaptive_concurrency.js';
import {DrainRate} from './drain_rate.js';
import {FairQueue} from './fair_queue.js';
import {PrefillEstimate} from './prefill_estimate.js';
import type {AdmissionDecision, AdmissionRequest, ShedCall} from './types.js';

/** Bounds of one upstream's queue. */
export interface QueueLimits {
  /** Calls that run at a time. */
  readonly concurrency: number;
  /** Calls that wait. */
  readonly queue: number;
}

/** What a caller is told while nothing is known of the drain rate. */
const FALLBACK_RETRY_AFTER: Millis = SECOND;
const TOKEN_TIME_SMOOTHING = 0.2;
/** A queue that has not been empty for so long holds more than a burst. */
const STANDING_QUEUE_AGE: Millis = SECOND;
/** Longest expected wait that such a queue takes on. */
const MAX_STANDING_QUEUE_WAIT: Millis = 200;
const MAX_RETRY_AFTER: Millis = 30 * SECOND;

/** Decides which calls run at an upstream, which wait and which are refused. */
export class AdmissionQueue {
  private readonly waiting = new FairQueue();
  private readonly drainRate = new DrainRate();
  private readonly prefill = new PrefillEstimate();
  private readonly concurrency: AdaptiveConcurrency;
  private shedCalls: ShedCall[] = [];
  private now: Millis = 0;
  private msPerToken: Millis = 0;
  /** When a call last found nobody waiting. */
  private lastEmptyAt: Millis = 0;

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
   * @param request - the call
   */
  offer(now: Millis, request: AdmissionRequest): AdmissionDecision {
    this.now = now;
    if (request.deadlineAt <= now) {
      return {decision: 'refuse', reason: 'deadline_passed', retryAfterMs: 0};
    }
    this.shedExpired(now);
    if (now + this.estimatePrefill(request) >= request.deadlineAt) {
      return this.reject('overloaded');
    }
    if (this.waiting.size === 0) this.lastEmptyAt = now;
    const slots = this.concurrency.current;
    if (this.drainRate.running < slots && this.waiting.size === 0) {
      this.waiting.chargeImmediate(request);
      this.start(now, request);
      return {decision: 'start'};
    }
    if (this.isOverloaded(request)) return this.reject('overloaded');
    if (this.waiting.size >= this.limits.queue) {
      const shed = this.waiting.displace(request);
      if (shed === undefined) return this.reject('overloaded');
      this.shed(shed, 'overloaded');
    }
    this.waiting.enqueue(request);
    return {decision: 'wait'};
  }

  /**
   * The first byte of a call's answer came.
   * @param now - present time
   * @param callId - the call
   */
  recordFirstToken(now: Millis, callId: CallId): void {
    const blockTime = this.prefill.recordFirstToken(now, callId);
    if (blockTime === undefined) return;
    this.concurrency.addSample(blockTime, this.drainRate.running);
  }

  /**
   * A whole answer was streamed.
   * @param duration - time from its first to its last token, ms
   * @param tokens - its tokens
   */
  recordStream(duration: Millis, tokens: number): void {
    if (tokens < 2) return;
    const tokenTime = duration / (tokens - 1);
    if (this.msPerToken === 0) this.msPerToken = tokenTime;
    this.msPerToken += TOKEN_TIME_SMOOTHING * (tokenTime - this.msPerToken);
  }

  /**
   * A call ended or was cancelled, whether it ran or waited.
   * @param now - present time
   * @param callId - the call
   * @returns the calls that start now
   */
  release(now: Millis, callId: CallId): CallId[] {
    this.now = now;
    this.waiting.remove(callId);
    this.prefill.recordEnd(callId);
    this.drainRate.recordEnd(now, callId);
    return this.startNext(now);
  }

  /**
   * Refuses what waited past its deadline.
   * @param now - present time
   */
  sweep(now: Millis): void {
    this.now = now;
    this.shedExpired(now);
  }

  /** Hands over the waiting calls that were refused since it was last asked. */
  takeShedCalls(): ShedCall[] {
    const {shedCalls} = this;
    this.shedCalls = [];
    return shedCalls;
  }

  /** What to tell the entries. */
  report(): LoadReport {
    const concurrency = this.concurrency.current;
    return {
      queued: this.waiting.size,
      running: this.drainRate.running,
      concurrency,
      drainPerSecond: this.drainRate.perSecond(this.now, concurrency),
      pendingBlocks: this.prefill.pendingBlocks,
      msPerBlock: this.prefill.msPerBlock,
      msPerToken: this.msPerToken,
    };
  }

  private start(now: Millis, {callId, blocks = 1}: AdmissionRequest): void {
    this.drainRate.recordStart(now, callId);
    this.prefill.recordStart(now, callId, Math.max(1, blocks));
  }

  private startNext(now: Millis): CallId[] {
    this.shedExpired(now);
    const started: CallId[] = [];
    while (this.drainRate.running < this.concurrency.current) {
      const next = this.waiting.dequeue();
      if (next === undefined) break;
      this.start(now, next);
      started.push(next.callId);
    }
    return started;
  }

  private shedExpired(now: Millis): void {
    for (const expired of this.waiting.removeExpired(now)) {
      this.shed(expired, 'deadline_passed');
    }
  }

  private shed({callId}: AdmissionRequest, reason: ErrorName): void {
    this.shedCalls.push({callId, reason, retryAfterMs: this.retryAfter()});
  }

  private reject(reason: ErrorName): AdmissionDecision {
    return {decision: 'refuse', reason, retryAfterMs: this.retryAfter()};
  }

  /** Expected time from a call's start to its first token. */
  private estimatePrefill({blocks = 1}: AdmissionRequest): Millis {
    const {pendingBlocks, msPerBlock} = this.prefill;
    return (pendingBlocks + Math.max(1, blocks)) * msPerBlock;
  }

  /**
   * Whether a call that has to wait would be over after its deadline, or would
   * only make a queue longer that does not empty any more.
   */
  private isOverloaded(request: AdmissionRequest): boolean {
    const slots = this.concurrency.current;
    const interval = this.drainRate.completionInterval(this.now, slots);
    const wait = (this.waiting.countAhead(request) + 1) * interval;
    const completesAt = this.now + wait + slots * interval;
    if (completesAt >= request.deadlineAt) return true;
    const isStandingQueue = this.now - this.lastEmptyAt > STANDING_QUEUE_AGE;
    return isStandingQueue && wait > MAX_STANDING_QUEUE_WAIT;
  }

  private retryAfter(): Millis {
    const interval = this.drainRate.completionInterval(
      this.now,
      this.concurrency.current,
    );
    if (interval === 0) return FALLBACK_RETRY_AFTER;
    const wait = Math.ceil((this.waiting.size + 1) * interval);
    return Math.min(MAX_RETRY_AFTER, wait);
  }
}
