import type {ColdStartBound} from '../../../cold_start/index.js';
import type {
  AvailabilityZone,
  Chance,
  Millis,
  ServiceName,
} from '../../../core/index.js';
import {
  ExpectedWaitPolicy,
  LeastLoadedGroupPolicy,
} from '../../../direct/index.js';
import {ComplementaryPolicy} from '../../../pacing/index.js';
import type {
  EntryShare,
  GroupCircuitBreaker,
  GroupKey,
  LoadTracker,
  PlacementPolicy,
  Upstream,
  UpstreamLimits,
} from '../../../direct/index.js';
import type {
  DispatchRequest,
  Unplaced,
  UpstreamDirectory,
  ZoneFilter,
} from './dispatch_request.js';
import type {GroupLimiters} from './group_limiters.js';

/** What an entry knows of its upstreams besides their registrations. */
interface UpstreamState {
  readonly loads: LoadTracker;
  readonly limits: UpstreamLimits;
  readonly coldStart: ColdStartBound;
  readonly groupBreaker: GroupCircuitBreaker;
  readonly limiters: GroupLimiters;
  readonly evacuation: ZoneFilter;
}

/** Selects the upstream of a request, or the reason why there is none now. */
export class UpstreamSelector {
  private readonly plainPolicy: PlacementPolicy;
  private readonly rankPolicy: PlacementPolicy;
  /** For ranks whose streams are paced. */
  private readonly pacedPolicy: ComplementaryPolicy;

  /**
   * @param directory - the upstreams
   * @param state - their load, limits and availability
   * @param zone - zone of this entry
   * @param chance - random source for ties
   */
  constructor(
    private readonly directory: UpstreamDirectory,
    private readonly state: UpstreamState,
    zone: AvailabilityZone,
    private readonly chance: Chance,
  ) {
    const {loads} = state;
    this.plainPolicy = new ExpectedWaitPolicy(loads, zone);
    this.rankPolicy = new LeastLoadedGroupPolicy(loads, zone, directory);
    // Entries complement one another only over ranks that get requests.
    this.pacedPolicy = new ComplementaryPolicy(loads, zone, {
      groupOf: upstream => directory.groupOf(upstream),
      slowdownOf: upstream => directory.slowdownOf(upstream),
      pacingOf: service => directory.pacingOf?.(service),
      upstreamsOf: service =>
        this.permittedAmong(directory.upstreamsOf(service)),
    });
  }

  /**
   * Sets the position of this entry among all entries.
   * @param share - its position
   */
  setShare(share: EntryShare): void {
    this.pacedPolicy.setShare(share);
  }

  /**
   * Selects the upstream of a request.
   * @param now - current time
   * @param req - the request
   * @returns why there is none, if so
   */
  select(now: Millis, req: DispatchRequest): Upstream | Unplaced {
    const untried = this.untriedUpstreams(req);
    if (untried.length === 0) return 'none';
    const permitted = this.permittedAmong(untried);
    if (permitted.length === 0) return 'evacuated';
    const available = permitted.filter(upstream =>
      this.isAvailable(now, req, this.directory.groupOf(upstream)),
    );
    if (available.length === 0) {
      const isRecovering = permitted.some(upstream =>
        this.state.groupBreaker.isRecovering(
          now,
          this.directory.groupOf(upstream),
        ),
      );
      return isRecovering ? 'full' : 'down';
    }
    const accepting = available.filter(
      ({incarnation}) => this.state.loads.backoffUntil(incarnation) <= now,
    );
    if (accepting.length === 0) return 'backed_off';
    const withinLimit = accepting.filter(({incarnation}) =>
      this.state.limits.allows(now, incarnation),
    );
    if (withinLimit.length === 0) return 'limited';
    const allowed = withinLimit.filter(upstream =>
      this.state.coldStart.allows(now, upstream),
    );
    if (allowed.length === 0) return 'warming_up';
    const hasEngines = this.directory.hasEngines(req.service);
    const withCapacity = hasEngines
      ? allowed.filter(upstream => this.hasCapacity(now, req, upstream))
      : allowed;
    if (withCapacity.length === 0) return 'full';
    const reachable = withCapacity.filter(
      ({incarnation}) => !this.state.loads.isSuspended(now, incarnation),
    );
    const candidates = reachable.length > 0 ? reachable : withCapacity;
    return (
      this.policyFor(req.service, hasEngines).choose(
        now,
        req,
        candidates,
        this.chance,
      ) ?? 'none'
    );
  }

