import type {Millis} from '../../src/core/index.js';
import {SECOND} from '../../src/core/index.js';
import {MIN_START_DELAY, canStartInTime} from '../../src/overload/index.js';
import type {PendingRequest} from '../../src/overload/index.js';

/** Window of the dequeue rate. */
const RATE_WINDOW: Millis = SECOND;

/** Dequeue order of pending requests. */
abstract class QueueOrder {
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

/**
 * The queue that entries had before `OverloadQueue`, which benchmarks and tests
 * compare with it.
 */
export class ScannedQueue<T extends PendingRequest> {
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
    const expired = [...this.waiting].filter(req => !canStartInTime(now, req));
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
