import type {Millis, ServiceName} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {RequestSpans} from './request_spans.js';
import {INTERNAL_TIMING} from './topic_timing.js';

/** Number of entries assumed until the actual number is known. */
const DEFAULT_ENTRY_COUNT = 64;
/** Usable fraction of the bound: window clocks never agree exactly. */
const USABLE_FRACTION = 0.9;
/** Fraction of the fixed slack for a process's first window, in a running estate. */
const RESERVE_FRACTION = 1 - USABLE_FRACTION;
/** Time in which the last sends of an ended process reach their upstreams. */
const DELIVERY_TIME: Millis = SECOND;
/** Time after which all entries that read the directory know of a new one. */
const LEARNING_TIME: Millis = INTERNAL_TIMING.bound;
/** Time in which an upstream that stands still reads what an ended process sent. */
const UNREAD_TIME: Millis = 10 * SECOND;
/** Time after which a retry that a silent upstream may read is taken to be lost. */
const LOST_TIME: Millis = 30 * SECOND;
/** Assumed growth of an estate whose entries cannot be read. */
const UNREAD_GROWTH = 2;

/** Bound on the retries of all entries together, in any window. */
export interface RetryBound {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Fixed number of additional retries. */
  readonly slack: number;
  readonly window: Millis;
}

/** How an entry's place in the estate began. */
export type EntryHistory =
  /** Its record was there: all entries count it already. */
  | 'restarted'
  /** All entries have just started: none of them uses its share yet. */
  | 'first_start'
  /** Entries that use their shares may not count it yet. */
  | 'added';

/** Entries that share the bound, as this one knows them. */
export interface KnownEntries {
  /** Upper bound of the running entries. */
  readonly count: number;
  /** Time of the last read of them; undefined before the first. */
  readonly readAt: Millis | undefined;
}

/** What a decision on a retry depends on. */
export interface RetryBudgetState {
  /** Callers' requests that earn retries. */
  readonly requests: number;
  /** Retries in the window, including open ones. */
  readonly retries: number;
  /** Retries that may still arrive. */
  readonly openRetries: number;
  /** Retries allowed in the window. */
  readonly allowance: number;
  /** Part of the fixed slack in it. */
  readonly share: number;
  /** Divisor of the fixed slack. */
  readonly entryCount: number;
  /** `reserve`: first window; `ratio`: its share may be in use; `share`. */
  readonly phase: 'reserve' | 'ratio' | 'share';
  /** Time since the process began to serve; undefined before. */
  readonly age: Millis | undefined;
}

/** A retry that was given up and may still arrive. */
interface AbandonedRetry {
  readonly upstream: string;
  readonly abandonedAt: Millis;
  arrivesUntil: Millis;
}

interface ServiceWindow {
  readonly requests: RequestSpans;
  /** Retries that may still arrive at their upstream. */
  readonly openRetries: Set<object>;
  /** Times at which the others were known to have arrived or failed. */
  readonly settledRetries: Millis[];
  abandonedRetries: AbandonedRetry[];
}

/**
 * Retry budget of one entry: the ratio of its own requests and an equal share
 * of the estate's fixed slack, so that the sum stays within the bound without
 * coordination. Requests earn what every window of retries that holds the next one
 * may have by the requests before that window: wherever callers move, no request
 * counts twice in a window. A process uses its share once a window has passed since
 * upstreams have read the retries of the entry's former process, and since all others
 * count its entry: no window holds the shares of two
 * processes of an entry, or more shares than the smallest divisor. An entry that
 * cannot read of the others allows for as many again. Until it uses its share,
 * a process has the fraction of it that others leave. A retry counts until
 * a window after its attempt has shown that it arrived or failed: upstreams that
 * read late get no more in a window than others.
 */
export class SharedRetryBudget {
  private readonly windows = new Map<ServiceName, ServiceWindow>();
  private servingSince: Millis | undefined;
  private membership: {since: Millis; history: EntryHistory} | undefined;

  /**
   * @param bound - the bound of all entries
   * @param knownEntries - returns the entries that share it
   */
  constructor(
    private bound: RetryBound,
    private readonly knownEntries: () => KnownEntries,
  ) {}

  /**
   * Replaces the bound.
   * @param bound - the bound of all entries
   */
  setBound(bound: RetryBound): void {
    this.bound = bound;
  }

  /**
   * Records that requests are accepted, so no former process of the entry runs.
   * @param now - current time
   */
  startServing(now: Millis): void {
    this.servingSince ??= now;
  }

  /**
   * Records that the other entries can read of this one.
   * @param now - current time
   * @param history - how its place in the estate began
   */
  join(now: Millis, history: EntryHistory): void {
    this.membership ??= {since: now, history};
  }

  /**
   * Records a caller's request for a service.
   * @param now - current time
   * @param service - the service
   */
  recordRequest(now: Millis, service: ServiceName): void {
    this.windowOf(now, service).requests.record(now, this.bound.window);
  }

