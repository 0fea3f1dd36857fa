import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Requests per second. */
export type RequestRate = number;

/** Number of entries assumed until the actual number is known. */
const DEFAULT_ENTRY_COUNT = 64;
/** A raised limit takes effect after this time without a lower one. */
const RAISE_DELAY: Millis = 4 * SECOND;
/**
 * Rate of the trials at an upstream with a lower limit. Without them it could
 * not report that the limit has ended.
 */
const TRIAL_RATE: RequestRate = 0.1;
/** Burst of a high share, as the time in which it accrues. */
const BURST_TIME: Millis = 0.2 * SECOND;
/**
 * With more entries than this for the rate, a token that is ready at each of
 * them is too large a burst for the upstream.
 */
const maxEntriesWithTokens = (rate: RequestRate) => 1.5 * rate + 4;

/** Position of this entry among all entries, which share each limit equally. */
export interface EntryShare {
  /** Number of entries before this one in the common order. */
  readonly index: number;
  readonly count: number;
}

/** A limit that an upstream has named, for other entries. */
export interface LimitReport {
  readonly upstream: Incarnation;
  /** Undefined if the upstream no longer names one. */
  readonly rate: RequestRate | undefined;
  /** Time since the response that named it. */
  readonly age: Millis;
}

interface Sighting {
  readonly at: Millis;
  readonly rate: RequestRate;
}

interface LimitState {
  /** Sightings of the last seconds; the lowest rate is in force. */
  sightings: Sighting[];
  /** Tokens of this entry, as of `filledAt`. */
  tokens: number;
  filledAt: Millis;
  lastSentAt: Millis;
}

/**
 * Limits that upstreams name on the requests of all entries together. Each entry
 * keeps an equal share without coordination: a token bucket that starts empty,
 * or, if one token at each entry were too many, a time slot of its own, in which
 * it may send one request. It protects an upstream in need from the sum of many
 * entries, each of which sends it little.
 */
export class UpstreamLimits {
  private readonly limits = new Map<Incarnation, LimitState>();
  /** Ends of limits, which outdate earlier reports of them. */
  private readonly endedAt = new Map<Incarnation, Millis>();
  private share: EntryShare = {index: 0, count: DEFAULT_ENTRY_COUNT};
  /** Wall-clock time minus `now`, by which entries agree on time slots. */
  private wallOffset: Millis = 0;

  /** Number of upstreams with a limit. */
  get size(): number {
    return this.limits.size;
  }

  /**
   * Sets the share of this entry.
   * @param share - its position
   */
  setShare(share: EntryShare): void {
    this.share = share;
  }

  /**
   * Returns the limit of an upstream.
   * @param upstream - the upstream
   * @returns undefined if it names none
   */
  rateOf(upstream: Incarnation): RequestRate | undefined {
    const state = this.limits.get(upstream);
    if (state === undefined) return undefined;
    return Math.min(...state.sightings.map(({rate}) => rate));
  }

  /**
   * Records a response that names a limit.
   * @param now - current time
   * @param wall - wall-clock time, Unix ms
   * @param upstream - the upstream
   * @param rate - the limit
   * @returns whether the limit in force has changed
   */
  recordNamed(
    now: Millis,
    wall: number,
    upstream: Incarnation,
    rate: RequestRate,
  ): boolean {
    return this.recordSighting(now, wall, upstream, {at: now, rate});
  }

  /**
   * Records a response that names no limit, which ends the one that was named
   * before its request was sent.
   * @param now - current time
   * @param upstream - the upstream
   * @param sentAt - time at which the request was sent
   * @returns whether a limit has ended
   */
  recordUnnamed(now: Millis, upstream: Incarnation, sentAt: Millis): boolean {
    const state = this.limits.get(upstream);
    if (state === undefined || lastSeenAt(state) >= sentAt) return false;
    this.limits.delete(upstream);
    this.endedAt.set(upstream, now);
    return true;
  }

