import {PRIORITIES} from '../configuration/index.js';
import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {LoadReport} from '../routing/index.js';
import type {Admission, Applicant} from './types.js';

/** Bounds of one upstream's queue. */
export interface QueueLimits {
  /** Calls that run at a time. */
  readonly concurrency: number;
  /** Calls that wait. */
  readonly queue: number;
}

/** Weight of the newest span between two ends in the drain rate. */
const DRAIN_SMOOTHING = 0.1;

/** Decides which calls run at an upstream, which wait and which are refused. */
export class AdmissionQueue {
  private readonly running = new Set<CallId>();
  private waiting: Applicant[] = [];
  private lastEndAt: Millis | undefined;
  private drainPerSecond = 0;

  /** @param limits - bounds of the queue */
  constructor(private limits: QueueLimits) {}

  /**
   * Takes new bounds; calls that run or wait are left alone.
   * @param limits - the new bounds
   */
  configure(limits: QueueLimits): void {
    this.limits = limits;
  }

  /**
   * A call asks to run.
   * @param now - present time
   * @param applicant - the call
   */
  offer(now: Millis, applicant: Applicant): Admission {
    const {reason, retryAfterMs} = {
      reason: 'overloaded' as const,
      retryAfterMs: this.retryAfter(),
    };
    if (applicant.deadlineAt <= now) {
      return {decision: 'refuse', reason: 'deadline_passed', retryAfterMs: 0};
    }
    if (this.running.size < this.limits.concurrency) {
      this.running.add(applicant.callId);
      return {decision: 'start'};
    }
    if (this.waiting.length >= this.limits.queue) {
      return {decision: 'refuse', reason, retryAfterMs};
    }
    this.waiting.push(applicant);
    return {decision: 'wait'};
  }

  /**
   * A call ended or was cancelled, whether it ran or waited.
   * @param now - present time
   * @param callId - the call
   * @returns the calls that start now
   */
  end(now: Millis, callId: CallId): CallId[] {
    this.waiting = this.waiting.filter(waiting => waiting.callId !== callId);
    if (this.running.delete(callId)) this.measure(now);
    return this.startNext();
  }

  /** What to tell the entries. */
  report(): LoadReport {
    return {
      queued: this.waiting.length,
      running: this.running.size,
      concurrency: this.limits.concurrency,
      drainPerSecond: this.drainPerSecond,
    };
  }

  private startNext(): CallId[] {
    const started: CallId[] = [];
    while (
      this.running.size < this.limits.concurrency &&
      this.waiting.length > 0
    ) {
      const next = this.takeMostUrgent();
      this.running.add(next.callId);
      started.push(next.callId);
    }
    return started;
  }

  private takeMostUrgent(): Applicant {
    const rank = ({priority}: Applicant) => PRIORITIES.indexOf(priority);
    const next = this.waiting.reduce((best, other) =>
      rank(other) > rank(best) ? other : best,
    );
    this.waiting.splice(this.waiting.indexOf(next), 1);
    return next;
  }

  private measure(now: Millis): void {
    if (this.lastEndAt !== undefined && now > this.lastEndAt) {
      const rate = SECOND / (now - this.lastEndAt);
      this.drainPerSecond += DRAIN_SMOOTHING * (rate - this.drainPerSecond);
    }
    this.lastEndAt = now;
  }

  private retryAfter(): Millis {
    if (this.drainPerSecond === 0) return SECOND;
    const ahead = this.waiting.length + 1;
    return Math.ceil((ahead / this.drainPerSecond) * SECOND);
  }
}
