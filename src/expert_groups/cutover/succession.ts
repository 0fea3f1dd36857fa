import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Rank} from '../types.js';
import {TOKENS_PER_CLAIM} from './types.js';

/** A coordinator that is silent this long is replaced. */
const SILENT_AFTER: Millis = 1.5 * SECOND;
/** Each rank waits this much longer: a claim takes that long to be heard. */
const STAGGER: Millis = SECOND / 2;
/** A coordinator that stepped down leaves the next claim to the others. */
const AFTER_RESIGNING: Millis = 4 * SECOND;

/**
 * Decides when a rank's sidecar claims to coordinate its group. The ranks
 * wait one after the other, so that mostly one claims; the platform's store
 * orders claims, and the engines refuse the older of two.
 */
export class Succession {
  private heardAt: Millis;
  private notBefore: Millis = -Infinity;
  private highest = 0;

  /** @param now - present time */
  constructor(now: Millis) {
    this.heardAt = now;
  }

  /** The highest token that was seen. */
  get highestToken(): number {
    return this.highest;
  }

  /**
   * A coordinator speaks.
   * @param now - present time
   * @param token - its token
   * @returns whether it is the newest one known
   */
  heard(now: Millis, token: number): boolean {
    const claim = (of: number) => Math.floor(of / TOKENS_PER_CLAIM);
    if (claim(token) < claim(this.highest)) return false;
    this.highest = Math.max(this.highest, token);
    this.heardAt = now;
    return true;
  }

  /**
   * This process stepped down.
   * @param now - present time
   */
  resigned(now: Millis): void {
    this.heardAt = now;
    this.notBefore = now + AFTER_RESIGNING;
  }

  /**
   * Whether to claim now.
   * @param now - present time
   * @param rank - rank of this sidecar
   */
  isDue(now: Millis, rank: Rank): boolean {
    const silence = now - this.heardAt;
    return now >= this.notBefore && silence >= SILENT_AFTER + rank * STAGGER;
  }
}
