import type {Millis, ServiceName} from '../core/index.js';

/** Number of entries assumed until the actual number is known. */
const DEFAULT_ENTRY_COUNT = 64;
/** Usable fraction of the bound: window clocks never agree exactly. */
const USABLE_FRACTION = 0.9;

/** Bound on the retries of all entries together, in any window. */
export interface RetryBound {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Fixed number of additional retries. */
  readonly slack: number;
  readonly window: Millis;
}

interface ServiceWindow {
  readonly requests: Millis[];
  readonly retries: Millis[];
}

/**
 * Retry budget of one entry: the ratio of its own requests and an equal share
 * of the estate's fixed slack, so that the sum stays within the bound without
 * coordination. The share grows from zero over the first window, because a
 * previous incarnation may have spent this window's share.
 */
export class SharedRetryBudget {
  private readonly windows = new Map<ServiceName, ServiceWindow>();
  private entryCount = DEFAULT_ENTRY_COUNT;

  /**
   * @param bound - the bound of all entries
   * @param startedAt - start of this process
   */
  constructor(
    private bound: RetryBound,
    private readonly startedAt: Millis,
  ) {}

  /**
   * Replaces the bound.
   * @param bound - the bound of all entries
   */
  setBound(bound: RetryBound): void {
    this.bound = bound;
  }

  /**
   * Sets the number of entries that share the bound.
   * @param count - upper bound of the running entries
   */
  setEntryCount(count: number): void {
    this.entryCount = Math.max(1, count);
  }

  /**
   * Records a caller's request for a service.
   * @param now - current time
   * @param service - the service
   */
  recordRequest(now: Millis, service: ServiceName): void {
    this.windowOf(now, service).requests.push(now);
  }

  /**
   * Consumes one retry if the budget allows it.
   * @param now - current time
   * @param service - the service
   * @returns whether the retry may be sent
   */
  trySpend(now: Millis, service: ServiceName): boolean {
    const {requests, retries} = this.windowOf(now, service);
    const {ratio, slack, window} = this.bound;
    const ramp = Math.min(1, (now - this.startedAt) / window);
    const own = ratio * requests.length + (slack / this.entryCount) * ramp;
    if (retries.length + 1 > own * USABLE_FRACTION) return false;
    retries.push(now);
    return true;
  }

  private windowOf(now: Millis, service: ServiceName): ServiceWindow {
    let counted = this.windows.get(service);
    if (counted === undefined) {
      counted = {requests: [], retries: []};
      this.windows.set(service, counted);
    }
    const from = now - this.bound.window;
    dropBefore(counted.requests, from);
    dropBefore(counted.retries, from);
    return counted;
  }
}

/** Drops times before `from`; times are in order. */
function dropBefore(times: Millis[], from: Millis): void {
  let old = 0;
  while (old < times.length && (times[old] as Millis) < from) old += 1;
  if (old > 0) times.splice(0, old);
}
