import type {Chance, Millis} from '../core/index.js';
import {OrganisationCharges} from './organisation_charges.js';
import type {QueueBounds} from './organisation_charges.js';
import {MIN_START_DELAY, canStartInTime} from './pending_request.js';
import type {
  PendingRequest,
  Shed,
  ShedReason,
  Waiting,
} from './pending_request.js';
import {RankedSet} from './ranked_set.js';
import type {RankKey} from './ranked_set.js';
import {RateWindow} from './rate_window.js';
import {RepeatDetector} from './repeat_detector.js';
import {RetrySchedule} from './retry_schedule.js';
import {findUnreachable} from './shedding.js';
import {ValueClasses} from './value_classes.js';
import type {QueuedItem} from './value_classes.js';
import {EqualValueModel, PriorityValueModel} from './value_model.js';
import type {Standing, ValueModel} from './value_model.js';
import {WorkScale} from './work_scale.js';
import type {Size} from './work_scale.js';

/** More than the connections of an entry, and a part of its memory. */
export const QUEUE_BOUNDS: QueueBounds = {
  requests: 4_096,
  bytes: 32 * 2 ** 20,
};
/**
 * A request of much or little work moves by this fraction of the time to its
 * start target among equal ones, at most.
 */
const WORK_SHIFT = 0.25;
/** Memory of a queued request besides its body, bytes (bench:queue). */
const REQUEST_OVERHEAD = 1_024;

interface Arrival {
  readonly size: Size;
  readonly isRepeat: boolean;
}

/** Queue of the requests of a service beyond its capacity. */
export class OverloadQueue<T extends PendingRequest> {
  private model: ValueModel = new EqualValueModel();
  private classes = new ValueClasses<T>(this.model);
  private readonly items = new Map<T, QueuedItem<T>>();
  /** Requests that can be in time, by the latest start that is. */
  private readonly byTarget = new RankedSet<QueuedItem<T>>();
  private readonly byExpiry = new RankedSet<QueuedItem<T>>();
  private readonly charges: OrganisationCharges;
  private readonly sends = new RateWindow();
  private readonly scale = new WorkScale();
  private readonly repeats = new RepeatDetector();
  private readonly schedule: RetrySchedule;
  private readonly arrivals = new WeakMap<T, Arrival>();
  private itemCount = 0;

  /**
   * @param chance - spreads Retry-After
   * @param bounds - bounds of the queue
   */
  constructor(chance: Chance, bounds: QueueBounds = QUEUE_BOUNDS) {
    this.schedule = new RetrySchedule(chance);
    this.charges = new OrganisationCharges(bounds);
  }

  /** Number of queued requests. */
  get length(): number {
    return this.items.size;
  }

  /** The queued requests, in the order of their arrival. */
  get requests(): Iterable<T> {
    return this.items.keys();
  }

  /** Whether requests are ordered and shed by priority. */
  get isByPriority(): boolean {
    return this.model.isByPriority;
  }

  /**
   * Returns the fields of `/status`.
   * @param now - current time
   */
  statusAt(now: Millis): object {
    const waiting: Record<string, number> = {};
    for (const {standing, priority, turns} of this.classes.inOrder) {
      if (turns.size > 0) waiting[`${priority}_${standing}`] = turns.size;
    }
    return {
      byPriority: this.isByPriority,
      waiting,
      bytes: this.charges.totalBytes,
      organisations: this.charges.organisations,
      drainPerSecond: Math.round(10_000 * this.sends.rate(now)) / 10,
    };
  }

  /**
   * Orders and sheds by priority, or as if all priorities were equal.
   * @param now - current time
   * @param isByPriority - whether the requests differ in priority
   */
  setByPriority(now: Millis, isByPriority: boolean): void {
    if (isByPriority === this.isByPriority) return;
    const items = [...this.items.values()];
    for (const item of items) this.detach(item);
    this.model = isByPriority
      ? new PriorityValueModel()
      : new EqualValueModel();
    this.classes = new ValueClasses(this.model);
    for (const item of items) this.attach(item, this.standingOf(now, item));
  }

