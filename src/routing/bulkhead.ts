import type {CallId, ServiceName} from '../core/index.js';

/** What a service may hold of another one, or callers of a service. */
export interface BulkheadLimits {
  /** Calls that may be in flight at the service. */
  readonly inFlight: number;
  /** Share of them that each calling service may hold, by its name. */
  readonly shares: ReadonlyMap<ServiceName, number>;
}

/** Whether a call fits. */
export type BulkheadResult =
  'fits' | 'service_full' | 'edge_full' | 'undeclared';

interface InFlightCall {
  readonly service: ServiceName;
  readonly caller: ServiceName | undefined;
}

/**
 * Counts the calls in flight of each service and of each edge from a calling
 * service, so that what hangs in one place does not take up another's room.
 */
export class Bulkhead {
  private limits: ReadonlyMap<ServiceName, BulkheadLimits> = new Map();
  private readonly calls = new Map<CallId, InFlightCall>();
  private readonly counts = new Map<string, number>();

  /**
   * Takes new limits; calls in flight are left alone.
   * @param limits - the limits of each service
   */
  configure(limits: ReadonlyMap<ServiceName, BulkheadLimits>): void {
    this.limits = limits;
  }

  /**
   * A call wants to be in flight; it is counted if it fits.
   * @param callId - the call; one that is counted already fits
   * @param service - the service that it calls
   * @param caller - the service that makes it, if one does
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
   * A call is over.
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
