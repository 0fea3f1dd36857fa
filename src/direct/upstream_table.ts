import {SECOND, incarnation} from '../core/index.js';
import type {Incarnation, Millis, ServiceName} from '../core/index.js';
import type {UpstreamRegistration, UpstreamId} from './types.js';

/** Registrations that lapsed in an outage return within this time after it. */
const LAPSE_GRACE: Millis = 2 * SECOND;
/** How long the end of a life is remembered, against late registrations. */
const TOMBSTONE_TTL: Millis = 60 * SECOND;

/** One life of an upstream, as requests are placed on it. */
export interface Upstream {
  readonly registration: UpstreamRegistration;
  readonly incarnation: Incarnation;
  /** Until when it is slow after its start. */
  readonly warmAt: Millis;
}

/** What a registration did to the table. */
export type UpstreamChange = 'came' | 'changed' | 'left' | 'lapsed' | 'ignored';

interface Row {
  readonly upstream: Upstream;
  /** By when the registration must be back; nothing while it stands. */
  lapsesAt: Millis | undefined;
}

interface Tombstone {
  readonly bornAt: number;
  readonly sequence: number;
  readonly endedAt: Millis;
}

/**
 * Upstreams by their registrations. A life that said that it leaves stays out
 * whatever comes later, and a registration older than the one known changes
 * nothing.
 */
export class UpstreamTable {
  private readonly rows = new Map<UpstreamId, Row>();
  private readonly tombstones = new Map<UpstreamId, Tombstone>();
  private recoveredAt: Millis = -Infinity;

  /**
   * The registry can be read again after an outage.
   * @param now - present time
   */
  recordRegistryRecovered(now: Millis): void {
    this.recoveredAt = now;
  }

  /**
   * Takes a registration.
   * @param now - present time
   * @param entry - the registration
   */
  register(now: Millis, entry: UpstreamRegistration): UpstreamChange {
    const known = this.rows.get(entry.id);
    if (this.isOutdated(entry, known)) return 'ignored';
    if (entry.leaving) {
      this.retire(now, entry);
      return known === undefined ? 'ignored' : 'left';
    }
    const isSameLife = known?.upstream.registration.bornAt === entry.bornAt;
    const upstream: Upstream = {
      registration: entry,
      incarnation: incarnation(`${entry.id}@${entry.bornAt}`),
      warmAt: now + entry.warmUpLeft,
    };
    this.rows.set(entry.id, {upstream, lapsesAt: undefined});
    return isSameLife ? 'changed' : 'came';
  }

  /**
   * A registration is gone. Right after an outage of the registry it may just
   * have lapsed, and has a short time to come back.
   * @param now - present time
   * @param id - whose
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
   * Takes out what has not come back, and forgets what ended long ago.
   * @param now - present time
   * @returns the upstreams that were taken out
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
   * The upstreams of a service that take new work.
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
   * Whether a life of an upstream takes new work.
   * @param life - the life
   */
  has(life: Incarnation): boolean {
    return this.all().some(({incarnation: one}) => one === life);
  }

  /** All upstreams that take new work. */
  all(): Upstream[] {
    return [...this.rows.values()].map(({upstream}) => upstream);
  }

  /**
   * An upstream itself said that it leaves, or that it isn't the one expected.
   * @param now - present time
   * @param upstream - the life
   */
  markGone(now: Millis, {registration: entry}: Upstream): void {
    const known = this.rows.get(entry.id)?.upstream.registration;
    if (known?.bornAt === entry.bornAt) this.retire(now, known);
  }

  /**
   * An answer of an upstream carried its leaving mark. Binding for this life
   * even where its registration is missing, older or newer than the answer.
   * @param now - present time
   * @param upstream - the life
   * @returns whether that was news
   */
  markLeaving(now: Millis, {registration: entry}: Upstream): boolean {
    const {id, bornAt} = entry;
    const known = this.rows.get(id)?.upstream.registration;
    if (known !== undefined && known.bornAt > bornAt) return false;
    const ended = this.tombstones.get(id);
    if (ended !== undefined && ended.bornAt > bornAt) return false;
    const isNews = ended?.bornAt !== bornAt || ended.sequence !== Infinity;
    this.retire(now, {...entry, leaving: true});
    return isNews;
  }

  private isOutdated(
    entry: UpstreamRegistration,
    known: Row | undefined,
  ): boolean {
    const standing = known?.upstream.registration;
    if (standing !== undefined) {
      if (entry.bornAt !== standing.bornAt) {
        return entry.bornAt < standing.bornAt;
      }
      return entry.sequence < standing.sequence;
    }
    const ended = this.tombstones.get(entry.id);
    if (ended === undefined || entry.bornAt > ended.bornAt) return false;
    return entry.bornAt < ended.bornAt || entry.sequence <= ended.sequence;
  }

  private retire(now: Millis, entry: UpstreamRegistration): void {
    const {id, bornAt} = entry;
    this.rows.delete(id);
    // A life that announced its leaving never takes work again.
    const sequence = entry.leaving ? Infinity : entry.sequence;
    this.tombstones.set(id, {bornAt, sequence, endedAt: now});
  }
}