  /**
   * Records a request, whether it is queued or not.
   * @param now - current time
   * @param req - the request
   */
  recordArrival(now: Millis, req: T): void {
    const {route = '', callerTimeout, priority} = req;
    const isRepeat = this.repeats.observe(route, callerTimeout);
    const arrival = {size: this.scale.recordArrival(req), isRepeat};
    this.arrivals.set(req, arrival);
    const standing = this.standingOf(now, {req, isRepeat});
    this.classes.of(standing, priority).arrivals.record(now);
  }

  /**
   * Adds a request to the queue.
   * @param now - current time
   * @param req - the request
   * @returns the requests that give way to it, or itself, if the queue is full
   */
  enqueue(now: Millis, req: T): Shed<T>[] {
    if (!this.arrivals.has(req)) this.recordArrival(now, req);
    const {size, isRepeat} = this.arrivals.get(req)!;
    const item: QueuedItem<T> = {
      ...{req, size, isRepeat},
      organisation: req.organisation,
      queuedAt: now,
      seq: this.itemCount++,
      aheadAtFirst: 0,
      standing: 'in_time',
      key: {rank: 0, seq: 0},
    };
    this.insert(now, item);
    item.aheadAtFirst = this.classes.ahead(item);
    const evicted: Shed<T>[] = [];
    while (this.charges.isExceeded) {
      const victim = this.victim();
      if (victim === undefined) break;
      evicted.push(this.shed(now, victim, 'queue_full'));
    }
    return evicted;
  }

  /**
   * Puts a request back that was taken from the queue.
   * @param now - current time
   * @param waiting - the request
   */
  putBack(now: Millis, waiting: Waiting<T>): void {
    this.insert(now, waiting as QueuedItem<T>);
  }

  /**
   * Removes a request from the queue.
   * @param req - the request
   * @returns what is known of its wait; undefined if it is not queued
   */
  remove(req: T): Waiting<T> | undefined {
    const item = this.items.get(req);
    if (item === undefined) return undefined;
    this.items.delete(req);
    this.byExpiry.delete({rank: req.expiresAt, seq: item.seq});
    this.charges.remove(item.organisation, sizeOf(req));
    this.detach(item);
    return item;
  }

  /**
   * Returns the next request without removing it.
   * @param now - current time
   * @returns undefined if the queue is empty
   */
  peek(now: Millis): T | undefined {
    this.updateStandings(now);
    return this.classes.first()?.req;
  }

  /**
   * Returns the request whose start target ends first among those in time, or the
   * next one if all are late.
   * @param now - current time
   * @returns undefined if the queue is empty
   */
  peekEarliest(now: Millis): T | undefined {
    const next = this.peek(now);
    return this.byTarget.first?.req ?? next;
  }

  /**
   * Records that a request was sent, queued before or not.
   * @param now - current time
   * @param req - the request
   * @param waiting - what is known of its wait, if it was queued
   */
  recordSent(now: Millis, req: T, waiting?: Waiting<T>): void {
    this.sends.record(now);
    const arrival = this.arrivals.get(req);
    if (arrival !== undefined) this.scale.recordServed(arrival.size);
    if (waiting === undefined) return;
    const item = waiting as QueuedItem<T>;
    const {turns} = this.classes.of(item.standing, req.priority);
    turns.charge(item, item.size.work);
  }

