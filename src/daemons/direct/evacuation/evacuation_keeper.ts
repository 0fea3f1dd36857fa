import type {
  AvailabilityZone,
  Clock,
  Millis,
  ServiceName,
} from '../../../core/index.js';
import {SECOND} from '../../../core/index.js';
import type {
  KeyedChange,
  Upstream,
  UpstreamTable,
} from '../../../direct/index.js';
import {EvacuationTable} from '../../../evacuation/index.js';
import type {
  Evacuation,
  EvacuationChange,
  EvacuationRecord,
} from '../../../evacuation/index.js';
import type {Logger, Metrics} from '../../../observability/index.js';
import type {KeptAwayResult, ZoneFilter} from '../dispatch/index.js';
import type {Estate} from '../estate.js';
import type {UpdateOrigin} from '../keyed_follower.js';

/**
 * Time after which a zone without upstreams is reported: longer than the reads
 * of registrations are apart.
 */
const ZONE_CHECK_DELAY: Millis = 2 * SECOND;
/** Number of ignored records that `/status` shows, the latest ones. */
const MAX_SHOWN_IGNORED = 16;

/** What an entry knows besides the evacuations. */
export interface EvacuationView {
  /** Time of the last read of the operators' records; undefined before it. */
  contactAt(): Millis | undefined;
  /** Registered upstreams; undefined before they are known. */
  upstreams(): Pick<UpstreamTable, 'inZone'> | undefined;
}

/** Callbacks of a keeper. */
export interface EvacuationListener {
  /** Called when a zone was evacuated or taken back. */
  onChanged(now: Millis): void;
  /** Called when a zone may get requests again, before `onChanged`. */
  onZoneReturned(now: Millis, zone: AvailabilityZone): void;
}

/** Services of a keeper. */
export interface EvacuationParts {
  readonly estate: Pick<Estate, 'parseEvacuation'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Keeps the evacuations in force at this entry; logs, counts and shows them. */
export class EvacuationKeeper implements ZoneFilter {
  private readonly table = new EvacuationTable();
  /** Times at which to check whether evacuated zones have upstreams. */
  private readonly zoneChecks = new Map<AvailabilityZone, Millis>();
  /** Records that request nothing, by key. */
  private readonly ignored = new Map<string, {reason: string; at: Millis}>();
  private readonly estate: EvacuationParts['estate'];
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly inForce;
  private readonly changes;
  private readonly keptAway;

  /**
   * @param parts - clock, logger and metrics, and the parser of the records
   * @param view - what else the entry knows
   * @param listener - callbacks
   */
  constructor(
    {estate, clock, logger, metrics}: EvacuationParts,
    private readonly view: EvacuationView,
    private readonly listener: EvacuationListener,
  ) {
    this.estate = estate;
    this.clock = clock;
    this.logger = logger;
    this.inForce = metrics.gauge(
      'baobabspan_evacuations_in_force',
      'Zones that are evacuated in the view of this entry',
    );
    this.changes = metrics.counter(
      'baobabspan_evacuation_changes_total',
      'Evacuation records by their effect',
      ['change'],
    );
    this.keptAway = metrics.counter(
      'baobabspan_kept_from_zone_total',
      'Requests kept away from upstreams of evacuated zones, by result',
      ['result', 'service'],
    );
  }

  get isEmpty(): boolean {
    return this.table.isEmpty;
  }

  isEvacuated({registration}: Upstream): boolean {
    return this.table.isEvacuated(registration.availabilityZone);
  }

  recordKeptAway(service: ServiceName, result: KeptAwayResult): void {
    this.keptAway.inc({result, service});
  }

  /**
   * Applies a record of the operators.
   * @param change - the record, which may be of another kind
   * @param origin - how it reached this entry
   */
  apply(change: KeyedChange, origin: UpdateOrigin): void {
    const read = this.estate.parseEvacuation(change);
    if (read === undefined) return;
    const {key, value} = change;
    if (read.isOk()) {
      this.ignored.delete(key);
      this.applyRecord(read.value, origin);
    } else if (value === undefined) this.ignored.delete(key);
    else this.ignore(key, read.error.message);
  }

