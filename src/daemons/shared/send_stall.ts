import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/** Longest time between two checks that counts; more is a pause of the process. */
const MAX_CHECK_GAP: Millis = SECOND / 4;

/** Measures for how long a connection has taken none of the bytes written to it. */
export class SendStall {
  private unsentBytes = 0;
  private checkedAt: Millis = 0;
  private stalledTime: Millis = 0;

  /**
   * Records the bytes that wait; to be called several times in a second.
   * @param now - current time
   * @param unsentBytes - bytes of ended responses that have not left the process
   * @returns time for which none of them has left
   */
  record(now: Millis, unsentBytes: number): Millis {
    const gap = Math.min(now - this.checkedAt, MAX_CHECK_GAP);
    const hasMoved = unsentBytes === 0 || unsentBytes !== this.unsentBytes;
    this.stalledTime = hasMoved ? 0 : this.stalledTime + gap;
    this.unsentBytes = unsentBytes;
    this.checkedAt = now;
    return this.stalledTime;
  }
}
