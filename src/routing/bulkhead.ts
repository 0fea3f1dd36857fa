import type {CallId, ServiceName} from '../core/index.js';

/** Concurrency limits of a service and of its callers. */
export interface BulkheadLimits {
  /** Maximum calls in flight at the service. */
  readonly inFlight: number;
  /** Maximum share of them by calling service. */
  readonly shares: ReadonlyMap<ServiceName, number>;
}

/** Whether a call is admitted, or the limit that rejects it. */
export type BulkheadResult =
  'fits' | 'service_full' | 'edge_full' | 'undeclared';

interface InFlightCall {
  readonly service: ServiceName;
  readonly caller: ServiceName | undefined;
}

/**
 * Bulkhead: limits the calls in flight per service and per edge from a calling
 * service, so that calls that hang on one edge don't use up the capacity of
 * the others.
 */
export class Bulkhead {
  private limits: ReadonlyMap<ServiceName, BulkheadLimits> = new Map();
  private readonly calls = new Map<CallId, InFlightCall>();
  private readonly counts = new Map<string, number>();

  /**
   * Applies new limits; calls in flight are unaffected.
   * @param limits - limits by service
   */
  configure(limits: ReadonlyMap<ServiceName, BulkheadLimits>): void {
    this.limits = limits;
  }

  /**
   * Counts a call as in flight if the limits allow it.
   * @param callId - the call; one that is already counted always fits
   * @param service - the called service
   * @param caller - the calling service, if any
   */
  tryAcquire(
    callId: CallId,
    service: ServiceName,
    caller: ServiceName | undefined,
  ): BulkheadResult {
    if (this.calls.has(callId)) return 'fits';
    const limits = this.limits.get(service);
    const result = limits ? this.check(limits, service, caller) : 'fits';
    if (result !== 'fits') return result;
    this.calls.set(callId, {service, caller});
    for (const key of counterKeys(service, caller)) {
      this.counts.set(key, this.countOf(key) + 1);
    }
    return 'fits';
  }

  /**
   * Releases the capacity of a finished call.
   * @param callId - the call
   */
  release(callId: CallId): void {
    const call = this.calls.get(callId);
    if (call === undefined) return;
    this.calls.delete(callId);
    for (const key of counterKeys(call.service, call.caller)) {
      const count = this.countOf(key) - 1;
      if (count === 0) this.counts.delete(key);
      else this.counts.set(key, count);
    }
  }

  private check(
    {inFlight, shares}: BulkheadLimits,
    service: ServiceName,
    caller: ServiceName | undefined,
  ): BulkheadResult {
    if (caller !== undefined) {
      const share = shares.get(caller);
      if (share === undefined) return 'undeclared';
      const limit = Math.max(1, Math.floor(share * inFlight));
      if (this.countOf(edgeKey(service, caller)) >= limit) return 'edge_full';
    }
    return this.countOf(service) >= inFlight ? 'service_full' : 'fits';
  }

  private countOf(key: string): number {
    return this.counts.get(key) ?? 0;
  }
}

function edgeKey(service: ServiceName, caller: ServiceName): string {
  return `${caller} ${service}`;
}

function counterKeys(service: ServiceName, caller: ServiceName | undefined) {
  return caller === undefined ? [service] : [service, edgeKey(service, caller)];
}
