import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** A request that waits to be sent. */
export interface PendingRequest {
  /** Until then it can start in time. */
  readonly targetAt: Millis;
  /** Its caller leaves at that time unless it has started. */
  readonly expiresAt: Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** A request needs this long from its sending to its start, at best. */
export const MIN_START_DELAY: Millis = 150;
/** Window of the dequeue rate. */
const RATE_WINDOW: Millis = SECOND;

/** Dequeue order of pending requests. */
export abstract class QueueOrder {
  /**
   * Whether one request goes before another.
   * @param now - present time
   * @param one - a request
   * @param other - another one
   */
  abstract isBefore(
    now: Millis,
    one: PendingRequest,
    other: PendingRequest,
  ): boolean;
}

/**
 * Adaptive LIFO within the latency target, by priority; earliest deadline first
 * past it. Load that it answers: more arrives than a group can start, as after
 * a stall. First come, first served would start every request late until the
 * backlog is gone; here the backlog gets the remaining capacity.
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

  /** @param order - which goes first */
  constructor(private readonly order: QueueOrder) {}

  /** Requests that wait. */
  get length(): number {
    return this.waiting.size;
  }

  /**
   * Whether waiting is of any use to a request.
   * @param now - present time
   * @param req - the request
   */
  static canStartInTime(
    now: Millis,
    {expiresAt: leavesAt}: PendingRequest,
  ): boolean {
    return now + MIN_START_DELAY < leavesAt;
  }

  /**
   * A request waits from now on.
   * @param req - the request
   */
  enqueue(req: T): void {
    this.waiting.add(req);
  }

  /**
   * A request waits no longer.
   * @param req - the request
   */
  remove(req: T): void {
    this.waiting.delete(req);
  }

  /**
   * The request whose turn it is.
   * @param now - present time
   * @returns nothing when none waits
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
   * A request that waited has been sent.
   * @param now - present time
   */
  recordSent(now: Millis): void {
    this.sentTimes.push(now);
  }

  /**
   * Takes the requests that will not be sent in time: those whose callers
   * leave, and, while others are sent, those that are too far back.
   * @param now - present time
   */
  shedExpired(now: Millis): T[] {
    const hopeless = [...this.waiting].filter(
      req => !PendingQueue.canStartInTime(now, req),
    );
    const rate = this.dequeueRate(now);
    if (rate > 0)
      hopeless.push(...this.unreachableByDeadline(now, rate, hopeless));
    for (const req of hopeless) this.waiting.delete(req);
    return hopeless;
  }

  /** Late requests that those before them leave no time for. */
  private unreachableByDeadline(
    now: Millis,
    rate: number,
    gone: readonly T[],
  ): T[] {
    const late = [...this.waiting]
      .filter(
        req => req.targetAt < now + MIN_START_DELAY && !gone.includes(req),
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

  /** Dequeue rate, requests per ms. */
  private dequeueRate(now: Millis): number {
    while ((this.sentTimes[0] ?? Infinity) < now - RATE_WINDOW)
      this.sentTimes.shift();
    return this.sentTimes.length / RATE_WINDOW;
  }
}
