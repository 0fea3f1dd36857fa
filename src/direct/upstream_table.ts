import {SECOND, incarnation} from '../core/index.js';
import type {
  AvailabilityZone,
  Incarnation,
  Millis,
  ServiceName,
} from '../core/index.js';
import type {UpstreamRegistration, UpstreamId} from './types.js';

/** Grace period after a registry outage for lapsed registrations to return. */
const LAPSE_GRACE: Millis = 2 * SECOND;
/** Lifetime of a tombstone, which guards against late registrations. */
const TOMBSTONE_TTL: Millis = 60 * SECOND;

/** One incarnation of an upstream. */
export interface Upstream {
  readonly registration: UpstreamRegistration;
  readonly incarnation: Incarnation;
  /** End of its warm-up. */
  readonly warmAt: Millis;
  /** Time at which its registration was read. */
  readonly registeredAt: Millis;
  /**
   * Whether this is the first registration of an incarnation that replaced
   * another one: it started while there was traffic.
   */
  readonly isRestart: boolean;
}

/** Effect of a registration on the table. */
export type UpstreamChange = 'came' | 'changed' | 'left' | 'lapsed' | 'ignored';

interface Row {
  readonly upstream: Upstream;
  /** End of the grace period; undefined while the registration is valid. */
  lapsesAt: Millis | undefined;
}

interface Tombstone {
  readonly bornAt: number;
  readonly sequence: number;
  readonly endedAt: Millis;
}

/**
 * Table of registered upstreams. An incarnation that announced its departure is
 * never added again, and registrations older than the current one are ignored.
 */
export class UpstreamTable {
  private readonly rows = new Map<UpstreamId, Row>();
  private readonly tombstones = new Map<UpstreamId, Tombstone>();
  private recoveredAt: Millis = -Infinity;

  /**
   * Records that the registry is readable again after an outage.
   * @param now - current time
   */
  recordRegistryRecovered(now: Millis): void {
    this.recoveredAt = now;
  }

  /**
   * Applies a registration.
   * @param now - current time
   * @param entry - the registration
   */
  register(now: Millis, entry: UpstreamRegistration): UpstreamChange {
    const known = this.rows.get(entry.id);
    if (this.isOutdated(entry, known)) return 'ignored';
    if (entry.leaving) {
      this.retire(now, entry);
      return known === undefined ? 'ignored' : 'left';
    }
    const isSameIncarnation =
      known?.upstream.registration.bornAt === entry.bornAt;
    const earlier =
      known?.upstream.registration ?? this.tombstones.get(entry.id);
    const upstream: Upstream = {
      registration: entry,
      incarnation: incarnation(`${entry.id}@${entry.bornAt}`),
      warmAt: now + entry.warmUpLeft,
      registeredAt: now,
      isRestart: earlier !== undefined && earlier.bornAt < entry.bornAt,
    };
    this.rows.set(entry.id, {upstream, lapsesAt: undefined});
    return isSameIncarnation ? 'changed' : 'came';
  }

  /**
   * Removes a registration. Right after a registry outage it may only have
   * lapsed, so it is retained for a grace period.
   * @param now - current time
   * @param id - id of the upstream
   */
  unregister(now: Millis, id: UpstreamId): UpstreamChange {
    const row = this.rows.get(id);
    if (row === undefined) return 'ignored';
    const returnBy = this.recoveredAt + LAPSE_GRACE;
    if (now < returnBy) {
      row.lapsesAt ??= returnBy;
      return 'lapsed';
    }
    this.retire(now, row.upstream.registration);
    return 'left';
  }

  /**
   * Removes lapsed registrations whose grace period is over, and expired
   * tombstones.
   * @param now - current time
   * @returns the removed upstreams
   */
  expire(now: Millis): Upstream[] {
    const expired: Upstream[] = [];
    for (const {upstream, lapsesAt} of this.rows.values()) {
      if (lapsesAt === undefined || now < lapsesAt) continue;
      expired.push(upstream);
    }
    for (const {registration: entry} of expired) this.retire(now, entry);
    for (const [id, {endedAt: at}] of this.tombstones) {
      if (now - at > TOMBSTONE_TTL) this.tombstones.delete(id);
    }
    return expired;
  }

  /**
   * Returns the upstreams of a service that accept requests.
   * @param service - the service
   */
  forService(service: ServiceName): Upstream[] {
    const found: Upstream[] = [];
    for (const {upstream} of this.rows.values()) {
      if (upstream.registration.service === service) found.push(upstream);
    }
    return found;
  }

  /**
   * Returns the upstreams of a zone.
   * @param zone - the zone
   */
  inZone(zone: AvailabilityZone): Upstream[] {
    return this.all().filter(
      ({registration}) => registration.availabilityZone === zone,
    );
  }

  /**
   * Returns whether an incarnation accepts requests.
   * @param wanted - the incarnation
   */
  has(wanted: Incarnation): boolean {
    return this.all().some(({incarnation: one}) => one === wanted);
  }

  /** Returns all upstreams that accept requests. */
  all(): Upstream[] {
    return [...this.rows.values()].map(({upstream}) => upstream);
  }

  /**
   * Removes an incarnation that is leaving or was replaced at its address.
   * @param now - current time
   * @param upstream - the incarnation
   */
  markGone(now: Millis, {registration: entry}: Upstream): void {
    const known = this.rows.get(entry.id)?.upstream.registration;
    if (known?.bornAt === entry.bornAt) this.retire(now, known);
  }

  /**
   * Removes an upstream whose response carried the leaving header. This holds
   * for the incarnation even if its registration is missing, older or newer
   * than the response.
   * @param now - current time
   * @param upstream - the incarnation
   * @returns whether its departure was not known before
   */
  markLeaving(now: Millis, {registration: entry}: Upstream): boolean {
    const {id, bornAt} = entry;
    const known = this.rows.get(id)?.upstream.registration;
    if (known !== undefined && known.bornAt > bornAt) return false;
    const ended = this.tombstones.get(id);
    if (ended !== undefined && ended.bornAt > bornAt) return false;
    const isNew = ended?.bornAt !== bornAt || ended.sequence !== Infinity;
    this.retire(now, {...entry, leaving: true});
    return isNew;
  }

  private isOutdated(
    entry: UpstreamRegistration,
    known: Row | undefined,
  ): boolean {
    const current = known?.upstream.registration;
    if (current !== undefined) {
      if (entry.bornAt !== current.bornAt) {
        return entry.bornAt < current.bornAt;
      }
      return entry.sequence < current.sequence;
    }
    const ended = this.tombstones.get(entry.id);
    if (ended === undefined || entry.bornAt > ended.bornAt) return false;
    return entry.bornAt < ended.bornAt || entry.sequence <= ended.sequence;
  }

  private retire(now: Millis, entry: UpstreamRegistration): void {
    const {id, bornAt} = entry;
    this.rows.delete(id);
    // An incarnation that announced its departure never accepts requests again.
    const sequence = entry.leaving ? Infinity : entry.sequence;
    this.tombstones.set(id, {bornAt, sequence, endedAt: now});
  }
}
