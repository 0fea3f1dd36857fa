import {ColdStartBound} from '../../../cold_start/index.js';
import type {AvailabilityZone, Chance, Millis} from '../../../core/index.js';
import {
  GroupCircuitBreaker,
  LoadTracker,
  UpstreamLimits,
} from '../../../direct/index.js';
import type {EntryShare, GroupKey, Upstream} from '../../../direct/index.js';
import type {
  Containment,
  Logger,
  Metrics,
} from '../../../observability/index.js';
import {canStartInTime} from '../../../overload/index.js';
import type {OverloadQueue, Shed, Waiting} from '../../../overload/index.js';
import {ColdRequestLog} from '../cold_start/index.js';
import {StreamLimitMonitor} from '../pacing/index.js';
import type {
  DispatchRequest,
  Unplaced,
  UpstreamDirectory,
  ZoneFilter,
} from './dispatch_request.js';
import {NO_EVACUATIONS, REJECTIONS} from './dispatch_request.js';
import {GroupLimiters} from './group_limiters.js';
import {OverloadLog} from './overload_log.js';
import {ServiceQueues} from './service_queues.js';
import {UpstreamSelector} from './upstream_selector.js';

/** Balances the requests of an entry and queues those beyond the capacity. */
export class Dispatcher {
  readonly loads = new LoadTracker();
  readonly limits = new UpstreamLimits();
  readonly coldStart = new ColdStartBound();
  readonly coldRequests: ColdRequestLog;
  private readonly groupBreaker = new GroupCircuitBreaker();
  private readonly limiters: GroupLimiters;
  private readonly selector: UpstreamSelector;
  private readonly queues: ServiceQueues;
  private readonly overloadLog: OverloadLog;
  private readonly streamLimits: StreamLimitMonitor;

