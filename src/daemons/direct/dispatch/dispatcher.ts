import type {AvailabilityZone, Chance, Millis} from '../../../core/index.js';
import {
  GroupCircuitBreaker,
  AdaptiveLifoOrder,
  LoadTracker,
  PendingQueue,
  UpstreamLimits,
} from '../../../direct/index.js';
import type {EntryShare, GroupKey, Upstream} from '../../../direct/index.js';
import type {
  Containment,
  Logger,
  Metrics,
} from '../../../observability/index.js';
import {StreamLimitMonitor} from '../pacing/index.js';
import type {
  DispatchRejection,
  DispatchRequest,
  Unplaced,
  UpstreamDirectory,
} from './dispatch_request.js';
import {GroupLimiters} from './group_limiters.js';
import {UpstreamSelector} from './upstream_selector.js';

/** Balances the requests of an entry and queues those beyond the capacity. */
export class Dispatcher {
  readonly loads = new LoadTracker();
  readonly limits = new UpstreamLimits();
  private readonly groupBreaker = new GroupCircuitBreaker();
  private readonly limiters: GroupLimiters;
  private readonly selector: UpstreamSelector;
  private readonly streamLimits: StreamLimitMonitor;
  private readonly queue = new PendingQueue<DispatchRequest>(
    new AdaptiveLifoOrder(),
  );

  /**
   * @param directory - the upstreams
   * @param zone - zone of this entry
   * @param chance - random source for ties
   * @param logger - logs availability changes of groups
   * @param containment - contains exceptions to their request
   * @param metrics - metrics of the limits on streams
   */
  constructor(
    private readonly directory: UpstreamDirectory,
    zone: AvailabilityZone,
    chance: Chance,
    private readonly logger: Logger,
    private readonly containment: Containment,
    metrics?: Metrics,
  ) {
    this.streamLimits = new StreamLimitMonitor(logger, metrics);
    this.limiters = new GroupLimiters(directory, chance);
    this.selector = new UpstreamSelector(
      directory,
      {
        loads: this.loads,
        limits: this.limits,
        groupBreaker: this.groupBreaker,
        limiters: this.limiters,
      },
      zone,
      chance,
    );
  }

  /**
   * Sets the position of this entry among all entries.
   * @param share - its position
   */
  setShare(share: EntryShare): void {
    this.limits.setShare(share);
    this.selector.setShare(share);
  }

  /** Number of queued requests. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** Fields of `/status`. */
  get status(): object {
    const groups = [...this.limiters.entries()].map(([group, limiter]) => ({
      group,
      isUnavailable: this.groupBreaker.isUnavailable(group),
      ...limiter.starts.status,
      ...limiter.streams.status,
    }));
    return {waiting: this.queue.length, groups};
  }

  /**
   * Returns the fields of an upstream in `/status`.
   * @param now - current time
   * @param upstream - the upstream
   */
  statusOf(now: Millis, {registration, incarnation}: Upstream): object {
    return {
      id: registration.id,
      service: registration.service,
      address: registration.address,
      suspended: this.loads.isSuspended(now, incarnation),
      limit: this.limits.rateOf(incarnation),
      ...this.loads.loadOf(incarnation),
    };
  }

  /**
   * Sends, queues or rejects a request.
   * @param now - current time
   * @param req - the request
   */
  submit(now: Millis, req: DispatchRequest): void {
    // Queued requests are sent in queue order, not in order of arrival.
    if (req.mayWait && this.queue.length > 0) {
      this.queue.enqueue(req);
      this.dispatchQueued(now);
      return;
    }
    const chosen = this.selector.select(now, req);
    if (typeof chosen === 'object') this.dispatch(now, req, chosen);
    else if (this.waits(now, req, chosen)) this.queue.enqueue(req);
    else this.reject(now, req, chosen);
  }

  /**
   * Removes a request from the queue.
   * @param req - the request
   */
  withdraw(req: DispatchRequest): void {
    this.queue.remove(req);
  }

  /**
   * Sends queued requests up to the capacity, and rejects those that cannot be
   * sent in time.
   * @param now - current time
   */
  dispatchQueued(now: Millis): void {
    for (const req of this.queue.shedExpired(now)) {
      this.contain(req, () => {
        const chosen = this.selector.select(now, req);
        this.reject(now, req, typeof chosen === 'object' ? 'full' : chosen);
      });
    }
    const skipped: DispatchRequest[] = [];
    while (this.queue.length > 0 && skipped.length < MAX_SKIPPED) {
      const req = this.queue.peek(now);
      if (req === undefined) break;
      this.queue.remove(req);
      this.contain(req, () => {
        const chosen = this.selector.select(now, req);
        if (typeof chosen === 'object') {
          this.queue.recordSent(now);
          this.dispatch(now, req, chosen);
        } else if (this.waits(now, req, chosen)) skipped.push(req);
        else this.reject(now, req, chosen);
      });
    }
    for (const req of skipped) this.queue.enqueue(req);
  }

