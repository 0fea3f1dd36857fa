import type {Offset} from '../core/index.js';

/** A record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  readonly offset: Offset;
  /** The value; nothing when the record drops the key. */
  readonly value: Uint8Array | undefined;
}

/** What a record did to the view. */
export interface KeyedChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}

interface LatestRecord {
  readonly offset: Offset;
  readonly value: Uint8Array | undefined;
}

/**
 * Newest value of each key of a topic. Records may come twice and, between a
 * listing and the log, out of order: the higher offset of a key stands.
 */
export class KeyedTable {
  private readonly latest = new Map<string, LatestRecord>();

  /**
   * Takes records of the log, or pages of a listing that goes on.
   * @param records - the records
   * @returns what changed
   */
  apply(records: readonly KeyedRecord[]): KeyedChange[] {
    const changes: KeyedChange[] = [];
    for (const {key, offset, value} of records) {
      const known = this.latest.get(key);
      if (known !== undefined && known.offset >= offset) continue;
      this.latest.set(key, {offset, value});
      if (value === undefined && known?.value === undefined) continue;
      changes.push({key, value});
    }
    return changes;
  }

  /**
   * Takes a whole listing. Pages of a listing are read one after the other,
   * so a key that it lacks is gone only if its newest known record is older
   * than the listing.
   * @param records - records of all pages
   * @param startedAt - end of the topic when the first page was read
   * @returns what changed
   */
  applyListing(
    records: readonly KeyedRecord[],
    startedAt: Offset,
  ): KeyedChange[] {
    const changes = this.apply(records);
    const listed = new Set(records.map(({key}) => key));
    for (const [key, {offset, value}] of this.latest) {
      if (listed.has(key) || offset >= startedAt) continue;
      this.latest.delete(key);
      if (value !== undefined) changes.push({key, value: undefined});
    }
    return changes;
  }
}
