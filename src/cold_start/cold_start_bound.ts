import type {
  AvailabilityZone,
  Incarnation,
  Millis,
  ServiceName,
} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {
  ColdStartProfile,
  ServiceProfile,
  Upstream,
} from '../direct/index.js';
import {PermitOwners} from './permit_owners.js';
import type {EntryView, SharePhase} from './permit_owners.js';
import {DEFAULT_COLD_RATE_BOUND, permitTiming} from './permit_timing.js';
import type {ColdRateBound, PermitTiming} from './permit_timing.js';

/**
 * Age that a registration may have when it is read; entries read each 1.8 s. One
 * that is read earlier after an event may have been written before it.
 */
const REGISTRATION_AGE: Millis = 2 * SECOND;

interface ColdService {
  readonly profile: ColdStartProfile;
  readonly timing: PermitTiming;
}

/** Permits of one cold upstream. */
interface PermitState {
  readonly hash: number;
  timing: PermitTiming;
  /** Number of the last permit that was searched for an own one. */
  searchedTo: number;
  /** Number of the last permit that may not be used any more. */
  usedTo: number;
  /** First own permit after it, if the search has found one. */
  next: number | undefined;
}

/** Why an upstream counts as cold. */
export type ColdCause = 'registration' | 'restart' | 'zone_returned';

/** Cold phase of an upstream, as this entry knows it. */
export interface ColdPhase {
  readonly until: Millis;
  readonly cause: ColdCause;
}

/**
 * Bounds the requests of all entries together to cold upstreams, in any second.
 * Time is divided into permits, each for one request of one entry; all entries
 * compute the owner of a permit from its number. It protects an upstream that
 * has just started, also while a whole zone returns cold beside a burst.
 */
export class ColdStartBound {
  private readonly owners = new PermitOwners();
  private readonly permits = new Map<Incarnation, PermitState>();
  private readonly zonesReturnedAt = new Map<AvailabilityZone, Millis>();
  private services: ReadonlyMap<ServiceName, ColdService> = new Map();
  private profiles: readonly ServiceProfile[] = [];
  private bound = DEFAULT_COLD_RATE_BOUND;
  /** Wall-clock time minus `now`, by which entries agree on permits. */
  private wallOffset: Millis = 0;

  /** How this entry chooses its permits. */
  get phase(): SharePhase {
    return this.owners.phase;
  }

  /** Number of entries among which permits are divided. */
  get entryCount(): number {
    return this.owners.entryCount;
  }

  /** Whether the configuration bounds requests to cold upstreams of a service. */
  get isEnabled(): boolean {
    return this.services.size > 0;
  }

  /**
   * Returns whether the configuration bounds requests to cold upstreams of a
   * service.
   * @param service - the service
   */
  isBounded(service: ServiceName): boolean {
    return this.services.has(service);
  }

  /**
   * Replaces the services and the bound, if they have changed.
   * @param profiles - services of the configuration
   * @param bound - bound relative to the rate of a cold upstream
   */
  configure(profiles: readonly ServiceProfile[], bound: ColdRateBound): void {
    if (profiles === this.profiles && bound === this.bound) return;
    this.profiles = profiles;
    this.bound = bound;
    const services = new Map<ServiceName, ColdService>();
    for (const {name, coldStart: profile} of profiles) {
      if (profile === undefined) continue;
      const timing = permitTiming(profile.rate, bound);
      services.set(name, {profile, timing});
    }
    this.services = services;
  }

  /**
   * Applies what is known of the entries and of the time.
   * @param now - current time
   * @param wall - wall-clock time, Unix ms
   * @param view - the entries
   */
  update(now: Millis, wall: number, view: EntryView): void {
    this.wallOffset = wall - now;
    if (!this.owners.update(now, view)) return;
    for (const state of this.permits.values()) {
      state.searchedTo = state.usedTo;
      state.next = undefined;
    }
  }

  /**
   * Records that an evacuated zone was taken back. Its upstreams count as cold
   * until a registration that was written later says otherwise.
   * @param now - current time
   * @param zone - the zone
   */
  onZoneReturned(now: Millis, zone: AvailabilityZone): void {
    this.zonesReturnedAt.set(zone, now);
  }

  /**
   * Returns the cold phase of an upstream. Permits that begin after the first
   * call are kept for their validity, even if no request asks for them before.
   * @param now - current time
   * @param upstream - the upstream
   * @returns undefined if it is warm, or its service has no bound
   */
  observe(now: Millis, upstream: Upstream): ColdPhase | undefined {
    const phase = this.coldPhase(now, upstream);
    if (phase === undefined) this.permits.delete(upstream.incarnation);
    else this.stateOf(now, upstream);
    return phase;
  }