  /**
   * Ends evacuations that were lost and not written again, and reports zones
   * without upstreams.
   * @param now - current time
   */
  tick(now: Millis): void {
    if (this.isEmpty) return;
    const expired = this.table.expire(this.view.contactAt() ?? -Infinity);
    for (const {zone, since} of expired) {
      this.changes.inc({change: 'expired'});
      const inForce = Math.round(now - since);
      this.logger.warn('evacuation_expired', {zone, in_force_ms: inForce});
      this.recordReturned(now, zone);
    }
    for (const [zone, checkAt] of this.zoneChecks) {
      if (now >= checkAt) this.checkZone(zone);
    }
  }

  /**
   * Returns the fields of `/status`.
   * @param now - current time
   */
  status(now: Millis): object {
    const contactAt = this.view.contactAt();
    return {
      evacuations: this.table.entries().map(one => this.describe(now, one)),
      evacuationContactAgeMs:
        contactAt === undefined ? undefined : Math.round(now - contactAt),
      ignoredEvacuations: [...this.ignored].map(([key, {reason, at}]) => ({
        ...{key, reason, ageMs: Math.round(now - at)},
      })),
    };
  }

  private applyRecord(
    record: EvacuationRecord,
    {source, sinceContact}: UpdateOrigin,
  ): void {
    const {zone} = record;
    const now = this.clock.now();
    const before = this.table.entries().find(one => one.zone === zone);
    const change = this.table.apply(now, record, source);
    this.changes.inc({change});
    if (change === 'unchanged') return;
    this.logger.info(EVENTS[change], {
      zone,
      source,
      since_contact_ms: sinceContact && Math.round(sinceContact),
      in_force_ms: before && Math.round(now - before.since),
      upstreams: this.upstreamsIn(zone),
    });
    if (change === 'begun') {
      this.zoneChecks.set(zone, now + ZONE_CHECK_DELAY);
      this.recordChanged(now);
    } else if (change === 'ended') this.recordReturned(now, zone);
  }

  private recordReturned(now: Millis, zone: AvailabilityZone): void {
    this.zoneChecks.delete(zone);
    this.listener.onZoneReturned(now, zone);
    this.recordChanged(now);
  }

  private recordChanged(now: Millis): void {
    this.inForce.set(this.table.entries().length);
    this.listener.onChanged(now);
  }

  /** Returns the number of upstreams in a zone, once it is known. */
  private upstreamsIn(zone: AvailabilityZone): number | undefined {
    return this.view.upstreams()?.inZone(zone).length;
  }

  private checkZone(zone: AvailabilityZone): void {
    const upstreams = this.upstreamsIn(zone);
    if (upstreams === undefined) return;
    this.zoneChecks.delete(zone);
    if (upstreams > 0) return;
    this.changes.inc({change: 'without_upstreams'});
    this.logger.warn('evacuation_without_upstreams', {zone});
  }

  private ignore(key: string, reason: string): void {
    this.changes.inc({change: 'ignored'});
    this.logger.warn('evacuation_ignored', {key, reason});
    this.ignored.delete(key);
    this.ignored.set(key, {reason, at: this.clock.now()});
    const [oldest] = this.ignored.keys();
    if (this.ignored.size > MAX_SHOWN_IGNORED && oldest !== undefined)
      this.ignored.delete(oldest);
  }

  private describe(
    now: Millis,
    {zone, since, source, endsAt}: Evacuation,
  ): object {
    const inForce = now - since;
    return {
      zone,
      since: new Date(this.clock.wall() - inForce).toISOString(),
      inForceMs: Math.round(inForce),
      source,
      upstreams: this.upstreamsIn(zone),
      isLost: endsAt !== undefined,
      endsInMs: endsAt && Math.round(endsAt - now),
    };
  }
}

/** Log events of the changes. */
const EVENTS = {
  begun: 'zone_evacuated',
  ended: 'zone_returned',
  lost: 'evacuation_lost',
  restored: 'evacuation_restored',
} as const satisfies Record<Exclude<EvacuationChange, 'unchanged'>, string>;
