import type {
  CallId,
  Millis,
  OrganisationName,
  ServiceName,
} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Time without a first byte after which a call counts as stuck. */
const STUCK_CALL_AGE: Millis = 3 * SECOND;

/** An open call at an entry. */
export interface OpenCall {
  readonly organisation: OrganisationName;
  readonly service: ServiceName;
  readonly startedAt: Millis;
  /** Returns whether the answer has begun. */
  isAnswered(): boolean;
}

/**
 * Tracker of the open calls of an entry. Counts an organisation's stuck calls
 * to one service, so that they don't use up its slots for other services.
 */
export class OpenCalls {
  private readonly calls = new Map<CallId, OpenCall>();

  /**
   * Adds an admitted call.
   * @param id - the call
   * @param call - its details
   */
  add(id: CallId, call: OpenCall): void {
    this.calls.set(id, call);
  }

  /**
   * Removes a call that ended.
   * @param id - the call
   */
  remove(id: CallId): void {
    this.calls.delete(id);
  }

  /**
   * Counts the stuck calls of an organisation to a service.
   * @param now - present time
   * @param organisation - the calling organisation
   * @param service - the called service
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
