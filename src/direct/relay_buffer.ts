import type {Millis, Offset} from '../core/index.js';
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
      readonly next: Offset;
      /** Age of the relay's contact with the store. */
      readonly age: Millis;
    }
  /** No new records, as of a sufficiently recent contact with the store. */
  | {readonly kind: 'nothing'; readonly age: Millis}
  /** The listener has to read from the store itself. */
  | {readonly kind: 'unavailable'; readonly reason: RelayMiss};

export type RelayMiss =
  /** The relay's last contact with the store is too old. */
  | 'stale'
  /** The relay does not buffer the requested offset. */
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
  private first: Offset | undefined;
  private next: Offset | undefined;
  private lastContactAt: Millis = -Infinity;

  /**
   * Time as of which the buffer ends with the newest record of the topic;
   * -Infinity before the first page.
   */
  get contactAt(): Millis {
    return this.lastContactAt;
  }

  /**
   * Appends a page.
   * @param contactAt - time as of which there were no further records
   * @param from - offset at which the read began
   * @param records - the records
   * @param next - offset of the next read
   */
  append(
    contactAt: Millis,
    from: Offset,
    records: readonly KeyedRecord[],
    next: Offset,
  ): void {
    this.lastContactAt = Math.max(this.lastContactAt, contactAt);
    if (from !== this.next) {
      this.first = from;
      this.records.clear();
      this.bytes = 0;
    }
    this.next = next;
    for (const record of records) {
      this.remove(record.key);
      this.records.set(record.key, record);
      this.bytes += sizeOf(record);
    }
    this.evict();
  }

  /**
   * Returns the response to a listener.
   * @param now - current time
   * @param from - offset from which the listener reads
   * @param limits - limits of the response
   */
  read(
    now: Millis,
    from: Offset,
    {maxAge, maxBytes = MAX_RESPONSE_BYTES}: RelayLimits,
  ): RelayResponse {
    const {first, next} = this;
    const age = now - this.lastContactAt;
    if (first === undefined || next === undefined) return miss('not_held');
    if (from < first) return miss('not_held');
    // A listener that has read the store itself may be ahead.
    if (from >= next) {
      return age > maxAge ? miss('stale') : {kind: 'nothing', age};
    }
    const records = [...this.records.values()].filter(
      ({offset}) => offset >= from,
    );
    const bytes = records.reduce((sum, record) => sum + sizeOf(record), 0);
    if (bytes > maxBytes) return miss('too_large');
    return {kind: 'records', records, next, age};
  }

  private evict(): void {
    for (const {key, offset} of this.records.values()) {
      const isOver =
        this.records.size > MAX_RECORDS || this.bytes > MAX_BUFFERED_BYTES;
      if (!isOver || this.records.size === 1) return;
      this.remove(key);
      this.first = (offset + 1) as Offset;
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
