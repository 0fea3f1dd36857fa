import type {
  AvailabilityZone,
  Chance,
  Millis,
  ServiceName,
} from '../../core/index.js';
import {
  LeastLoadedGroupPolicy,
  ExpectedWaitPolicy,
  GroupCircuitBreaker,
  AdaptiveLifoOrder,
  LoadTracker,
  ConcurrencyLimiter,
  PendingQueue,
} from '../../direct/index.js';
import type {
  GroupKey,
  PlacementPolicy,
  RankInfo,
  Upstream,
  PendingRequest,
} from '../../direct/index.js';
import type {Logger} from '../../observability/index.js';

/** A request that is to be sent to an upstream. */
export interface DispatchRequest extends PendingRequest {
  readonly service: ServiceName;
  readonly promptTokens: number;
  /** Upstreams that it was sent to before. */
  readonly triedIncarnations: ReadonlySet<string>;
  /** Time to its start that its caller expects. */
  readonly target: Millis;
  /** Whether it may wait for its turn. */
  readonly mayWait: boolean;
  /** Takes what its sending costs; false when it may not be sent. */
  trySpend(now: Millis): boolean;
  /** Sends it to an upstream of a group. */
  send(now: Millis, upstream: Upstream, group: GroupKey): void;
  /**
   * It will not be sent.
   * @param cause - why
   * @param notBefore - when an upstream takes requests again, if known
   */
  reject(
    cause: 'group_down' | 'overloaded' | 'no_upstream',
    notBefore?: Millis,
  ): void;
}

/** What a dispatcher needs to know. */
export interface UpstreamDirectory extends RankInfo {
  /** Entries of the estate, this one included. */
  entryCount(): number;
  upstreamsOf(service: ServiceName): readonly Upstream[];
  /** Whether a service's upstreams run model engines. */
  hasEngines(service: ServiceName): boolean;
}

/** Places the requests of an entry, or lets them wait for their turn. */
export class Dispatcher {
  readonly loads = new LoadTracker();
  private readonly groupBreaker = new GroupCircuitBreaker();
  private readonly limiters = new Map<GroupKey, ConcurrencyLimiter>();
  private readonly queue = new PendingQueue<DispatchRequest>(
    new AdaptiveLifoOrder(),
  );
  private readonly plainPolicy: PlacementPolicy;
  private readonly rankPolicy: PlacementPolicy;

  /**
   * @param directory - knows the upstreams
   * @param zone - zone of this entry
   * @param chance - breaks ties
   * @param logger - for groups that fall and form
   */
  constructor(
    private readonly directory: UpstreamDirectory,
    zone: AvailabilityZone,
    private readonly chance: Chance,
    private readonly logger: Logger,
  ) {
    this.plainPolicy = new ExpectedWaitPolicy(this.loads, zone);
    this.rankPolicy = new LeastLoadedGroupPolicy(this.loads, zone, directory);
  }

  /** Requests that wait for their turn. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** What `/status` shows. */
  get status(): object {
    const groups = [...this.limiters].map(([group, limiter]) => ({
      group,
      isUnavailable: this.groupBreaker.isUnavailable(group),
      ...limiter.status,
    }));
    return {waiting: this.queue.length, groups};
  }

  /**
   * Sends a request, lets it wait or refuses it.
   * @param now - present time
   * @param req - the request
   */
  submit(now: Millis, req: DispatchRequest): void {
    // Those that wait already go by their order, not by who asks first.
    if (req.mayWait && this.queue.length > 0) {
      this.queue.enqueue(req);
      this.dispatchQueued(now);
      return;
    }
    const chosen = this.chooseUpstream(now, req);
    if (typeof chosen === 'object') {
      this.dispatch(now, req, chosen);
    } else if (chosen === 'none') {
      req.reject('no_upstream');
    } else if (chosen === 'down') {
      // Nobody knows when it forms; coming back covers a longer time.
      req.reject('group_down');
    } else if (chosen === 'backed_off') {
      req.reject('overloaded', this.backedOffUntil(req));
    } else if (req.mayWait && PendingQueue.canStartInTime(now, req)) {
      this.queue.enqueue(req);
    } else {
      req.reject('overloaded');
    }
  }

  /**
   * A request needs no upstream any more.
   * @param req - the request
   */
  withdraw(req: DispatchRequest): void {
    this.queue.remove(req);
  }

