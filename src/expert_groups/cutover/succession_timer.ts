import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Rank} from '../types.js';
import {claimOfToken} from './tokens.js';

/** A coordinator without contact for this long is replaced. */
const COORDINATOR_TIMEOUT: Millis = 1.5 * SECOND;
/**
 * Timeout while the group waits for a release at this rank. The coordinator
 * contacts the ranks several times as often then.
 */
const COORDINATOR_TIMEOUT_WHILE_HELD: Millis = 0.3 * SECOND;
/** Time for the coordinator of a claim found in the store to make contact. */
const CLAIM_GRACE_PERIOD: Millis = 0.8 * SECOND;
/** Extra delay per rank; a claim takes this long to reach the other ranks. */
const CLAIM_STAGGER: Millis = SECOND / 2;
/** Delay after a resignation, which leaves the next claim to other ranks. */
const RESIGNATION_DELAY: Millis = 4 * SECOND;

/**
 * Heartbeat timeout after which a rank's sidecar claims to be the successor
 * coordinator of its group. Timeouts are staggered by rank, so that mostly one
 * rank claims; the platform's store orders claims, and the engines reject
 * orders of the older of two.
 */
export class SuccessionTimer {
  private lastContactAt: Millis;
  private earliestClaimAt: Millis = -Infinity;
  private maxToken = 0;
  private recordedClaim = 0;

  /** @param now - current time */
  constructor(now: Millis) {
    this.lastContactAt = now;
  }

  /** Highest fencing token seen. */
  get highestToken(): number {
    return this.maxToken;
  }

  /** Highest claim known from a coordinator's contact or from the store. */
  get highestClaim(): number {
    return Math.max(this.recordedClaim, claimOfToken(this.maxToken));
  }

  /**
   * Records a claim found in the store. Its sidecar may still be locating the
   * ranks, or have ended long ago, so it gets a grace period to make contact.
   * Without it, sidecars that all start at once would depose one another.
   * @param now - current time
   * @param claim - number of the claim
   */
  recordClaim(now: Millis, claim: number): void {
    if (claim <= this.highestClaim) return;
    this.recordedClaim = claim;
    this.lastContactAt = now - COORDINATOR_TIMEOUT + CLAIM_GRACE_PERIOD;
  }

  /**
   * Records that no claim of a live process can exist: the group has none, or
   * the newest is of this sidecar's previous incarnation. The former lets the
   * ranks claim by turns without a timeout, the latter this rank at once; after
   * a restart of all sidecars, the others wait for it.
   * @param now - current time
   * @param ownClaim - claim of the previous incarnation, if there is one
   */
  recordVacancy(now: Millis, ownClaim?: number): void {
    if (this.highestToken > 0) return;
    if (ownClaim === undefined) {
      this.lastContactAt = now - COORDINATOR_TIMEOUT;
      return;
    }
    this.recordedClaim = Math.max(this.recordedClaim, ownClaim);
    this.lastContactAt = -Infinity;
  }

  /**
   * Records contact from a coordinator.
   * @param now - current time
   * @param token - its fencing token
   * @returns whether no newer coordinator is known
   */
  recordContact(now: Millis, token: number): boolean {
    if (claimOfToken(token) < claimOfToken(this.maxToken)) return false;
    this.maxToken = Math.max(this.maxToken, token);
    this.lastContactAt = now;
    return true;
  }

  /**
   * Records that this sidecar's coordinator has resigned.
   * @param now - current time
   */
  recordResignation(now: Millis): void {
    this.lastContactAt = now;
    this.earliestClaimAt = now + RESIGNATION_DELAY;
  }

  /**
   * Returns whether to claim now.
   * @param now - current time
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
