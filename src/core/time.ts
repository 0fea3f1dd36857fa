/** Time on a monotonic clock or a duration, ms. */
export type Millis = number;

export const SECOND: Millis = 1_000;
export const MINUTE: Millis = 60 * SECOND;
export const HOUR: Millis = 60 * MINUTE;

/** Source of time for daemons; decision code receives times as arguments. */
export abstract class Clock {
  /** Returns the monotonic time in ms; only differences are meaningful. */
  abstract now(): Millis;

  /** Returns the wall-clock time in ms since 1970, for shared records. */
  abstract wall(): Millis;
}
