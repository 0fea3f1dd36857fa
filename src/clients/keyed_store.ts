import type {ResultAsync} from 'neverthrow';

import type {Era, LogPosition, Millis} from '../core/index.js';
import type {KeyedRecord} from '../direct/index.js';
import type {Fault} from '../errors/index.js';

/** Newest record of each key of a topic, read page by page. */
export interface KeyedListing {
  readonly records: readonly KeyedRecord[];
  /** End of the topic when the first page was read. */
  readonly startedAt: LogPosition;
}

/** Records appended to a topic. */
export type KeyedPage =
  | {
      readonly kind: 'records';
      readonly records: readonly KeyedRecord[];
      /** Position at which the next read starts. */
      readonly next: LogPosition;
      /** Least time between two reads, if it differs from the default, ms. */
      readonly spacing?: Millis;
      /** Process that returned the page, if it was not the store itself. */
      readonly relayedBy?: string;
    }
  /** A listing in place of records of an earlier era. */
  | (KeyedListing & {
      readonly kind: 'listing';
      /** Process that returned it. */
      readonly relayedBy: string;
    })
  /**
   * The log no longer stores the requested records, or the store is in another
   * era: the topic has to be listed.
   */
  | {readonly kind: 'expired'; readonly era: Era};

/** Store of compacted topics, which retain the newest record of each key. */
export abstract class KeyedStore {
  private readonly lossListeners: (() => void)[] = [];

  /**
   * Registers a callback for the moments at which this process learns that the
   * store has lost the last records of all topics.
   * @param listener - the callback
   */
  onRecordsLost(listener: () => void): void {
    this.lossListeners.push(listener);
  }

  /** Calls the callbacks of `onRecordsLost`. */
  protected reportRecordsLost(): void {
    for (const listener of this.lossListeners) listener();
  }

  /**
   * Lists the newest record of each key.
   * @param topic - the topic
   */
  abstract list(topic: string): ResultAsync<KeyedListing, Fault>;

  /**
   * Reads the records appended since a position.
   * @param topic - the topic
   * @param from - position of the first record
   * @param wait - how long the store may wait for a record, ms
   * @param responseTimeout - timeout beyond the wait, ms; the client's default
   *   if omitted
   */
  abstract read(
    topic: string,
    from: LogPosition,
    wait: Millis,
    responseTimeout?: Millis,
  ): ResultAsync<KeyedPage, Fault>;

  /**
   * Writes a record. After a failure it may have been stored nevertheless.
   * @param topic - the topic
   * @param key - key of the record
   * @param value - value of the record
   * @returns position of the record
   */
  abstract put(
    topic: string,
    key: string,
    value: Uint8Array,
  ): ResultAsync<LogPosition, Fault>;
}
