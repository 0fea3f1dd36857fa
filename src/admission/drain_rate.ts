import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

const SMOOTHING = 0.1;

/** How many calls a second an upstream can finish. */
export class DrainRate {
  private readonly startedAt = new Map<CallId, Millis>();
  private meanDuration: Millis = 0;

  /** Calls that run. */
  get running(): number {
    return this.startedAt.size;
  }

  /**
   * Whether a call runs.
   * @param callId - the call
   */
  has(callId: CallId): boolean {
    return this.startedAt.has(callId);
  }

  /**
   * A call starts.
   * @param now - present time
   * @param callId - the call
   */
  recordStart(now: Millis, callId: CallId): void {
    this.startedAt.set(callId, now);
  }

  /**
   * A call ended.
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
   * Time between two ends when all places are taken, or 0 when not known.
   * Calls that run longer than usual count as slow before they end, so that
   * a hung upstream is seen.
   * @param now - present time
   * @param slots - calls that run at a time
   */
  completionInterval(now: Millis, slots: number): Millis {
    let totalAge = 0;
    for (const startedAt of this.startedAt.values())
      totalAge += now - startedAt;
    const meanAge = this.running === 0 ? 0 : totalAge / this.running;
    return Math.max(this.meanDuration, meanAge) / slots;
  }

  /**
   * Ends a second when all places are taken; 0 when not known.
   * @param now - present time
   * @param slots - calls that run at a time
   */
  perSecond(now: Millis, slots: number): number {
    const interval = this.completionInterval(now, slots);
    return interval === 0 ? 0 : SECOND / interval;
  }
}
