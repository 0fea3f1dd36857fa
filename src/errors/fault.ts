import {ERRORS} from './catalogue.js';
import type {ErrorName} from './catalogue.js';

/** An error of the catalogue with the detail of this occurrence. */
export class Fault extends Error {
  /**
   * @param reason - name in the catalogue
   * @param detail - what happened this time
   * @param retryAfterMs - when coming back makes sense, ms
   */
  constructor(
    readonly reason: ErrorName,
    readonly detail = '',
    readonly retryAfterMs?: number,
  ) {
    super(detail === '' ? ERRORS[reason].message : detail);
    this.name = reason;
  }

  /** HTTP status towards a caller. */
  get status(): number {
    return ERRORS[this.reason].status;
  }

  /** What the reader can do about it. */
  get hint(): string {
    return ERRORS[this.reason].hint;
  }
}

/**
 * Makes a fault of whatever was thrown.
 * @param thrown - any value
 * @param reason - the name for what is not a fault yet
 */
export function asFault(thrown: unknown, reason: ErrorName): Fault {
  if (thrown instanceof Fault) return thrown;
  return new Fault(reason, describeError(thrown));
}

/** The message of whatever was thrown, with its causes. */
export function describeError(thrown: unknown): string {
  if (!(thrown instanceof Error)) return String(thrown);
  const cause =
    thrown.cause === undefined ? '' : `: ${describeError(thrown.cause)}`;
  return `${thrown.message || thrown.name}${cause}`;
}
