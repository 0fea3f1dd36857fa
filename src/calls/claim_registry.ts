import type {Offset, RecordId} from '../core/index.js';
import {keyScope} from './claim_records.js';
import type {Claim, ClaimRecord} from './claim_records.js';

interface AtOffset<T> {
  readonly value: T;
  readonly at: Offset;
}

/**
 * The fold of the claims stream. For each key the first claim in log order
 * stands until a release names it. The result depends on the log alone.
 */
export class ClaimRegistry {
  private readonly holders = new Map<string, AtOffset<Claim>>();
  private readonly claims = new Map<string, AtOffset<Claim>>();
  private readonly released = new Map<string, Offset>();
  private readonly records = new Map<RecordId, AtOffset<number>>();
  private earliest = 0;

  /**
   * Takes in the next record; one that was taken in before changes nothing.
   * @param at - its offset
   * @param record - the record
   */
  fold(at: Offset, record: ClaimRecord): void {
    if (this.records.has(record.id)) return;
    this.records.set(record.id, {value: record.wall, at});
    for (const id of record.releases) this.applyRelease(at, id);
    for (const claim of record.claims) this.applyClaim(at, claim);
  }

  /**
   * The claim that stands for a key.
   * @param scope - the key, see `keyScope`
   */
  find(scope: string): Claim | undefined {
    return this.holders.get(scope)?.value;
  }

  /**
   * Whether the log has shown a claim.
   * @param id - the claim
   */
  hasSeen(id: string): boolean {
    return this.claims.has(id);
  }

  /**
   * Forgets what the log itself keeps no longer.
   * @param earliest - earliest offset that the log keeps
   */
  pruneBefore(earliest: Offset): void {
    pruneWhile(this.holders, seen => seen.at < earliest);
    pruneWhile(this.claims, seen => seen.at < earliest);
    pruneWhile(this.released, at => at < earliest);
    pruneWhile(this.records, seen => seen.at < earliest);
    this.earliest = earliest;
  }

  /**
   * Wall-clock time of the oldest record that the log keeps, once it has let
   * go of older ones: no claim from before is known.
   */
  get coveredFrom(): number {
    const [oldest] = this.records.values();
    return this.earliest === 0 ? 0 : (oldest?.value ?? 0);
  }

  /** Keys that are claimed now. */
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
