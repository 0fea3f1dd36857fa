import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** A request in the queue. */
export interface PendingRequest {
  /** Latest start that is within the latency target. */
  readonly targetAt: Millis;
  /** Time at which its caller disconnects unless the request has started. */
  readonly expiresAt: Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Minimum time from sending a request to its start. */
export const MIN_START_DELAY: Millis = 150;
/** Window of the dequeue rate. */
const RATE_WINDOW: Millis = SECOND;

/** Dequeue order of pending requests. */
export abstract class QueueOrder {
  /**
   * Returns whether one request precedes another in the queue.
   * @param now - current time
   * @param one - the first request
   * @param other - the second request
   */
  abstract isBefore(
    now: Millis,
    one: PendingRequest,
    other: PendingRequest,
  ): boolean;
}

/**
 * Adaptive LIFO within the latency target, by priority; earliest deadline first
 * past it. It handles arrivals beyond what a group can start, as after a stall.
 * First come, first served would start every request late until the backlog is
 * gone; here the backlog gets the remaining capacity.
 */
export class AdaptiveLifoOrder extends QueueOrder {
  isBefore(now: Millis, one: PendingRequest, other: PendingRequest): boolean {
    const isInTime = (of: PendingRequest) =>
      now + MIN_START_DELAY <= of.targetAt;
    const [first, second] = [isInTime(one), isInTime(other)];
    if (first !== second) return first;
    if (one.priority !== other.priority) return one.priority < other.priority;
    if (first) return one.targetAt > other.targetAt;
    return one.expiresAt < other.expiresAt;
  }
}

/** Queue of requests whose group is full or unavailable. */
export class PendingQueue<T extends PendingRequest> {
  private readonly waiting = new Set<T>();
  private readonly sentTimes: Millis[] = [];

  /** @param order - dequeue order */
  constructor(private readonly order: QueueOrder) {}

  /** Number of queued requests. */
  get length(): number {
    return this.waiting.size;
  }

  /** Returns the queued requests, in any order. */
  get requests(): Iterable<T> {
    return this.waiting;
  }

  /**
   * Returns whether a request sent now can start before it expires.
   * @param now - current time
   * @param req - the request
   */
  static canStartInTime(now: Millis, {expiresAt}: PendingRequest): boolean {
    return now + MIN_START_DELAY < expiresAt;
  }

  /**
   * Adds a request to the queue.
   * @param req - the request
   */
  enqueue(req: T): void {
    this.waiting.add(req);
  }

  /**
   * Removes a request from the queue.
   * @param req - the request
   */
  remove(req: T): void {
    this.waiting.delete(req);
  }

  /**
   * Returns the next request without removing it.
   * @param now - current time
   * @returns undefined if the queue is empty
   */
  peek(now: Millis): T | undefined {
    let first: T | undefined;
    for (const req of this.waiting) {
      if (first === undefined || this.order.isBefore(now, req, first)) {
        first = req;
      }
    }
    return first;
  }

  /**
   * Records that a queued request was sent, for the dequeue rate.
   * @param now - current time
   */
  recordSent(now: Millis): void {
    this.sentTimes.push(now);
  }

  /**
   * Removes and returns the requests that cannot be sent in time: those that
   * are about to expire and, while the queue moves, those too far back in it.
   * @param now - current time
   */
  shedExpired(now: Millis): T[] {
    const expired = [...this.waiting].filter(
      req => !PendingQueue.canStartInTime(now, req),
    );
    const rate = this.dequeueRate(now);
    if (rate > 0)
      expired.push(...this.unreachableByDeadline(now, rate, expired));
    for (const req of expired) this.waiting.delete(req);
    return expired;
  }

  /** Returns late requests that expire before they can be dequeued. */
  private unreachableByDeadline(
    now: Millis,
    rate: number,
    excluded: readonly T[],
  ): T[] {
    const late = [...this.waiting]
      .filter(
        req => req.targetAt < now + MIN_START_DELAY && !excluded.includes(req),
      )
      .sort((a, b) => a.expiresAt - b.expiresAt);
    const result: T[] = [];
    for (const req of late) {
      const ahead = late.indexOf(req) - result.length;
      const sentAt = now + ahead / rate;
      if (sentAt + MIN_START_DELAY > req.expiresAt) result.push(req);
    }
    return result;
  }

  /** Returns the dequeue rate, requests per ms. */
  private dequeueRate(now: Millis): number {
    while ((this.sentTimes[0] ?? Infinity) < now - RATE_WINDOW)
      this.sentTimes.shift();
    return this.sentTimes.length / RATE_WINDOW;
  }
}
