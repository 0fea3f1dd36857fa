import type {Millis, RecordId} from '../core/index.js';
import type {Claim, ClaimRecord} from './claim_records.js';

/** Maximum number of claims, and of releases, in one record. */
const MAX_ITEMS = 500;

/**
 * Batches an entry's appends to the claims stream. One record is in flight at a
 * time: it is retried under the same id until the log has confirmed it, so that
 * a lost answer neither loses nor duplicates it.
 */
export class ClaimBatcher {
  private claims: Claim[] = [];
  private releases: string[] = [];
  private inFlight: ClaimRecord | undefined;

  /**
   * Adds a claim to the next record.
   * @param claim - the claim
   */
  addClaim(claim: Claim): void {
    this.claims.push(claim);
  }

  /**
   * Adds releases to the next record.
   * @param ids - ids of claims that never ran
   */
  addReleases(ids: readonly string[]): void {
    this.releases.push(...ids);
  }

  /**
   * Withdraws a claim that is no longer needed. If it may already be in the
   * log, a release is appended after it.
   * @param id - the claim's id
   */
  withdraw(id: string): void {
    const queued = this.claims.length;
    this.claims = this.claims.filter(claim => claim.id !== id);
    if (this.claims.length === queued) this.addReleases([id]);
  }

  /**
   * Returns the record to append now.
   * @param wall - wall-clock time, ms since 1970
   * @param createId - creates the id of a new record
   * @returns the record in flight, a new one, or undefined if there is none
   */
  next(wall: number, createId: () => RecordId): ClaimRecord | undefined {
    if (this.inFlight !== undefined) return this.inFlight;
    if (this.claims.length + this.releases.length === 0) return undefined;
    this.inFlight = {
      kind: 'claims',
      id: createId(),
      wall,
      releases: this.releases.splice(0, MAX_ITEMS),
      claims: this.claims.splice(0, MAX_ITEMS),
    };
    return this.inFlight;
  }

  /**
   * Marks a record as stored in the log.
   * @param id - the record's id
   */
  confirm(id: RecordId): void {
    if (this.inFlight?.id === id) this.inFlight = undefined;
  }
}

/** Time in which a claim must reach the log; then its call is rejected. */
export const CLAIM_TIMEOUT: Millis = 4_000;
