import type {CallId, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

const SMOOTHING = 0.1;

/** How many calls a second an upstream can finish. */
export class DrainRate {
  private readonly startedAt = new Map<CallId, Millis>();
  private meanTime: Millis = 0;

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
  start(now: Millis, callId: CallId): void {
    this.startedAt.set(callId, now);
  }

  /**
   * A call ended.
   * @param now - present time
   * @param callId - the call
   * @returns whether it ran
   */
  end(now: Millis, callId: CallId): boolean {
    const startedAt = this.startedAt.get(callId);
    if (startedAt === undefined) return false;
    this.startedAt.delete(callId);
    const took = now - startedAt;
    if (this.meanTime === 0) this.meanTime = took;
    this.meanTime += SMOOTHING * (took - this.meanTime);
    return true;
  }

  /**
   * Time between two ends when all places are taken, or 0 when not known.
   * Calls that run longer than usual count as slow before they end, so that
   * a hung upstream is seen.
   * @param now - present time
   * @param places - calls that run at a time
   */
  turn(now: Millis, places: number): Millis {
    let age = 0;
    for (const startedAt of this.startedAt.values()) age += now - startedAt;
    const meanAge = this.running === 0 ? 0 : age / this.running;
    return Math.max(this.meanTime, meanAge) / places;
  }

  /**
   * Ends a second when all places are taken; 0 when not known.
   * @param now - present time
   * @param places - calls that run at a time
   */
  perSecond(now: Millis, places: number): number {
    const turn = this.turn(now, places);
    return turn === 0 ? 0 : SECOND / turn;
  }
}