  /**
   * @param directory - the upstreams
   * @param zone - zone of this entry
   * @param chance - random source for ties
   * @param logger - logs availability changes of groups
   * @param containment - contains exceptions to their request
   * @param metrics - measures queues and limits on streams
   * @param evacuation - zones that requests are kept away from
   */
  constructor(
    private readonly directory: UpstreamDirectory,
    zone: AvailabilityZone,
    chance: Chance,
    private readonly logger: Logger,
    private readonly containment: Containment,
    metrics: Metrics,
    private readonly evacuation: ZoneFilter = NO_EVACUATIONS,
  ) {
    this.coldRequests = new ColdRequestLog(logger);
    this.overloadLog = new OverloadLog(logger, metrics);
    this.queues = new ServiceQueues(directory, chance);
    this.streamLimits = new StreamLimitMonitor(logger, metrics);
    this.limiters = new GroupLimiters(directory, chance, evacuation);
    this.selector = new UpstreamSelector(
      directory,
      {
        loads: this.loads,
        limits: this.limits,
        coldStart: this.coldStart,
        groupBreaker: this.groupBreaker,
        limiters: this.limiters,
        evacuation,
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
    return this.queues.length;
  }

  /**
   * Returns the fields of `/status`.
   * @param now - current time
   */
  statusAt(now: Millis): object {
    const groups = [...this.limiters.entries()].map(([group, limiter]) => ({
      group,
      isUnavailable: this.groupBreaker.isUnavailable(group),
      ...limiter.starts.status,
      ...limiter.streams.status,
    }));
    const queues = this.queues.statusAt(now);
    return {waiting: this.queueLength, queues, groups};
  }

  /**
   * Sends, queues or rejects a request.
   * @param now - current time
   * @param req - the request
   */
  submit(now: Millis, req: DispatchRequest): void {
    const queue = this.queues.of(now, req.service);
    if (req.mayWait) queue.recordArrival(now, req);
    // Queued requests are sent in queue order, not in order of arrival.
    if (req.mayWait && queue.length > 0) {
      this.enqueue(now, queue, req);
      this.dispatchFrom(now, queue);
      return;
    }
    const chosen = this.selector.select(now, req);
    if (typeof chosen === 'object') {
      if (req.mayWait) queue.recordSent(now, req);
      this.dispatch(now, req, chosen);
    } else if (this.waits(now, req, chosen)) this.enqueue(now, queue, req);
    else this.reject(now, req, chosen);
  }

  /**
   * Removes a request from the queue.
   * @param req - the request
   */
  withdraw(req: DispatchRequest): void {
    this.queues.find(req.service)?.remove(req);
  }

  /**
   * Sends queued requests up to the capacity, and rejects those that cannot be
   * sent in time.
   * @param now - current time
   */
  dispatchQueued(now: Millis): void {
    for (const queue of this.queues.all(now)) this.dispatchFrom(now, queue);
  }

  /**
   * Examines all queued requests again after zones were evacuated or taken back:
   * sends those that can be placed, rejects those that no upstream is left for.
   * @param now - current time
   */
  reexamineQueue(now: Millis): void {
    for (const queue of this.queues.all(now)) {
      for (const req of [...queue.requests]) {
        if (this.selector.permittedUpstreams(req).length > 0) continue;
        if (this.selector.evacuatedZones(req).length === 0) continue;
        queue.remove(req);
        this.contain(req, () => this.reject(now, req, 'evacuated'));
      }
    }
    this.dispatchQueued(now);
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

  /**
   * Records a backoff that an upstream requested.
   * @param now - current time
   * @param upstream - the upstream
   * @param span - duration of the backoff
   */
  recordBackoff(
    now: Millis,
    {registration, incarnation}: Upstream,
    span: Millis,
  ): void {
    this.loads.recordBackoff(now, incarnation, span);
    this.logger.info('upstream_backs_off', {
      upstream: registration.id,
      ms: Math.round(span),
    });
  }

  private enqueue(
    now: Millis,
    queue: OverloadQueue<DispatchRequest>,
    req: DispatchRequest,
  ): void {
    for (const shed of queue.enqueue(now, req)) this.rejectShed(now, shed);
  }

  private dispatchFrom(
    now: Millis,
    queue: OverloadQueue<DispatchRequest>,
  ): void {
    if (queue.length === 0) return;
    const [next] = queue.requests;
    // Permits of cold upstreams begin at known times, and end with the cold phase.
    const isDrainKnown = !this.selector.sendsByPermits(now, next!.service);
    for (const shed of queue.shedExpired(now, isDrainKnown))
      this.rejectShed(now, shed);
    const skipped: Waiting<DispatchRequest>[] = [];
    while (queue.length > 0 && skipped.length <= MAX_SKIPPED) {
      const isLast = skipped.length === MAX_SKIPPED;
      const req = isLast ? queue.peekEarliest(now) : queue.peek(now);
      const waiting = req && queue.remove(req);
      if (req === undefined || waiting === undefined) break;
      this.contain(req, () => {
        const chosen = this.selector.select(now, req);
        if (typeof chosen === 'object') {
          queue.recordSent(now, req, waiting);
          this.overloadLog.recordDelayed(now, waiting);
          this.dispatch(now, req, chosen);
        } else if (this.waits(now, req, chosen)) skipped.push(waiting);
        else {
          const ahead = skipped.length;
          this.overloadLog.recordShed(now, {...waiting, reason: chosen, ahead});
          this.reject(now, req, chosen);
        }
      });
    }
    for (const waiting of skipped) queue.putBack(now, waiting);
  }

  private rejectShed(now: Millis, shed: Shed<DispatchRequest>): void {
    const {req} = shed;
    this.overloadLog.recordShed(now, shed);
    this.contain(req, () => {
      const chosen = this.selector.select(now, req);
      const reason = typeof chosen === 'object' ? 'full' : chosen;
      this.reject(now, req, reason, shed);
    });
  }

  /** Runs a step of a queued request, which another request may have caused. */
  private contain(req: DispatchRequest, work: () => void): void {
    this.containment.run('queue', {service: req.service}, work, () => {
      const {queueLength} = this;
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
    if (this.selector.evacuatedZones(req).length > 0)
      this.evacuation.recordKeptAway(req.service, 'placed_elsewhere');
    const group = this.directory.groupOf(upstream);
    this.groupBreaker.recordRequest(now, group);
    if (this.directory.hasEngines(req.service)) {
      const {starts, streams} = this.limiters.of(group, req.service);
      starts.recordSent();
      streams.recordSent();
    }
    this.limits.recordSent(now, upstream.incarnation);
    if (this.coldStart.recordSent(now, upstream)) {
      this.coldRequests.recordSent(req, upstream);
    }
    req.send(now, upstream, group);
  }

  /**
   * Returns whether a request that cannot be placed now waits. It does not wait
   * for a group that is down, whose recovery time is unknown: the caller's retry
   * covers a longer time, and for a limit only up to its latency target. For a
   * permit of a cold upstream, whose time is known, any request waits.
   */
  private waits(now: Millis, req: DispatchRequest, reason: Unplaced): boolean {
    if (reason === 'warming_up') {
      const nextAt = this.selector.acceptingFrom(now, req);
      if (!canStartInTime(nextAt, req)) return false;
      this.coldRequests.recordKept(now, req, nextAt, 'waits');
      return true;
    }
    if (!req.mayWait || !canStartInTime(now, req)) return false;
    if (reason === 'limited')
      return this.selector.acceptingFrom(now, req) <= req.targetAt;
    return reason === 'full';
  }

  private reject(
    now: Millis,
    req: DispatchRequest,
    reason: Unplaced,
    shed?: Shed<DispatchRequest>,
  ): void {
    const downtimes = this.selector
      .permittedUpstreams(req)
      .map(upstream =>
        this.groupBreaker.downtime(now, this.directory.groupOf(upstream)),
      );
    const isEvacuated = reason === 'evacuated';
    if (isEvacuated) this.evacuation.recordKeptAway(req.service, 'rejected');
    const notBefore = KNOWN_ENDS.has(reason)
      ? this.selector.acceptingFrom(now, req)
      : undefined;
    if (reason === 'warming_up') {
      this.coldRequests.recordKept(now, req, notBefore ?? now, 'rejected');
    }
    req.reject(REJECTIONS[reason], {
      queueLength: this.queueLength,
      shed: shed?.reason,
      retryIn: reason === 'full' ? shed?.retryIn : undefined,
      downtime: Math.max(0, ...downtimes),
      evacuatedZones: isEvacuated
        ? this.selector.evacuatedZones(req).join(',')
        : undefined,
      ...{reason, notBefore},
    });
  }
}

/** Reasons whose end is known. */
const KNOWN_ENDS: ReadonlySet<Unplaced> = new Set([
  'backed_off',
  'limited',
  'warming_up',
]);

/**
 * Maximum number of queued requests skipped in one pass since they can't be placed.
 * Those behind them may be placed, as a limit on streams allows more for requests
 * that would start late otherwise: the one with the earliest target is tried, too.
 */
const MAX_SKIPPED = 8;
