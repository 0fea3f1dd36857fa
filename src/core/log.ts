import type {Offset} from './ids.js';

/** Record of the platform's log. */
export interface LogRecord {
  readonly offset: Offset;
  /** Data appended by the writer, not validated. */
  readonly data: unknown;
}

/** Range of records of a stream. Offsets in a stream are consecutive. */
export interface LogPage {
  /** Earliest offset that the log still stores. */
  readonly earliest: Offset;
  /** Offset of the next record to be appended. */
  readonly next: Offset;
  readonly records: readonly LogRecord[];
}
