import {comparePositions} from '../core/index.js';
import type {LogPosition} from '../core/index.js';

/** A record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  readonly position: LogPosition;
  /** The value; undefined if the record is a tombstone of the key. */
  readonly value: Uint8Array | undefined;
}

/** Change of a key that a record caused. */
export interface KeyedChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  /** Whether the store has lost the key's record: nobody removed the key. */
  readonly isLost?: boolean;
}

interface LatestRecord {
  readonly position: LogPosition;
  readonly value: Uint8Array | undefined;
}

/**
 * Table of the latest value of each key of a topic. Records may arrive twice
 * and, between a listing and the log, out of order: the last position wins.
 */
export class KeyedTable {
  private readonly latest = new Map<string, LatestRecord>();
  /** Keys without a record since the store lost theirs. */
  private readonly lost = new Set<string>();

  /**
   * Applies records of the log, or pages of an unfinished listing.
   * @param records - the records
   * @returns the changes
   */
  apply(records: readonly KeyedRecord[]): KeyedChange[] {
    const changes: KeyedChange[] = [];
    for (const {key, position, value} of records) {
      const known = this.latest.get(key);
      if (known && comparePositions(known.position, position) >= 0) continue;
      this.latest.set(key, {position, value});
      // The removal of a key whose record was lost is news to its reader.
      const wasLost = this.lost.delete(key);
      if (value === undefined && known?.value === undefined && !wasLost)
        continue;
      changes.push({key, value});
    }
    return changes;
  }

  /**
   * Applies a complete listing. Its pages are read one after the other, so a
   * key that it lacks is removed only if its latest record is older than the
   * listing. It is lost if that record is of an earlier era.
   * @param records - records of all pages
   * @param startedAt - end of the topic when the first page was read
   * @returns the changes
   */
  applyListing(
    records: readonly KeyedRecord[],
    startedAt: LogPosition,
  ): KeyedChange[] {
    const changes = this.apply(records);
    const listed = new Set(records.map(({key}) => key));
    for (const [key, {position, value}] of this.latest) {
      if (listed.has(key) || comparePositions(position, startedAt) >= 0)
        continue;
      this.latest.delete(key);
      if (value === undefined) continue;
      const isLost = position.era < startedAt.era;
      if (isLost) this.lost.add(key);
      changes.push({key, value: undefined, ...(isLost ? {isLost} : {})});
    }
    return changes;
  }
}