  /**
   * Removes and returns the requests that cannot be sent in time: those that
   * are about to expire and, while the queue moves, those too far back in it.
   * @param now - current time
   * @param isDrainKnown - whether the rate of past sends tells that of the next
   */
  shedExpired(now: Millis, isDrainKnown = true): Shed<T>[] {
    this.updateStandings(now);
    const shed: Shed<T>[] = [];
    for (;;) {
      const next = this.byExpiry.first;
      if (next === undefined || canStartInTime(now, next.req)) break;
      shed.push(this.shed(now, next, 'expired'));
    }
    if (!isDrainKnown) return shed;
    const {classes, sends, isByPriority} = this;
    const unreachable = () =>
      findUnreachable({now, classes, sends, isByPriority});
    for (let found = unreachable(); found !== undefined; found = unreachable())
      if (found.standing === 'in_time') this.move(found, 'late');
      else {
        // A caller that is rejected twice is lost, so a first attempt goes.
        const isRepeated = found.standing === 'repeated';
        const first = isRepeated ? classes.lateAhead(found) : undefined;
        shed.push(this.shed(now, first ?? found, 'unreachable'));
      }
    return shed;
  }

  /** Moves requests that can no longer be in time to the late ones. */
  private updateStandings(now: Millis): void {
    for (;;) {
      const next = this.byTarget.first;
      if (next === undefined || isInTime(now, next.req)) return;
      this.move(next, 'late');
    }
  }

  /** Returns the request that is shed while the queue is too full. */
  private victim(): QueuedItem<T> | undefined {
    const {largest} = this.charges;
    return this.classes.leastCostly(largest);
  }

  private shed(now: Millis, item: QueuedItem<T>, reason: ShedReason): Shed<T> {
    const ahead = this.classes.ahead(item);
    this.remove(item.req);
    const retryIn = this.isByPriority ? this.retryDelay(now, item) : undefined;
    return {...item, reason, ahead, retryIn};
  }

  private retryDelay(now: Millis, {req}: QueuedItem<T>): Millis {
    const drainRate = this.sends.rate(now);
    const arrivalRate = this.classes.arrivalRate(now, undefined, 0);
    const deadlineAt = req.deadlineAt ?? req.expiresAt;
    return this.schedule.delay(now, deadlineAt - now, {
      backlogTime: drainRate > 0 ? this.length / drainRate : 0,
      freeRate: drainRate - arrivalRate,
    });
  }

  private insert(now: Millis, item: QueuedItem<T>): void {
    const {req, seq} = item;
    this.items.set(req, item);
    this.byExpiry.add({rank: req.expiresAt, seq}, item);
    this.charges.add(item.organisation, sizeOf(req));
    this.attach(item, this.standingOf(now, item));
  }

  private move(item: QueuedItem<T>, standing: Standing): void {
    this.detach(item);
    this.attach(item, standing);
  }

  /** Adds a request to the class of a standing. */
  private attach(item: QueuedItem<T>, standing: Standing): void {
    item.standing = standing;
    item.key = this.keyOf(item);
    this.classes.of(standing, item.req.priority).turns.add(item);
    if (standing === 'in_time')
      this.byTarget.add({rank: item.req.targetAt, seq: item.seq}, item);
  }

  private detach(item: QueuedItem<T>): void {
    this.classes.of(item.standing, item.req.priority).turns.delete(item);
    if (item.standing === 'in_time')
      this.byTarget.delete({rank: item.req.targetAt, seq: item.seq});
  }

  /** Newest first while in time, then earliest deadline first. */
  private keyOf({req, size, seq, standing}: QueuedItem<T>): RankKey {
    if (standing !== 'in_time') return {rank: req.expiresAt, seq};
    const shift = WORK_SHIFT * (req.target ?? 0) * this.scale.shiftOf(size);
    return {rank: shift - req.targetAt, seq};
  }

  private standingOf(
    now: Millis,
    {req, isRepeat}: Pick<Waiting<T>, 'req' | 'isRepeat'>,
  ): Standing {
    if (isRepeat && this.isByPriority) return 'repeated';
    return isInTime(now, req) ? 'in_time' : 'late';
  }
}

const isInTime = (now: Millis, {targetAt}: PendingRequest) =>
  now + MIN_START_DELAY <= targetAt;

const sizeOf = ({bytes = 0}: PendingRequest) => REQUEST_OVERHEAD + bytes;
