import type {Millis, ServiceName} from '../core/index.js';

/** Entries that are assumed until the real number is known. */
const DEFAULT_ENTRY_COUNT = 64;
/** Part of the bound that is used: clocks of windows never agree exactly. */
const USABLE_FRACTION = 0.9;

/** The bound that all entries together keep, in any window. */
export interface RetryBound {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed besides. */
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
   * Another bound is in force from now on.
   * @param bound - the bound of all entries
   */
  setBound(bound: RetryBound): void {
    this.bound = bound;
  }

  /**
   * How many entries share the bound.
   * @param count - at least all that may be running
   */
  setEntryCount(count: number): void {
    this.entryCount = Math.max(1, count);
  }

  /**
   * A caller's request for a service came.
   * @param now - present time
   * @param service - the service
   */
  recordRequest(now: Millis, service: ServiceName): void {
    this.windowOf(now, service).requests.push(now);
  }

  /**
   * Asks to send a request once more, and counts it.
   * @param now - present time
   * @param service - the service
   * @returns whether it may be sent
   */
  trySpend(now: Millis, service: ServiceName): boolean {
    const {requests, retries: repeats} = this.windowOf(now, service);
    const {ratio, slack, window} = this.bound;
    const grown = Math.min(1, (now - this.startedAt) / window);
    const own = ratio * requests.length + (slack / this.entryCount) * grown;
    if (repeats.length + 1 > own * USABLE_FRACTION) return false;
    repeats.push(now);
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
