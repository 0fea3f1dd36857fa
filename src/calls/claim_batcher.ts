import type {Millis, RecordId} from '../core/index.js';
import type {Claim, ClaimRecord} from './claim_records.js';

/** Claims and releases that one record carries at most. */
const MAX_ITEMS = 500;

/**
 * Gathers what an entry has to append to the claims stream. One record is in
 * flight at a time: it is appended again under its own id until the log has
 * confirmed it, so that a lost answer neither loses nor doubles it.
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
   * @param ids - claims that never ran
   */
  addReleases(ids: readonly string[]): void {
    this.releases.push(...ids);
  }

  /**
   * Withdraws a claim that nobody waits for any longer. Once it may be in the
   * log, a release follows it.
   * @param id - the claim
   */
  withdraw(id: string): void {
    const queued = this.claims.length;
    this.claims = this.claims.filter(claim => claim.id !== id);
    if (this.claims.length === queued) this.addReleases([id]);
  }

  /**
   * The record to append now.
   * @param wall - wall-clock time, ms since 1970
   * @param createId - makes the id of a new record
   * @returns the record in flight, or a new one, or nothing
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
   * The log showed or confirmed a record.
   * @param id - the record
   */
  confirm(id: RecordId): void {
    if (this.inFlight?.id === id) this.inFlight = undefined;
  }
}

/** When a claim has to be in the log, after which its call is refused. */
export const CLAIM_TIMEOUT: Millis = 4_000;