  /**
   * Sends what waits, as far as there is room, and refuses what will not get
   * its turn.
   * @param now - present time
   */
  dispatchQueued(now: Millis): void {
    for (const req of this.queue.shedExpired(now)) req.reject('overloaded');
    const skipped: DispatchRequest[] = [];
    while (this.queue.length > 0 && skipped.length < MAX_SKIPPED) {
      const req = this.queue.peek(now);
      if (req === undefined) break;
      const chosen = this.chooseUpstream(now, req);
      this.queue.remove(req);
      if (typeof chosen === 'object') {
        this.queue.recordSent(now);
        this.dispatch(now, req, chosen);
      } else if (chosen === 'none') req.reject('no_upstream');
      else if (chosen === 'down') req.reject('group_down');
      else if (chosen === 'backed_off') {
        req.reject('overloaded', this.backedOffUntil(req));
      } else skipped.push(req);
    }
    for (const req of skipped) this.queue.enqueue(req);
  }

  /**
   * A request that was sent has started.
   * @param now - present time
   * @param group - group of the upstream that it was sent to
   * @param sentAt - when it was sent
   * @param target - within which time it should have started
   */
  recordStarted(
    now: Millis,
    group: GroupKey,
    sentAt: Millis,
    target: Millis,
  ): void {
    this.limiters.get(group)?.recordStarted(now, now - sentAt, target);
    const downMs = Math.round(this.groupBreaker.downtime(now, group));
    if (this.groupBreaker.markAvailable(group, sentAt)) {
      this.logger.info('group_formed', {group, down_ms: downMs});
      this.limiters.get(group)?.reset();
    }
    this.dispatchQueued(now);
  }

  /**
   * A request that was sent has ended without a start.
   * @param now - present time
   * @param group - group of the upstream that it was sent to
   */
  recordEndedUnstarted(now: Millis, group: GroupKey): void {
    this.limiters.get(group)?.recordEndedUnstarted();
    this.dispatchQueued(now);
  }

  /**
   * An upstream refused because another rank of its group failed.
   * @param now - present time
   * @param upstream - the upstream
   * @param culprit - what it blames
   */
  markGroupUnavailable(now: Millis, upstream: Upstream, culprit: string): void {
    const {id} = upstream.registration;
    const group = this.directory.groupOf(upstream);
    if (!this.groupBreaker.markUnavailable(now, group)) return;
    this.logger.warn('group_fell', {group, upstream: id, culprit});
  }

  private dispatch(
    now: Millis,
    req: DispatchRequest,
    upstream: Upstream,
  ): void {
    if (!req.trySpend(now)) {
      req.reject('overloaded');
      return;
    }
    const group = this.directory.groupOf(upstream);
    this.groupBreaker.recordRequest(now, group);
    if (this.directory.hasEngines(req.service))
      this.limiterOf(group).recordSent();
    req.send(now, upstream, group);
  }

  private chooseUpstream(
    now: Millis,
    req: DispatchRequest,
  ): Upstream | 'none' | 'down' | 'backed_off' | 'full' {
    const untried = this.untriedUpstreams(req);
    if (untried.length === 0) return 'none';
    const available = untried.filter(upstream =>
      this.groupBreaker.allowsRequest(now, this.directory.groupOf(upstream)),
    );
    if (available.length === 0) return 'down';
    const accepting = available.filter(
      ({incarnation}) => this.loads.backoffUntil(incarnation) <= now,
    );
    if (accepting.length === 0) return 'backed_off';
    const hasEngines = this.directory.hasEngines(req.service);
    const withCapacity = hasEngines
      ? accepting.filter(
          up => this.limiterOf(this.directory.groupOf(up)).hasCapacity,
        )
      : accepting;
    if (withCapacity.length === 0) return 'full';
    const reachable = withCapacity.filter(
      ({incarnation}) => !this.loads.isSuspended(now, incarnation),
    );
    const candidates = reachable.length > 0 ? reachable : withCapacity;
    const policy = hasEngines ? this.rankPolicy : this.plainPolicy;
    return policy.choose(now, req, candidates, this.chance) ?? 'none';
  }

  private untriedUpstreams({
    service,
    triedIncarnations,
  }: DispatchRequest): Upstream[] {
    return this.directory
      .upstreamsOf(service)
      .filter(({incarnation}) => !triedIncarnations.has(incarnation));
  }

  /** When the first of the upstreams that asked for a pause is back. */
  private backedOffUntil(req: DispatchRequest): Millis {
    const ends = this.untriedUpstreams(req).map(({incarnation}) =>
      this.loads.backoffUntil(incarnation),
    );
    return Math.min(...ends.filter(end => end > -Infinity));
  }

  private limiterOf(group: GroupKey): ConcurrencyLimiter {
    let limiter = this.limiters.get(group);
    if (limiter === undefined) {
      limiter = new ConcurrencyLimiter(() => this.directory.entryCount());
      this.limiters.set(group, limiter);
    }
    return limiter;
  }
}

/**
 * Waiting requests that are passed over in one go because their own service
 * has no room: the ones behind them may be for another one.
 */
const MAX_SKIPPED = 8;
