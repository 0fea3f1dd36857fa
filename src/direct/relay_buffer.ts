import {comparePositions, offset} from '../core/index.js';
import type {Era, LogPosition, Millis} from '../core/index.js';
import type {KeyedRecord} from './keyed_table.js';

/** Buffered records; listeners read older ones from the store themselves. */
const MAX_RECORDS = 4_000;
/** Size limit of the buffered values; the newest record is always retained. */
const MAX_BUFFERED_BYTES = 8 * 2 ** 20;
/**
 * Size limit of one response: large records would saturate the link of the one
 * VM that relays them to its zone.
 */
const MAX_RESPONSE_BYTES = 192 * 2 ** 10;

/** Response of a relay to a listener. */
export type RelayResponse =
  | {
      readonly kind: 'records';
      readonly records: readonly KeyedRecord[];
      readonly next: LogPosition;
      /** Era of the records. */
      readonly era: Era;
      /** Age of the relay's contact with the store. */
      readonly age: Millis;
    }
  /** No new records, as of a sufficiently recent contact with the store. */
  | {readonly kind: 'nothing'; readonly era: Era; readonly age: Millis}
  /** The listener has to read from the store itself. */
  | {readonly kind: 'unavailable'; readonly reason: RelayMiss};

export type RelayMiss =
  /** The relay's last contact with the store is too old, or of an old era. */
  | 'stale'
  /** The relay does not buffer the requested position. */
  | 'not_held'
  | 'too_large';

/** Limits of a relay's response. */
export interface RelayLimits {
  /** Maximum age of the contact with the store as of which there is nothing. */
  readonly maxAge: Millis;
  /** Size limit of the values; unlimited for a single listener. */
  readonly maxBytes?: number;
}

/**
 * Buffer of a topic's latest records, from which an entry responds to others.
 * It retains the newest record of each key.
 */
export class RelayBuffer {
  private readonly records = new Map<string, KeyedRecord>();
  private bytes = 0;
  private first: LogPosition | undefined;
  private next: LogPosition | undefined;
  /** Whether the buffer has every key that the topic has in its era. */
  private isComplete = false;
  private lastContactAt: Millis = -Infinity;

  /**
   * Time as of which the buffer ends with the newest record of the topic;
   * -Infinity before the first page.
   */
  get contactAt(): Millis {
    return this.lastContactAt;
  }

  /**
   * Appends a page, unless the buffer is of a later era.
   * @param contactAt - time as of which there were no further records
   * @param from - position at which the read began
   * @param records - the records
   * @param next - position of the next read
   */
  append(
    contactAt: Millis,
    from: LogPosition,
    records: readonly KeyedRecord[],
    next: LogPosition,
  ): void {
    if (this.next !== undefined && next.era < this.next.era) return;
    this.lastContactAt = Math.max(this.lastContactAt, contactAt);
    if (this.next === undefined || comparePositions(from, this.next) !== 0) {
      this.reset(from, false);
    }
    this.add(records, next);
  }

  /**
   * Replaces the buffer by a listing, unless the buffer is of a later era. For
   * listeners of the same era it begins at the end of the listing, which lacks
   * the keys that were removed before.
   * @param records - newest record of each key
   * @param startedAt - end of the topic when the listing began
   */
  replace(records: readonly KeyedRecord[], startedAt: LogPosition): void {
    if (this.next !== undefined && startedAt.era < this.next.era) return;
    this.reset(startedAt, true);
    const byPosition = [...records].sort((a, b) =>
      comparePositions(a.position, b.position),
    );
    this.add(byPosition, startedAt);
  }

  private reset(first: LogPosition, isComplete: boolean): void {
    this.first = first;
    this.isComplete = isComplete;
    this.records.clear();
    this.bytes = 0;
  }

  private add(records: readonly KeyedRecord[], next: LogPosition): void {
    this.next = next;
    for (const record of records) {
      this.remove(record.key);
      this.records.set(record.key, record);
      this.bytes += sizeOf(record);
    }
    this.evict();
  }

  /**
   * Returns the response to a listener. One that reads from an earlier era gets
   * a complete listing, or has to list the topic itself.
   * @param now - current time
   * @param from - position from which the listener reads
   * @param limits - limits of the response
   */
  read(
    now: Millis,
    from: LogPosition,
    {maxAge, maxBytes = MAX_RESPONSE_BYTES}: RelayLimits,
  ): RelayResponse {
    const {first, next} = this;
    const age = now - this.lastContactAt;
    if (first === undefined || next === undefined) return miss('not_held');
    // A listing alone is no contact: records may have followed its pages.
    if (age === Infinity) return miss('not_held');
    const {era} = next;
    if (from.era > era) return miss('stale');
    const isEarlierEra = from.era < era;
    if (isEarlierEra ? !this.isComplete : comparePositions(from, first) < 0) {
      return miss('not_held');
    }
    // A listener that has read the store itself may be ahead.
    if (comparePositions(from, next) >= 0) {
      return age > maxAge ? miss('stale') : {kind: 'nothing', era, age};
    }
    const records = [...this.records.values()].filter(
      ({position}) => comparePositions(position, from) >= 0,
    );
    const bytes = records.reduce((sum, record) => sum + sizeOf(record), 0);
    if (bytes > maxBytes) return miss('too_large');
    return {kind: 'records', records, next, era, age};
  }

  private evict(): void {
    for (const {key, position} of this.records.values()) {
      const isOver =
        this.records.size > MAX_RECORDS || this.bytes > MAX_BUFFERED_BYTES;
      if (!isOver || this.records.size === 1) return;
      this.remove(key);
      const {era, offset: evicted} = position;
      const after = {era, offset: offset(evicted + 1)};
      if (this.first && comparePositions(after, this.first) > 0) {
        this.first = after;
      }
      this.isComplete = false;
    }
  }

  private remove(key: string): void {
    const record = this.records.get(key);
    if (record === undefined) return;
    this.records.delete(key);
    this.bytes -= sizeOf(record);
  }
}

const miss = (reason: RelayMiss): RelayResponse => ({
  kind: 'unavailable',
  reason,
});

const sizeOf = ({value}: KeyedRecord) => value?.length ?? 0;
