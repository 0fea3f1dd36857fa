/** Milliseconds of a monotonic clock, or a span of them. */
export type Millis = number;

export const SECOND: Millis = 1_000;
export const MINUTE: Millis = 60 * SECOND;
export const HOUR: Millis = 60 * MINUTE;

/** Source of the present time, held by the daemons and never by a decision. */
export abstract class Clock {
  /** Monotonic time in ms; only differences have a meaning. */
  abstract now(): Millis;

  /** Wall-clock time in ms since 1970, for records that others read. */
  abstract wall(): Millis;
}