  /**
   * Records that a request has started.
   * @param now - current time
   * @param group - group of its upstream
   * @param sentAt - time at which it was sent
   * @param target - latency target of the start
   */
  recordStarted(
    now: Millis,
    group: GroupKey,
    sentAt: Millis,
    target: Millis,
  ): void {
    this.limiters.find(group)?.starts.recordStarted(now, now - sentAt, target);
    const downMs = Math.round(this.groupBreaker.downtime(now, group));
    if (this.groupBreaker.markAvailable(group, sentAt)) {
      this.logger.info('group_formed', {group, down_ms: downMs});
      this.limiters.find(group)?.starts.reset();
    }
    this.dispatchQueued(now);
  }

  /**
   * Records the time between two events of a stream.
   * @param now - current time
   * @param group - group of its upstream
   * @param gap - the time
   * @param target - longest time with which the stream is in time
   */
  recordGap(now: Millis, group: GroupKey, gap: Millis, target: Millis): void {
    const streams = this.limiters.find(group)?.streams;
    if (streams === undefined) return;
    streams.recordGap(now, gap, target);
    this.streamLimits.observe(now, group, streams);
  }

  /**
   * Records that a request has ended at an upstream.
   * @param now - current time
   * @param group - group of the upstream
   * @param hasStarted - whether it had started there
   */
  recordEnded(now: Millis, group: GroupKey, hasStarted: boolean): void {
    const limiters = this.limiters.find(group);
    if (limiters !== undefined) {
      limiters.streams.recordEnded();
      this.streamLimits.observe(now, group, limiters.streams);
    }
    if (!hasStarted) {
      limiters?.starts.recordEndedUnstarted();
      this.groupBreaker.recordEndedUnstarted(group);
    }
    this.dispatchQueued(now);
  }

  /**
   * Marks a group as unavailable: an upstream rejected a request because
   * another rank of its group failed.
   * @param now - current time
   * @param upstream - the upstream
   * @param culprit - the failed rank that it reported
   */
  markGroupUnavailable(now: Millis, upstream: Upstream, culprit: string): void {
    const {id} = upstream.registration;
    const group = this.directory.groupOf(upstream);
    if (!this.groupBreaker.markUnavailable(now, group)) return;
    this.logger.warn('group_fell', {group, upstream: id, culprit});
  }

  /** Runs a step of a queued request, which another request may have caused. */
  private contain(req: DispatchRequest, work: () => void): void {
    this.containment.run('queue', {service: req.service}, work, () => {
      const queueLength = this.queue.length;
      req.reject('overloaded', {reason: 'full', queueLength, downtime: 0});
    });
  }

  private dispatch(
    now: Millis,
    req: DispatchRequest,
    upstream: Upstream,
  ): void {
    if (!req.trySpend(now)) {
      this.reject(now, req, 'full');
      return;
    }
    const group = this.directory.groupOf(upstream);
    this.groupBreaker.recordRequest(now, group);
    if (this.directory.hasEngines(req.service)) {
      const {starts, streams} = this.limiters.of(group, req.service);
      starts.recordSent();
      streams.recordSent();
    }
    this.limits.recordSent(now, upstream.incarnation);
    req.send(now, upstream, group);
  }

  /**
   * Returns whether a request that cannot be placed now waits. It does not wait
   * for a group that is down, whose recovery time is unknown: the caller's retry
   * covers a longer time, and for a limit only up to its latency target.
   */
  private waits(now: Millis, req: DispatchRequest, reason: Unplaced): boolean {
    if (!req.mayWait || !PendingQueue.canStartInTime(now, req)) return false;
    if (reason === 'limited')
      return this.selector.acceptingFrom(now, req) <= req.targetAt;
    return reason === 'full';
  }

  private reject(now: Millis, req: DispatchRequest, reason: Unplaced): void {
    const downtimes = this.selector
      .untriedUpstreams(req)
      .map(upstream =>
        this.groupBreaker.downtime(now, this.directory.groupOf(upstream)),
      );
    req.reject(REJECTIONS[reason], {
      queueLength: this.queue.length,
      downtime: Math.max(0, ...downtimes),
      reason,
      notBefore:
        reason === 'backed_off' || reason === 'limited'
          ? this.selector.acceptingFrom(now, req)
          : undefined,
    });
  }
}

const REJECTIONS = {
  none: 'no_upstream',
  down: 'group_down',
  backed_off: 'overloaded',
  limited: 'overloaded',
  full: 'overloaded',
} as const satisfies Record<Unplaced, DispatchRejection>;

/**
 * Maximum number of queued requests skipped in one pass because their service
 * has no capacity: those behind them may be for another service.
 */
const MAX_SKIPPED = 8;
