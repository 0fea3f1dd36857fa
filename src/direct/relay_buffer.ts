import type {Millis, Offset} from '../core/index.js';
import type {KeyedRecord} from './keyed_table.js';

/** Records that are kept for listeners; older ones they read themselves. */
const MAX_RECORDS = 4_000;
/**
 * Bytes that one answer may have: large records would fill the link of the
 * one VM that relays them to its zone.
 */
const MAX_RESPONSE_BYTES = 192 * 2 ** 10;

/** What a relay answers to a listener. */
export type RelayResponse =
  | {
      readonly kind: 'records';
      readonly records: readonly KeyedRecord[];
      readonly next: Offset;
    }
  /** Nothing came, as of a contact with the store that is fresh enough. */
  | {readonly kind: 'nothing'}
  /** The listener has to read the store itself. */
  | {readonly kind: 'unavailable'; readonly reason: RelayMiss};

export type RelayMiss =
  /** The relay has no fresh contact with the store. */
  | 'stale'
  /** The relay does not keep what is asked for. */
  | 'not_held'
  | 'too_large';

/** The newest records of a topic, as one entry read them for its zone. */
export class RelayBuffer {
  private records: KeyedRecord[] = [];
  private first: Offset | undefined;
  private next: Offset | undefined;
  private lastContactAt: Millis = -Infinity;

  /**
   * Takes a page that was read from the store.
   * @param now - present time
   * @param from - offset that was read from
   * @param records - the records
   * @param next - where to read on
   */
  append(
    now: Millis,
    from: Offset,
    records: readonly KeyedRecord[],
    next: Offset,
  ): void {
    this.lastContactAt = now;
    if (from !== this.next) {
      this.first = from;
      this.records = [];
    }
    this.next = next;
    this.records.push(...records);
    const over = this.records.length - MAX_RECORDS;
    if (over <= 0) return;
    this.records.splice(0, over);
    this.first = this.records[0]!.offset;
  }

  /**
   * What a listener gets.
   * @param now - present time
   * @param from - offset that it reads from
   * @param maxAge - how old the contact with the store may be
   */
  read(now: Millis, from: Offset, maxAge: Millis): RelayResponse {
    const {first, next} = this;
    if (first === undefined || next === undefined) return miss('not_held');
    if (now - this.lastContactAt > maxAge) return miss('stale');
    if (from < first) return miss('not_held');
    // A listener that has read the store itself may be ahead.
    if (from >= next) return {kind: 'nothing'};
    const records = this.records.filter(({offset}) => offset >= from);
    const bytes = records.reduce((sum, {value}) => sum + sizeOf(value), 0);
    if (bytes > MAX_RESPONSE_BYTES) return miss('too_large');
    return {kind: 'records', records, next};
  }
}

const miss = (reason: RelayMiss): RelayResponse => ({
  kind: 'unavailable',
  reason,
});

const sizeOf = (value: Uint8Array | undefined) => value?.length ?? 0;