  /**
   * Returns the upstreams to which a request was not sent yet.
   * @param req - the request
   */
  untriedUpstreams({service, triedIncarnations}: DispatchRequest): Upstream[] {
    return this.directory
      .upstreamsOf(service)
      .filter(({incarnation}) => !triedIncarnations.has(incarnation));
  }

  /**
   * Returns the untried upstreams of a request whose zones are not evacuated.
   * @param req - the request
   */
  permittedUpstreams(req: DispatchRequest): readonly Upstream[] {
    return this.permittedAmong(this.untriedUpstreams(req));
  }

  private permittedAmong(upstreams: readonly Upstream[]): readonly Upstream[] {
    const {evacuation} = this.state;
    if (evacuation.isEmpty) return upstreams;
    return upstreams.filter(upstream => !evacuation.isEvacuated(upstream));
  }

  /**
   * Returns the evacuated zones of a request's untried upstreams.
   * @param req - the request
   */
  evacuatedZones(req: DispatchRequest): AvailabilityZone[] {
    const {evacuation} = this.state;
    if (evacuation.isEmpty) return [];
    const zones = this.untriedUpstreams(req)
      .filter(upstream => evacuation.isEvacuated(upstream))
      .map(({registration}) => registration.availabilityZone);
    return [...new Set(zones)].sort();
  }

  /**
   * Returns when the first of the permitted upstreams accepts a request again.
   * @param now - current time
   * @param req - the request
   */
  acceptingFrom(now: Millis, req: DispatchRequest): Millis {
    const times = this.permittedUpstreams(req).map(upstream =>
      Math.max(
        this.state.loads.backoffUntil(upstream.incarnation),
        this.state.limits.nextAt(now, upstream.incarnation),
        this.state.coldStart.nextAt(now, upstream),
      ),
    );
    return Math.min(...times.filter(time => time > -Infinity));
  }

  /**
   * Returns whether the queued requests of a service wait for permits of cold
   * upstreams: always those of plain services, which wait for nothing else.
   * @param now - current time
   * @param service - the service
   */
  sendsByPermits(now: Millis, service: ServiceName): boolean {
    const {coldStart, evacuation} = this.state;
    if (!coldStart.isBounded(service)) return false;
    if (!this.directory.hasEngines(service)) return true;
    return this.directory
      .upstreamsOf(service)
      .every(
        upstream =>
          evacuation.isEvacuated(upstream) ||
          coldStart.coldPhase(now, upstream) !== undefined,
      );
  }

  private policyFor(
    service: ServiceName,
    hasEngines: boolean,
  ): PlacementPolicy {
    if (!hasEngines) return this.plainPolicy;
    const isPaced = this.directory.pacingOf?.(service) !== undefined;
    return isPaced ? this.pacedPolicy : this.rankPolicy;
  }

  /** Whether a group is available, or the request may probe it. */
  private isAvailable(
    now: Millis,
    {triedIncarnations}: DispatchRequest,
    group: GroupKey,
  ): boolean {
    if (!this.state.groupBreaker.isUnavailable(group)) return true;
    // A retry costs budget.
    const isRetry = triedIncarnations.size > 0;
    return !isRetry && this.state.groupBreaker.allowsRequest(now, group);
  }

  private hasCapacity(
    now: Millis,
    req: DispatchRequest,
    upstream: Upstream,
  ): boolean {
    const group = this.directory.groupOf(upstream);
    const {starts, streams} = this.state.limiters.of(group, req.service);
    return starts.hasCapacity && streams.hasCapacity(now, req);
  }
}
