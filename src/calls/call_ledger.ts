import type {CallId, Millis} from '../core/index.js';
import {MINUTE} from '../core/index.js';

/** How long a finished attempt is remembered against late repeats. */
const REMEMBERED: Millis = 5 * MINUTE;

interface Entry {
  readonly attempt: number;
  readonly endedAt: Millis | undefined;
}

/** The calls that a sidecar knows: each attempt is taken once. */
export class CallLedger {
  private readonly calls = new Map<CallId, Entry>();

  /**
   * Takes an attempt unless it, or a later one, was taken before.
   * @param id - the call
   * @param attempt - its attempt
   * @returns whether the attempt is new
   */
  take(id: CallId, attempt: number): boolean {
    const known = this.calls.get(id);
    if (known !== undefined && known.attempt >= attempt) return false;
    this.calls.set(id, {attempt, endedAt: undefined});
    return true;
  }

  /**
   * An attempt has ended, however.
   * @param now - present time
   * @param id - the call
   * @param attempt - its attempt
   */
  end(now: Millis, id: CallId, attempt: number): void {
    this.calls.set(id, {attempt, endedAt: now});
  }

  /**
   * Forgets what ended long ago.
   * @param now - present time
   */
  sweep(now: Millis): void {
    for (const [id, {endedAt}] of this.calls) {
      if (endedAt !== undefined && now - endedAt > REMEMBERED) {
        this.calls.delete(id);
      }
    }
  }

  /** Calls that are remembered. */
  get size(): number {
    return this.calls.size;
  }
}
