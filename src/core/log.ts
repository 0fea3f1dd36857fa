import type {Offset} from './ids.js';

/** A record as the platform's log keeps it. */
export interface LogRecord {
  readonly offset: Offset;
  /** What its writer appended; anything at all. */
  readonly data: unknown;
}

/** A stretch of a stream. Offsets of a stream are consecutive. */
export interface LogPage {
  /** Earliest offset that the log still keeps. */
  readonly earliest: Offset;
  /** Offset that the next record will get. */
  readonly next: Offset;
  readonly records: readonly LogRecord[];
}