  /**
   * Merges a report of another entry, unless this entry knows a later response.
   * @param now - current time
   * @param wall - wall-clock time, Unix ms
   * @param report - the report
   * @returns whether the limit in force has changed
   */
  merge(now: Millis, wall: number, report: LimitReport): boolean {
    const {upstream, rate} = report;
    const at = now - report.age;
    const state = this.limits.get(upstream);
    if (rate !== undefined) {
      if (at <= (this.endedAt.get(upstream) ?? -Infinity)) return false;
      return this.recordSighting(now, wall, upstream, {at, rate});
    }
    if (state === undefined || lastSeenAt(state) >= at) return false;
    this.limits.delete(upstream);
    this.endedAt.set(upstream, at);
    return true;
  }

  /**
   * Returns whether this entry may send an upstream a request now.
   * @param now - current time
   * @param upstream - the upstream
   */
  allows(now: Millis, upstream: Incarnation): boolean {
    return this.nextAt(now, upstream) <= now;
  }

  /**
   * Returns the time from which this entry may send an upstream a request.
   * @param now - current time
   * @param upstream - the upstream
   * @returns -Infinity if the upstream has no limit
   */
  nextAt(now: Millis, upstream: Incarnation): Millis {
    const state = this.limits.get(upstream);
    if (state === undefined) return -Infinity;
    const rate = this.effectiveRate(upstream);
    const {count} = this.share;
    if (count > maxEntriesWithTokens(rate)) {
      return this.nextSlot(now, state, rate);
    }
    this.refill(now, state, rate);
    if (state.tokens >= 1) return now;
    return now + ((1 - state.tokens) * SECOND * count) / rate;
  }

  /**
   * Records that a request is sent to an upstream.
   * @param now - current time
   * @param upstream - the upstream
   */
  recordSent(now: Millis, upstream: Incarnation): void {
    const state = this.limits.get(upstream);
    if (state === undefined) return;
    this.refill(now, state, this.effectiveRate(upstream));
    state.tokens -= 1;
    state.lastSentAt = now;
  }

  /**
   * Removes upstreams that are gone.
   * @param isActive - whether an upstream may still get requests
   */
  prune(isActive: (upstream: Incarnation) => boolean): void {
    for (const table of [this.limits, this.endedAt]) {
      for (const upstream of table.keys()) {
        if (!isActive(upstream)) table.delete(upstream);
      }
    }
  }

  private effectiveRate(upstream: Incarnation): RequestRate {
    return Math.max(TRIAL_RATE, this.rateOf(upstream) ?? Infinity);
  }

  private recordSighting(
    now: Millis,
    wall: number,
    upstream: Incarnation,
    sighting: Sighting,
  ): boolean {
    const before = this.rateOf(upstream);
    let state = this.limits.get(upstream);
    if (state === undefined) {
      this.wallOffset = wall - now;
      state = {
        sightings: [],
        tokens: 0,
        filledAt: now,
        lastSentAt: -Infinity,
      };
      this.limits.set(upstream, state);
    }
    const sightings = [...state.sightings, sighting].sort(
      (a, b) => a.at - b.at,
    );
    const latest = sightings.at(-1)!.at;
    // Of equal or higher rates only the latest matters.
    state.sightings = sightings.filter(
      ({at, rate}, i) =>
        (at === latest || latest - at <= RAISE_DELAY) &&
        !sightings.slice(i + 1).some(later => later.rate <= rate),
    );
    return this.rateOf(upstream) !== before;
  }

  private refill(now: Millis, state: LimitState, rate: RequestRate): void {
    const perMs = rate / this.share.count / SECOND;
    const burst = Math.max(1, perMs * BURST_TIME);
    const gained = Math.max(0, now - state.filledAt) * perMs;
    state.tokens = Math.min(burst, state.tokens + gained);
    state.filledAt = now;
  }

  /**
   * Returns the next time in this entry's slots. A cycle has one slot for each
   * entry and lasts as long as the limit allows for one request of each.
   */
  private nextSlot(now: Millis, state: LimitState, rate: RequestRate): Millis {
    const {index, count} = this.share;
    const slot = SECOND / rate;
    const cycle = slot * count;
    // A changed number of entries or a stepped clock moves the slots.
    const earliest = Math.max(now, state.lastSentAt + cycle / 2);
    const position = (earliest + this.wallOffset - index * slot) % cycle;
    const sinceStart = (position + cycle) % cycle;
    return sinceStart < slot ? earliest : earliest + cycle - sinceStart;
  }
}

const lastSeenAt = ({sightings}: LimitState) =>
  Math.max(...sightings.map(({at}) => at));
