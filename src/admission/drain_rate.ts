import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

const SMOOTHING = 0.1;

/**
 * Estimates how many calls per second an upstream can complete, from an EWMA
 * of their duration and the age of those that run.
 */
export class DrainRate {
  private readonly startedAt = new Map<CallId, Millis>();
  private meanDuration: Millis = 0;

  /** Number of running calls. */
  get running(): number {
    return this.startedAt.size;
  }

  /**
   * Returns whether a call runs.
   * @param callId - the call
   */
  has(callId: CallId): boolean {
    return this.startedAt.has(callId);
  }

  /**
   * Records that a call starts.
   * @param now - present time
   * @param callId - the call
   */
  recordStart(now: Millis, callId: CallId): void {
    this.startedAt.set(callId, now);
  }

  /**
   * Records that a call ended.
   * @param now - present time
   * @param callId - the call
   * @returns whether it ran
   */
  recordEnd(now: Millis, callId: CallId): boolean {
    const startedAt = this.startedAt.get(callId);
    if (startedAt === undefined) return false;
    this.startedAt.delete(callId);
    const duration = now - startedAt;
    if (this.meanDuration === 0) this.meanDuration = duration;
    this.meanDuration += SMOOTHING * (duration - this.meanDuration);
    return true;
  }

  /**
   * Returns the expected time between two completions while all slots are
   * occupied, ms; 0 if unknown. Includes the age of running calls, so that a
   * hung upstream is detected before any of them ends.
   * @param now - present time
   * @param slots - concurrency limit of the upstream
   */
  completionInterval(now: Millis, slots: number): Millis {
    let totalAge = 0;
    for (const startedAt of this.startedAt.values())
      totalAge += now - startedAt;
    const meanAge = this.running === 0 ? 0 : totalAge / this.running;
    return Math.max(this.meanDuration, meanAge) / slots;
  }

  /**
   * Returns the completions per second while all slots are occupied; 0 if
   * unknown.
   * @param now - present time
   * @param slots - concurrency limit of the upstream
   */
  perSecond(now: Millis, slots: number): number {
    const interval = this.completionInterval(now, slots);
    return interval === 0 ? 0 : SECOND / interval;
  }
}