  /**
   * Consumes one retry if the budget allows it.
   * @param now - current time
   * @param service - the service
   * @param request - the request, whose attempts follow each other
   * @returns whether the retry may be sent
   */
  trySpend(now: Millis, service: ServiceName, request: object): boolean {
    const {retries, allowance} = this.stateOf(now, service);
    if (retries + 1 > allowance) return false;
    this.windowOf(now, service).openRetries.add(request);
    return true;
  }

  /**
   * Records that a request's retry, if there is one, has arrived or will not.
   * @param now - current time
   * @param service - the service
   * @param request - the request
   */
  settle(now: Millis, service: ServiceName, request: object): void {
    const counted = this.windows.get(service);
    if (counted?.openRetries.delete(request)) counted.settledRetries.push(now);
  }

  /**
   * Records that a request's retry, if there is one that is open, was given up.
   * A reset does not drop it at every upstream: one that stands still may read
   * it later.
   * @param now - current time
   * @param service - the service
   * @param request - the request
   * @param upstream - incarnation of the upstream
   */
  abandon(
    now: Millis,
    service: ServiceName,
    request: object,
    upstream: string,
  ): void {
    const counted = this.windows.get(service);
    if (!counted?.openRetries.delete(request)) return;
    const arrivesUntil = now + LOST_TIME;
    counted.abandonedRetries.push({upstream, abandonedAt: now, arrivesUntil});
  }

  /**
   * Records a response of an upstream: it has read what was given up before the
   * request was sent.
   * @param now - current time
   * @param service - its service
   * @param upstream - its incarnation
   * @param sentAt - time at which the request was sent
   */
  recordResponse(
    now: Millis,
    service: ServiceName,
    upstream: string,
    sentAt: Millis,
  ): void {
    const abandoned = this.windows.get(service)?.abandonedRetries ?? [];
    for (const one of abandoned) {
      if (one.upstream !== upstream || one.abandonedAt > sentAt) continue;
      one.arrivesUntil = Math.min(one.arrivesUntil, now + DELIVERY_TIME);
    }
  }

  /**
   * Returns what a decision on a retry depends on.
   * @param now - current time
   * @param service - the service
   */
  stateOf(now: Millis, service: ServiceName): RetryBudgetState {
    const {requests, openRetries, settledRetries, abandonedRetries} =
      this.windowOf(now, service);
    const {bound, servingSince} = this;
    const age = servingSince === undefined ? undefined : now - servingSince;
    const counted = {
      requests: requests.leastIn(now, this.bound.window),
      retries:
        openRetries.size + settledRetries.length + abandonedRetries.length,
      openRetries: openRetries.size + abandonedRetries.length,
      entryCount: this.divisor(now),
      age,
    };
    const {entryCount} = counted;
    const earned = bound.ratio * counted.requests * USABLE_FRACTION;
    const share = bound.slack / entryCount;
    if (now >= this.shareUsableAt) {
      const allowance = earned + share * USABLE_FRACTION;
      return {...counted, phase: 'share', share, allowance};
    }
    const least = bound.slack / Math.max(entryCount, DEFAULT_ENTRY_COUNT);
    const withLeast = earned + least * USABLE_FRACTION;
    const isFirstStart = this.membership?.history === 'first_start';
    const elapsed = age ?? 0;
    if (isFirstStart || elapsed >= bound.window + DELIVERY_TIME) {
      return {...counted, phase: 'ratio', share: least, allowance: withLeast};
    }
    const growing = share * Math.min(1, elapsed / bound.window);
    const allowance = Math.min(withLeast, earned + growing * RESERVE_FRACTION);
    return {...counted, phase: 'reserve', share: growing, allowance};
  }

  /** Returns an upper bound of the entries that use a share. */
  private divisor(now: Millis): number {
    const {count, readAt} = this.knownEntries();
    if (readAt === undefined) return Math.max(count, DEFAULT_ENTRY_COUNT);
    return now - readAt > LEARNING_TIME ? UNREAD_GROWTH * count : count;
  }

  private get shareUsableAt(): Millis {
    const {bound, servingSince, membership} = this;
    if (servingSince === undefined || membership === undefined) return Infinity;
    const {since, history} = membership;
    if (history === 'restarted') {
      return servingSince + bound.window + UNREAD_TIME;
    }
    const hold = history === 'added' ? LEARNING_TIME : DELIVERY_TIME;
    return Math.max(servingSince, since) + bound.window + hold;
  }

  private windowOf(now: Millis, service: ServiceName): ServiceWindow {
    let counted = this.windows.get(service);
    if (counted === undefined) {
      counted = {
        requests: new RequestSpans(),
        openRetries: new Set(),
        settledRetries: [],
        abandonedRetries: [],
      };
      this.windows.set(service, counted);
    }
    const from = now - this.bound.window;
    dropBefore(counted.settledRetries, from);
    counted.abandonedRetries = counted.abandonedRetries.filter(
      ({arrivesUntil}) => arrivesUntil >= from,
    );
    return counted;
  }
}

/** Drops times before `from`; times are in order. */
function dropBefore(times: Millis[], from: Millis): void {
  let old = 0;
  while (old < times.length && (times[old] as Millis) < from) old += 1;
  if (old > 0) times.splice(0, old);
}
