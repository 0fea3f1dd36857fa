import type {Millis, Offset} from '../core/index.js';
import type {KeyedRecord} from './keyed_table.js';

/** Buffered records; listeners read older ones from the store themselves. */
const MAX_RECORDS = 4_000;
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
      readonly next: Offset;
    }
  /** No new records, as of a sufficiently recent contact with the store. */
  | {readonly kind: 'nothing'}
  /** The listener has to read from the store itself. */
  | {readonly kind: 'unavailable'; readonly reason: RelayMiss};

export type RelayMiss =
  /** The relay's last contact with the store is too old. */
  | 'stale'
  /** The relay does not buffer the requested offset. */
  | 'not_held'
  | 'too_large';

/** Buffer of a topic's latest records, read by one entry for its zone. */
export class RelayBuffer {
  private records: KeyedRecord[] = [];
  private first: Offset | undefined;
  private next: Offset | undefined;
  private lastContactAt: Millis = -Infinity;

  /**
   * Appends a page that was read from the store.
   * @param now - current time
   * @param from - offset at which the read began
   * @param records - the records
   * @param next - offset of the next read
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
   * Returns the response to a listener.
   * @param now - current time
   * @param from - offset from which the listener reads
   * @param maxAge - maximum age of the last contact with the store
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
