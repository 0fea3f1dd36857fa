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
export interface Dispatch extends PendingRequest {
  readonly service: ServiceName;
  readonly promptTokens: number;
  /** Upstreams that it was sent to before. */
  readonly tried: ReadonlySet<string>;
  /** Time to its start that its caller expects. */
  readonly target: Millis;
  /** Whether it may wait for its turn. */
  readonly mayWait: boolean;
  /** Takes what its sending costs; false when it may not be sent. */
  claim(now: Millis): boolean;
  /** Sends it to an upstream of a group. */
  send(now: Millis, upstream: Upstream, group: GroupKey): void;
  /**
   * It will not be sent.
   * @param cause - why
   * @param notBefore - when an upstream takes requests again, if known
   */
  refuse(
    cause: 'group_down' | 'overloaded' | 'no_upstream',
    notBefore?: Millis,
  ): void;
}

/** What a dispatcher needs to know. */
export interface DispatchView extends RankInfo {
  /** Entries of the estate, this one included. */
  entries(): number;
  upstreamsOf(service: ServiceName): readonly Upstream[];
  /** Whether a service's upstreams run model engines. */
  hasEngines(service: ServiceName): boolean;
}

/** Places the requests of an entry, or lets them wait for their turn. */
export class Dispatcher {
  readonly loads = new LoadTracker();
  private readonly groups = new GroupCircuitBreaker();
  private readonly limits = new Map<GroupKey, ConcurrencyLimiter>();
  private readonly line = new PendingQueue<Dispatch>(new AdaptiveLifoOrder());
  private readonly plain: PlacementPolicy;
  private readonly ranks: PlacementPolicy;

  /**
   * @param view - knows the upstreams
   * @param zone - zone of this entry
   * @param chance - breaks ties
   * @param logger - for groups that fall and form
   */
  constructor(
    private readonly view: DispatchView,
    zone: AvailabilityZone,
    private readonly chance: Chance,
    private readonly logger: Logger,
  ) {
    this.plain = new ExpectedWaitPolicy(this.loads, zone);
    this.ranks = new LeastLoadedGroupPolicy(this.loads, zone, view);
  }

  /** Requests that wait for their turn. */
  get waiting(): number {
    return this.line.length;
  }

  /** What `/status` shows. */
  get status(): object {
    const limits = [...this.limits].map(([group, limit]) => ({
      group,
      isUnavailable: this.groups.isUnavailable(group),
      ...limit.status,
    }));
    return {waiting: this.line.length, groups: limits};
  }

  /**
   * Sends a request, lets it wait or refuses it.
   * @param now - present time
   * @param req - the request
   */
  submit(now: Millis, req: Dispatch): void {
    // Those that wait already go by their order, not by who asks first.
    if (req.mayWait && this.line.length > 0) {
      this.line.enqueue(req);
      this.advance(now);
      return;
    }
    const chosen = this.choose(now, req);
    if (typeof chosen === 'object') {
      this.dispatch(now, req, chosen);
    } else if (chosen === 'none') {
      req.refuse('no_upstream');
    } else if (chosen === 'down') {
      // Nobody knows when it forms; coming back covers a longer time.
      req.refuse('group_down');
    } else if (chosen === 'backed_off') {
      req.refuse('overloaded', this.backedOffUntil(req));
    } else if (req.mayWait && PendingQueue.canStartInTime(now, req)) {
      this.line.enqueue(req);
    } else {
      req.refuse('overloaded');
    }
  }

  /**
   * A request needs no upstream any more.
   * @param req - the request
   */
  withdraw(req: Dispatch): void {
    this.line.remove(req);
  }

  /**
   * Sends what waits, as far as there is room, and refuses what will not get
   * its turn.
   * @param now - present time
   */
  advance(now: Millis): void {
    for (const req of this.line.shedExpired(now)) req.refuse('overloaded');
    const passedOver: Dispatch[] = [];
    while (this.line.length > 0 && passedOver.length < MOST_PASSED_OVER) {
      const req = this.line.peek(now);
      if (req === undefined) break;
      const chosen = this.choose(now, req);
      this.line.remove(req);
      if (typeof chosen === 'object') {
        this.line.recordSent(now);
        this.dispatch(now, req, chosen);
      } else if (chosen === 'none') req.refuse('no_upstream');
      else if (chosen === 'down') req.refuse('group_down');
      else if (chosen === 'backed_off') {
        req.refuse('overloaded', this.backedOffUntil(req));
      } else passedOver.push(req);
    }
    for (const req of passedOver) this.line.enqueue(req);
  }

