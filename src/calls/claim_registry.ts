import type {Offset, RecordId} from '../core/index.js';
import {keyScope} from './claim_records.js';
import type {Claim, ClaimRecord} from './claim_records.js';

interface AtOffset<T> {
  readonly value: T;
  readonly at: Offset;
}

/**
 * Projection of the claims stream. The first claim of a key in log order holds
 * the key until a release names it. The result depends only on the log.
 */
export class ClaimRegistry {
  private readonly holders = new Map<string, AtOffset<Claim>>();
  private readonly claims = new Map<string, AtOffset<Claim>>();
  private readonly released = new Map<string, Offset>();
  private readonly records = new Map<RecordId, AtOffset<number>>();
  private earliest = 0;

  /**
   * Applies the next record; a duplicate changes nothing.
   * @param at - the record's offset
   * @param record - the record
   */
  fold(at: Offset, record: ClaimRecord): void {
    if (this.records.has(record.id)) return;
    this.records.set(record.id, {value: record.wall, at});
    for (const id of record.releases) this.applyRelease(at, id);
    for (const claim of record.claims) this.applyClaim(at, claim);
  }

  /**
   * Returns the claim that holds a key.
   * @param scope - the key, see `keyScope`
   */
  find(scope: string): Claim | undefined {
    return this.holders.get(scope)?.value;
  }

  /**
   * Returns whether the log contains a claim.
   * @param id - the claim's id
   */
  hasSeen(id: string): boolean {
    return this.claims.has(id);
  }

  /**
   * Removes entries that the log no longer retains.
   * @param earliest - earliest offset that the log retains
   */
  pruneBefore(earliest: Offset): void {
    pruneWhile(this.holders, seen => seen.at < earliest);
    pruneWhile(this.claims, seen => seen.at < earliest);
    pruneWhile(this.released, at => at < earliest);
    pruneWhile(this.records, seen => seen.at < earliest);
    this.earliest = earliest;
  }

  /**
   * Wall-clock time of the oldest record that the log retains, ms since 1970; 0
   * while the log is complete. Claims from before it are unknown.
   */
  get coveredFrom(): number {
    const [oldest] = this.records.values();
    return this.earliest === 0 ? 0 : (oldest?.value ?? 0);
  }

  /** Number of currently claimed keys. */
  get size(): number {
    return this.holders.size;
  }

  private applyRelease(at: Offset, id: string): void {
    if (!this.released.has(id)) this.released.set(id, at);
    const claim = this.claims.get(id)?.value;
    if (claim === undefined) return;
    const scope = keyScope(claim);
    if (this.find(scope)?.id === id) this.holders.delete(scope);
  }

  private applyClaim(at: Offset, claim: Claim): void {
    if (this.claims.has(claim.id)) return;
    this.claims.set(claim.id, {value: claim, at});
    const scope = keyScope(claim);
    if (this.released.has(claim.id) || this.holders.has(scope)) return;
    this.holders.set(scope, {value: claim, at});
  }
}

function pruneWhile<K, V>(map: Map<K, V>, isOld: (value: V) => boolean): void {
  for (const [key, value] of map) {
    if (!isOld(value)) return;
    map.delete(key);
  }
}
