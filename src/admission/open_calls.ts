import type {
  CallId,
  Millis,
  OrganisationName,
  ServiceName,
} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** A call without a first byte for so long is taken to hang. */
const STUCK_CALL_AGE: Millis = 3 * SECOND;

/** A call that is open at an entry. */
export interface OpenCall {
  readonly organisation: OrganisationName;
  readonly service: ServiceName;
  readonly startedAt: Millis;
  /** Whether the answer has begun. */
  isAnswered(): boolean;
}

/**
 * The open calls of an entry. Tells how many of an organisation's hang at one
 * service, so that they do not take the places of its calls to others.
 */
export class OpenCalls {
  private readonly calls = new Map<CallId, OpenCall>();

  /**
   * A call was let in.
   * @param id - the call
   * @param call - what is known of it
   */
  add(id: CallId, call: OpenCall): void {
    this.calls.set(id, call);
  }

  /**
   * A call is over.
   * @param id - the call
   */
  remove(id: CallId): void {
    this.calls.delete(id);
  }

  /**
   * Counts the calls that hang.
   * @param now - present time
   * @param organisation - whose
   * @param service - where
   */
  countStuck(
    now: Millis,
    organisation: OrganisationName,
    service: ServiceName,
  ): number {
    let count = 0;
    for (const call of this.calls.values()) {
      if (now - call.startedAt < STUCK_CALL_AGE) break;
      if (call.organisation !== organisation || call.service !== service) {
        continue;
      }
      if (!call.isAnswered()) count += 1;
    }
    return count;
  }
}
