import type {Offset, RecordId} from '../core/index.js';
import {keyScope} from './claim_records.js';
import type {Claim, ClaimRecord} from './claim_records.js';

interface Seen<T> {
  readonly value: T;
  readonly at: Offset;
}

/**
 * The fold of the claims stream. For each key the first claim in log order
 * stands until a release names it. The result depends on the log alone.
 */
export class ClaimBook {
  private readonly standing = new Map<string, Seen<Claim>>();
  private readonly claims = new Map<string, Seen<Claim>>();
  private readonly released = new Map<string, Offset>();
  private readonly records = new Map<RecordId, Seen<number>>();
  private earliest = 0;

  /**
   * Takes in the next record; one that was taken in before changes nothing.
   * @param at - its offset
   * @param record - the record
   */
  fold(at: Offset, record: ClaimRecord): void {
    if (this.records.has(record.id)) return;
    this.records.set(record.id, {value: record.wall, at});
    for (const id of record.releases) this.release(at, id);
    for (const claim of record.claims) this.claim(at, claim);
  }

  /**
   * The claim that stands for a key.
   * @param scope - the key, see `keyScope`
   */
  find(scope: string): Claim | undefined {
    return this.standing.get(scope)?.value;
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
  forgetBefore(earliest: Offset): void {
    forget(this.standing, seen => seen.at < earliest);
    forget(this.claims, seen => seen.at < earliest);
    forget(this.released, at => at < earliest);
    forget(this.records, seen => seen.at < earliest);
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
    return this.standing.size;
  }

  private release(at: Offset, id: string): void {
    if (!this.released.has(id)) this.released.set(id, at);
    const claim = this.claims.get(id)?.value;
    if (claim === undefined) return;
    const scope = keyScope(claim);
    if (this.find(scope)?.id === id) this.standing.delete(scope);
  }

  private claim(at: Offset, claim: Claim): void {
    if (this.claims.has(claim.id)) return;
    this.claims.set(claim.id, {value: claim, at});
    const scope = keyScope(claim);
    if (this.released.has(claim.id) || this.standing.has(scope)) return;
    this.standing.set(scope, {value: claim, at});
  }
}

function forget<K, V>(map: Map<K, V>, isOld: (value: V) => boolean): void {
  for (const [key, value] of map) {
    if (!isOld(value)) return;
    map.delete(key);
  }
}
