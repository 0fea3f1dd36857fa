import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Rank} from '../types.js';
import {claimOfToken} from './tokens.js';

/** A coordinator that is silent this long is replaced. */
const COORDINATOR_TIMEOUT: Millis = 1.5 * SECOND;
/**
 * The same, while the group waits for a release at this rank. A coordinator
 * speaks to the ranks several times as often meanwhile.
 */
const COORDINATOR_TIMEOUT_WHILE_HELD: Millis = 0.3 * SECOND;
/** A claim that was only found in the store has this long to be heard. */
const CLAIM_GRACE_PERIOD: Millis = 0.8 * SECOND;
/** Each rank waits this much longer: a claim takes that long to be heard. */
const CLAIM_STAGGER: Millis = SECOND / 2;
/** A coordinator that stepped down leaves the next claim to the others. */
const RESIGNATION_DELAY: Millis = 4 * SECOND;

/**
 * Decides when a rank's sidecar claims to coordinate its group. The ranks
 * wait one after the other, so that mostly one claims; the platform's store
 * orders claims, and the engines refuse the older of two.
 */
export class SuccessionTimer {
  private lastContactAt: Millis;
  private earliestClaimAt: Millis = -Infinity;
  private maxToken = 0;
  private recordedClaim = 0;

  /** @param now - present time */
  constructor(now: Millis) {
    this.lastContactAt = now;
  }

  /** The highest token that was seen. */
  get highestToken(): number {
    return this.maxToken;
  }

  /** The newest claim that was heard or seen in the store. */
  get highestClaim(): number {
    return Math.max(this.recordedClaim, claimOfToken(this.maxToken));
  }

  /**
   * Another claim lies in the store. Its sidecar may still be looking for the
   * ranks, or have ended long ago: it gets some time to be heard. Load that it
   * answers: all sidecars start at once, and each would depose the one before.
   * @param now - present time
   * @param claim - the claim
   */
  recordClaim(now: Millis, claim: number): void {
    if (claim <= this.highestClaim) return;
    this.recordedClaim = claim;
    this.lastContactAt = now - COORDINATOR_TIMEOUT + CLAIM_GRACE_PERIOD;
  }

  /**
   * A coordinator speaks.
   * @param now - present time
   * @param token - its token
   * @returns whether it is the newest one known
   */
  recordContact(now: Millis, token: number): boolean {
    if (claimOfToken(token) < claimOfToken(this.maxToken)) return false;
    this.maxToken = Math.max(this.maxToken, token);
    this.lastContactAt = now;
    return true;
  }

  /**
   * This process stepped down.
   * @param now - present time
   */
  recordResignation(now: Millis): void {
    this.lastContactAt = now;
    this.earliestClaimAt = now + RESIGNATION_DELAY;
  }

  /**
   * Whether to claim now.
   * @param now - present time
   * @param rank - rank of this sidecar
   * @param isHolding - whether that rank holds its group
   */
  shouldClaim(now: Millis, rank: Rank, isHolding: boolean): boolean {
    if (now < this.earliestClaimAt) return false;
    const timeout = isHolding
      ? COORDINATOR_TIMEOUT_WHILE_HELD
      : COORDINATOR_TIMEOUT + rank * CLAIM_STAGGER;
    return now - this.lastContactAt >= timeout;
  }
}