  /**
   * Returns the cold phase of an upstream.
   * @param now - current time
   * @param upstream - the upstream
   * @returns undefined if it is warm, or its service has no bound
   */
  coldPhase(now: Millis, upstream: Upstream): ColdPhase | undefined {
    const {registration, registeredAt, isRestart, warmAt} = upstream;
    const service = this.services.get(registration.service);
    if (service === undefined) return undefined;
    const {duration} = service.profile;
    let phase: ColdPhase = {until: warmAt, cause: 'registration'};
    const extend = (from: Millis, cause: ColdCause) => {
      const until = from + duration;
      if (until > phase.until) phase = {until, cause};
    };
    // A named cold time counts from the reading, so it is never too short.
    const namesColdTime = warmAt > registeredAt;
    if (isRestart && !namesColdTime) extend(registeredAt, 'restart');
    const returnedAt = this.zonesReturnedAt.get(registration.availabilityZone);
    if (
      returnedAt !== undefined &&
      registeredAt < returnedAt + REGISTRATION_AGE
    ) {
      extend(returnedAt, 'zone_returned');
    }
    return now < phase.until ? phase : undefined;
  }

  /**
   * Returns whether this entry may send an upstream a request now.
   * @param now - current time
   * @param upstream - the upstream
   */
  allows(now: Millis, upstream: Upstream): boolean {
    return this.nextAt(now, upstream) <= now;
  }

  /**
   * Returns the time from which this entry may send an upstream a request.
   * @param now - current time
   * @param upstream - the upstream
   * @returns -Infinity if the upstream is warm
   */
  nextAt(now: Millis, upstream: Upstream): Millis {
    const phase = this.observe(now, upstream);
    if (phase === undefined) return -Infinity;
    const permit = this.findPermit(now, upstream, phase.until);
    if (permit === undefined) return phase.until;
    const {spacing} = this.stateOf(now, upstream).timing;
    return Math.max(now, permit * spacing - this.wallOffset);
  }

  /**
   * Records that a request is sent to an upstream.
   * @param now - current time
   * @param upstream - the upstream
   * @returns whether it used a permit of a cold upstream
   */
  recordSent(now: Millis, upstream: Upstream): boolean {
    const phase = this.coldPhase(now, upstream);
    if (phase === undefined) return false;
    const permit = this.findPermit(now, upstream, phase.until);
    if (permit === undefined) return true;
    const state = this.stateOf(now, upstream);
    state.usedTo = permit;
    state.next = undefined;
    return true;
  }

  /**
   * Removes upstreams that are gone.
   * @param isActive - whether an upstream may still get requests
   */
  prune(isActive: (upstream: Incarnation) => boolean): void {
    for (const upstream of this.permits.keys()) {
      if (!isActive(upstream)) this.permits.delete(upstream);
    }
  }

  /**
   * Returns the first own permit that is valid now or later.
   * @returns undefined if none begins before the end of the cold phase
   */
  private findPermit(
    now: Millis,
    upstream: Upstream,
    until: Millis,
  ): number | undefined {
    const state = this.stateOf(now, upstream);
    const {spacing, validity} = state.timing;
    if (spacing === Infinity) return undefined;
    const oldestValid = Math.ceil((now + this.wallOffset - validity) / spacing);
    const last = Math.floor((until + this.wallOffset) / spacing);
    if (state.next !== undefined && state.next >= oldestValid) {
      return state.next <= last ? state.next : undefined;
    }
    state.next = undefined;
    state.searchedTo = Math.max(state.searchedTo, oldestValid - 1);
    while (state.searchedTo < last && state.next === undefined) {
      state.searchedTo += 1;
      if (this.owners.owns(state.hash, state.searchedTo)) {
        state.next = state.searchedTo;
      }
    }
    return state.next;
  }

  private stateOf(
    now: Millis,
    {incarnation, registration}: Upstream,
  ): PermitState {
    const {timing} = this.services.get(registration.service)!;
    let state = this.permits.get(incarnation);
    if (state?.timing !== timing) {
      // A former process of this entry may have used the permit that is valid.
      const {spacing} = timing;
      const begun = Math.floor((now + this.wallOffset) / spacing);
      state = {
        hash: PermitOwners.hashOf(incarnation),
        timing,
        searchedTo: begun,
        usedTo: begun,
        next: undefined,
      };
      this.permits.set(incarnation, state);
    }
    return state;
  }
}
