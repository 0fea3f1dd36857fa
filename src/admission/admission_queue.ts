import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {LoadReport} from '../routing/index.js';
import {AdaptiveConcurrency} from './adaptive_concurrency.js';
import {DrainRate} from './drain_rate.js';
import {FairQueue} from './fair_queue.js';
import {PrefillEstimate} from './prefill_estimate.js';
import type {AdmissionDecision, AdmissionRequest, ShedCall} from './types.js';

/** Limits of one upstream's queue. */
export interface QueueLimits {
  /** Most calls that run at a time. */
  readonly concurrency: number;
  /** Most calls that wait. */
  readonly queue: number;
}

/** `Retry-After` while the drain rate is unknown. */
const FALLBACK_RETRY_AFTER: Millis = SECOND;
/** EWMA weight of a new sample in the time per token. */
const TOKEN_TIME_SMOOTHING = 0.2;
/** A queue not empty for this long is a standing queue, not a burst. */
const STANDING_QUEUE_AGE: Millis = SECOND;
/** Longest expected wait with which a standing queue accepts a call. */
const MAX_STANDING_QUEUE_WAIT: Millis = 200;
const MAX_RETRY_AFTER: Millis = 30 * SECOND;

/**
 * Admission controller of one upstream: starts, queues or rejects each call.
 * Sheds calls early that would miss their deadline or prolong a standing queue.
 */
export class AdmissionQueue {
  private readonly waiting = new FairQueue();
  private readonly drainRate = new DrainRate();
  private readonly prefill = new PrefillEstimate();
  private readonly concurrency: AdaptiveConcurrency;
  private shedCalls: ShedCall[] = [];
  private now: Millis = 0;
  private msPerToken: Millis = 0;
  /** When a call last arrived at an empty queue. */
  private lastEmptyAt: Millis = 0;

  /** @param limits - limits of the queue */
  constructor(private limits: QueueLimits) {
    this.concurrency = new AdaptiveConcurrency(limits.concurrency);
  }

  /**
   * Applies new limits; calls that run or wait aren't affected.
   * @param limits - the new limits
   */
  configure(limits: QueueLimits): void {
    this.limits = limits;
    this.concurrency.configure(limits.concurrency);
  }

  /**
   * Starts, queues or rejects a call. It may displace a queued call, which
   * `takeShedCalls` then returns.
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
   * Records the first byte of a call's answer.
   * @param now - present time
   * @param callId - the call
   */
  recordFirstToken(now: Millis, callId: CallId): void {
    const blockTime = this.prefill.recordFirstToken(now, callId);
    if (blockTime === undefined) return;
    this.concurrency.addSample(blockTime, this.drainRate.running);
  }

  /**
   * Records an answer that was streamed completely.
   * @param duration - time from its first to its last token, ms
   * @param tokens - number of its tokens
   */
  recordStream(duration: Millis, tokens: number): void {
    if (tokens < 2) return;
    const tokenTime = duration / (tokens - 1);
    if (this.msPerToken === 0) this.msPerToken = tokenTime;
    this.msPerToken += TOKEN_TIME_SMOOTHING * (tokenTime - this.msPerToken);
  }

  /**
   * Removes a call that ended or was cancelled, running or queued.
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
   * Sheds the queued calls whose deadline has passed.
   * @param now - present time
   */
  sweep(now: Millis): void {
    this.now = now;
    this.shedExpired(now);
  }

  /** Returns the queued calls that were shed since the last call of this. */
  takeShedCalls(): ShedCall[] {
    const {shedCalls} = this;
    this.shedCalls = [];
    return shedCalls;
  }

  /** Returns the load report for the entries. */
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

  /** Returns the expected time from a call's start to its first token. */
  private estimatePrefill({blocks = 1}: AdmissionRequest): Millis {
    const {pendingBlocks, msPerBlock} = this.prefill;
    return (pendingBlocks + Math.max(1, blocks)) * msPerBlock;
  }

  /**
   * Returns whether a call that has to wait would end after its deadline, or
   * would prolong a standing queue.
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