  /**
   * A request that was sent has started.
   * @param now - present time
   * @param group - group of the upstream that it was sent to
   * @param sentAt - when it was sent
   * @param target - within which time it should have started
   */
  started(now: Millis, group: GroupKey, sentAt: Millis, target: Millis): void {
    this.limits.get(group)?.recordStarted(now, now - sentAt, target);
    const downMs = Math.round(this.groups.downtime(now, group));
    if (this.groups.markAvailable(group, sentAt)) {
      this.logger.info('group_formed', {group, down_ms: downMs});
      this.limits.get(group)?.reset();
    }
    this.advance(now);
  }

  /**
   * A request that was sent has ended without a start.
   * @param now - present time
   * @param group - group of the upstream that it was sent to
   */
  endedUnstarted(now: Millis, group: GroupKey): void {
    this.limits.get(group)?.recordEndedUnstarted();
    this.advance(now);
  }

  /**
   * An upstream refused because another rank of its group failed.
   * @param now - present time
   * @param upstream - the upstream
   * @param culprit - what it blames
   */
  groupFell(now: Millis, upstream: Upstream, culprit: string): void {
    const {id} = upstream.registration;
    const group = this.view.groupOf(upstream);
    if (!this.groups.markUnavailable(now, group)) return;
    this.logger.warn('group_fell', {group, upstream: id, culprit});
  }

  private dispatch(now: Millis, req: Dispatch, upstream: Upstream): void {
    if (!req.claim(now)) {
      req.refuse('overloaded');
      return;
    }
    const group = this.view.groupOf(upstream);
    this.groups.recordRequest(now, group);
    if (this.view.hasEngines(req.service)) this.limitOf(group).recordSent();
    req.send(now, upstream, group);
  }

  private choose(
    now: Millis,
    req: Dispatch,
  ): Upstream | 'none' | 'down' | 'backed_off' | 'full' {
    const untried = this.untried(req);
    if (untried.length === 0) return 'none';
    const open = untried.filter(upstream =>
      this.groups.allowsRequest(now, this.view.groupOf(upstream)),
    );
    if (open.length === 0) return 'down';
    const willing = open.filter(
      ({incarnation}) => this.loads.backoffUntil(incarnation) <= now,
    );
    if (willing.length === 0) return 'backed_off';
    const hasEngines = this.view.hasEngines(req.service);
    const free = hasEngines
      ? willing.filter(up => this.limitOf(this.view.groupOf(up)).hasCapacity)
      : willing;
    if (free.length === 0) return 'full';
    const reachable = free.filter(
      ({incarnation}) => !this.loads.isSuspended(now, incarnation),
    );
    const candidates = reachable.length > 0 ? reachable : free;
    const policy = hasEngines ? this.ranks : this.plain;
    return policy.choose(now, req, candidates, this.chance) ?? 'none';
  }

  private untried({service, tried}: Dispatch): Upstream[] {
    return this.view
      .upstreamsOf(service)
      .filter(({incarnation}) => !tried.has(incarnation));
  }

  /** When the first of the upstreams that asked for a pause is back. */
  private backedOffUntil(req: Dispatch): Millis {
    const ends = this.untried(req).map(({incarnation}) =>
      this.loads.backoffUntil(incarnation),
    );
    return Math.min(...ends.filter(end => end > -Infinity));
  }

  private limitOf(group: GroupKey): ConcurrencyLimiter {
    let limit = this.limits.get(group);
    if (limit === undefined) {
      limit = new ConcurrencyLimiter(() => this.view.entries());
      this.limits.set(group, limit);
    }
    return limit;
  }
}

/**
 * Waiting requests that are passed over in one go because their own service
 * has no room: the ones behind them may be for another one.
 */
const MOST_PASSED_OVER = 8;
