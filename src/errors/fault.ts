import {ERRORS} from './catalogue.js';
import type {ErrorName} from './catalogue.js';

/** Error of the catalogue, with the detail of one occurrence. */
export class Fault extends Error {
  /**
   * @param reason - name in the catalogue
   * @param detail - cause of this occurrence
   * @param retryAfterMs - delay after which a retry makes sense, ms
   */
  constructor(
    readonly reason: ErrorName,
    readonly detail = '',
    readonly retryAfterMs?: number,
  ) {
    const message = detail === '' ? ERRORS[reason].message : detail;
    // A stack trace costs more than the rest of a rejection.
    const {stackTraceLimit} = Error;
    Error.stackTraceLimit = 0;
    super(message);
    Error.stackTraceLimit = stackTraceLimit;
    this.name = reason;
  }

  /** HTTP status of the response to the caller. */
  get status(): number {
    return ERRORS[this.reason].status;
  }

  /** How to resolve the error. */
  get hint(): string {
    return ERRORS[this.reason].hint;
  }
}

/**
 * Converts a thrown value to a fault.
 * @param thrown - any value; a fault is returned unchanged
 * @param reason - name given to any other value
 */
export function asFault(thrown: unknown, reason: ErrorName): Fault {
  if (thrown instanceof Fault) return thrown;
  return new Fault(reason, describeError(thrown));
}

/** Returns the message of a thrown value, with its chain of causes. */
export function describeError(thrown: unknown): string {
  if (!(thrown instanceof Error)) return String(thrown);
  const cause =
    thrown.cause === undefined ? '' : `: ${describeError(thrown.cause)}`;
  return `${thrown.message || thrown.name}${cause}`;
}
