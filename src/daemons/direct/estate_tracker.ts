import type {IncomingMessage, ServerResponse} from 'node:http';

import {z} from 'zod';

import type {
  AvailabilityZone,
  Clock,
  Millis,
  VmName,
} from '../../core/index.js';
import {SECOND, vmName} from '../../core/index.js';
import {
  ConfigurationHolder,
  UpstreamTable,
  upstreamId,
} from '../../direct/index.js';
import type {
  DirectConfiguration,
  GroupKey,
  KeyedChange,
  Upstream,
  UpstreamChange,
  ZoneReader,
} from '../../direct/index.js';
import type {Logger, Metrics} from '../../observability/index.js';
import type {Estate, StalenessBounds} from './estate.js';
import {KeyedFollower} from './keyed_follower.js';
import type {
  FollowerListener,
  FollowerSettings,
  UpdateOrigin,
} from './keyed_follower.js';
import {parseRegisteredRank} from './rank_registry.js';
import type {RegisteredRank} from './rank_registry.js';
import {ZoneStore} from './zone_store.js';

/**
 * Time between reads of the registrations, as a fraction of the staleness bound
 * of a leaving upstream; the rest is for a slow read.
 */
const UPSTREAMS_SPACING_FRACTION = 0.6;
/** Registrations change constantly, so reads rarely wait. */
const UPSTREAMS_WAIT: Millis = SECOND;
/**
 * Maximum wait of a read of the internal topics, which change when a process
 * starts or the speed of a rank changes.
 */
const OWN_TOPICS_WAIT: Millis = 10 * SECOND;
/** Time between reads; the topics change in bursts, as all processes start. */
const OWN_TOPICS_SPACING: Millis = 3 * SECOND;
const EXPIRY_INTERVAL: Millis = SECOND / 4;

const entryRecord = z.object({
  availabilityZone: z.string(),
  /** `host:port` at which it relays updates from the store. */
  relay: z.string(),
});
type EntryRecord = z.output<typeof entryRecord>;

/** Location of an entry. */
export interface EntryLocation {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  /** `host:port` at which it relays updates from the store to its zone. */
  readonly relay: string;
}

/** Callbacks of an estate tracker. */
export interface EstateListener {
  /** Called when another version is in force. */
  onConfiguration(configuration: DirectConfiguration): void;
  /** Called when an upstream accepts no new requests. */
  onUpstreamRemoved(): void;
  /** Called with the number of entries that may be running. */
  onEntryCount(count: number): void;
  /** Called with the `host:port` of each other entry. */
  onPeers(peers: readonly string[]): void;
  /** Called with a message of another entry. */
  onPeerMessage(req: IncomingMessage, res: ServerResponse): void;
  /** Called with changed quarantines of prompt parts. */
  onQuarantines(changes: readonly KeyedChange[]): void;
}

/** Tracks configuration, upstreams, entries and ranks from the store. */
export class EstateTracker {
  readonly holder = new ConfigurationHolder();
  readonly upstreams = new UpstreamTable();
  private readonly followers: {
    readonly configuration: KeyedFollower;
    readonly upstreams: KeyedFollower;
    readonly entries: KeyedFollower;
    readonly ranks: KeyedFollower;
    readonly quarantines: KeyedFollower;
  };
  /** Ranks by engine address. */
  private readonly ranks = new Map<string, RegisteredRank>();
  private readonly entries = new Map<string, EntryRecord | undefined>();
  private readonly store: ZoneStore;
  private readonly updateDelay;
  private hasUpstreams = false;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param location - location of this entry
   * @param bounds - staleness bounds
   * @param estate - platform services
   * @param clock - the clock
   * @param logger - logs changes
   * @param metrics - measures the delay of updates
   * @param listener - callbacks
   */
  constructor(
    private readonly location: EntryLocation,
    bounds: StalenessBounds,
    private readonly estate: Estate,
    private readonly clock: Clock,
    private readonly logger: Logger,
    metrics: Metrics,
    private readonly listener: EstateListener,
  ) {
    const {topics} = estate;
    this.updateDelay = metrics.histogram(
      'baobabspan_update_delay_bound_seconds',
      'Time between an update of a topic and the contact before it',
      ['topic'],
    );
    this.store = new ZoneStore(
      estate.store,
      location.vm,
      new Map([
        [topics.configuration, bounds.configuration],
        [topics.upstreams, bounds.leavingUpstream],
        [topics.entries, OWN_TOPICS_WAIT],
        [topics.ranks, OWN_TOPICS_WAIT],
        [topics.quarantines, OWN_TOPICS_WAIT],
      ]),
      clock,
      logger,
      (req, res) => listener.onPeerMessage(req, res),
    );
    this.followers = {
      configuration: this.createFollower(
        // An overdue response reveals an unresponsive connection.
        {
          topic: topics.configuration,
          wait: bounds.configuration,
          spacing: 0,
        },
        (changes, origin) =>
          changes.forEach(change => this.applyConfiguration(change, origin)),
      ),
      upstreams: this.createFollower(
        {
          topic: topics.upstreams,
          wait: UPSTREAMS_WAIT,
          spacing: UPSTREAMS_SPACING_FRACTION * bounds.leavingUpstream,
        },
        changes => this.applyRegistrations(changes),
      ),
      entries: this.createFollower(
        {
          topic: topics.entries,
          wait: OWN_TOPICS_WAIT,
          spacing: OWN_TOPICS_SPACING,
        },
        changes => this.applyEntries(changes),
      ),
      ranks: this.createFollower(
        {
          topic: topics.ranks,
          wait: OWN_TOPICS_WAIT,
          spacing: OWN_TOPICS_SPACING,
        },
        changes => this.applyRanks(changes),
      ),
      quarantines: this.createFollower(
        {topic: topics.quarantines, wait: OWN_TOPICS_WAIT, spacing: 0},
        changes => this.listener.onQuarantines(changes),
      ),
    };
  }

  /** Starts following the topics and announces this entry. */
  async start(): Promise<void> {
    await this.store.listen(this.location.relay);
    for (const follower of Object.values(this.followers)) follower.start();
    this.timer = setInterval(() => this.expire(), EXPIRY_INTERVAL);
    void this.announce();
  }

  /** Stops permanently. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    for (const follower of Object.values(this.followers)) follower.stop();
    void this.store.close();
  }

  /** Why requests cannot be served yet; undefined once they can. */
  get notReadyReason(): string | undefined {
    if (this.holder.current === undefined) return 'no_configuration';
    return this.hasUpstreams ? undefined : 'no_upstreams';
  }

  /** Number of entries that may be running, including this one. */
  get entryCount(): number {
    return Math.max(1, this.entries.size);
  }

  /**
   * Returns the group of an upstream; its service if the group is unknown.
   * @param upstream - the upstream
   */
  groupOf({registration}: Upstream): GroupKey {
    return this.ranks.get(registration.address)?.group ?? registration.service;
  }

  /**
   * Returns the slowdown factor of an upstream; 1 if healthy.
   * @param upstream - the upstream
   */
  slowdownOf({registration}: Upstream): number {
    return this.ranks.get(registration.address)?.pace ?? 1;
  }

  /**
   * Returns fields of `/status`.
   * @param now - current time
   */
  status(now: Millis): object {
    const age = ({lastContact}: KeyedFollower) =>
      lastContact === undefined ? undefined : Math.round(now - lastContact);
    return {
      version: this.holder.current?.configuration.version,
      configurationAgeMs: age(this.followers.configuration),
      upstreamsAgeMs: age(this.followers.upstreams),
      entries: this.entries.size,
    };
  }

  private createFollower(
    settings: FollowerSettings,
    onChanges: FollowerListener['onChanges'],
  ): KeyedFollower {
    return new KeyedFollower(
      this.store,
      settings,
      this.clock,
      {
        onChanges: (changes, origin) => {
          onChanges(changes, origin);
          const {sinceContact} = origin;
          if (sinceContact === undefined) return;
          const {topic} = settings;
          this.updateDelay.observe({topic}, sinceContact / SECOND);
        },
        onRecovered: () => {
          if (settings.topic !== this.estate.topics.upstreams) return;
          this.upstreams.recordRegistryRecovered(this.clock.now());
        },
      },
      this.logger,
    );
  }

  private applyConfiguration(
    change: KeyedChange,
    {source, sinceContact}: UpdateOrigin,
  ): void {
    const read = this.estate.parseConfiguration(change);
    if (read === undefined) return;
    if (read.isErr()) {
      this.logger.error('configuration_unreadable', {
        reason: read.error.message,
      });
      return;
    }
    const {version, routes, services, organisations} = read.value;
    const before = this.holder.current?.configuration.version;
    const isInForce = this.holder.offer(read.value);
    if (isInForce) this.listener.onConfiguration(read.value);
    this.logger.info('configuration', {
      version,
      before,
      in_force: isInForce,
      routes: routes.length,
      services: services.length,
      organisations: organisations.length,
      source,
      since_contact_ms: sinceContact && Math.round(sinceContact),
    });
  }

  private applyRegistrations(changes: readonly KeyedChange[]): void {
    this.hasUpstreams = true;
    const now = this.clock.now();
    const kinds = changes.map(change => this.applyRegistration(now, change));
    if (kinds.includes('left')) this.listener.onUpstreamRemoved();
  }

  private applyRegistration(now: Millis, record: KeyedChange): UpstreamChange {
    if (record.value === undefined) {
      const id = upstreamId(record.key);
      const change = this.upstreams.unregister(now, id);
      if (change !== 'ignored') {
        this.logger.info('upstream', {upstream: id, change});
      }
      return change;
    }
    const read = this.estate.parseRegistration(record);
    if (read.isErr()) {
      const {message: reason} = read.error;
      this.logger.warn('registration_ignored', {key: record.key, reason});
      return 'ignored';
    }
    const {id, address, service} = read.value;
    const change = this.upstreams.register(now, read.value);
    if (change !== 'ignored' && change !== 'changed') {
      this.logger.info('upstream', {upstream: id, change, address, service});
    }
    return change;
  }

  private applyEntries(changes: readonly KeyedChange[]): void {
    for (const {key, value} of changes) {
      if (value === undefined) this.entries.delete(key);
      else this.entries.set(key, parseEntry(value));
    }
    const {vm, availabilityZone, relay} = this.location;
    this.entries.set(vm, {availabilityZone, relay});
    this.listener.onEntryCount(this.entries.size);
    const relays = [...this.entries.values()].map(entry => entry?.relay);
    this.listener.onPeers(
      relays.filter(peer => peer !== undefined && peer !== relay) as string[],
    );
    const sameZone: ZoneReader[] = [];
    for (const [name, entry] of this.entries) {
      if (entry?.availabilityZone !== availabilityZone) continue;
      sameZone.push({name: vmName(name), relay: entry.relay});
    }
    this.store.setEntries(sameZone);
    this.logger.info('entries', {
      count: this.entries.size,
      same_zone: sameZone.length,
    });
  }

  /** Writes the record of this entry, with retries until it is stored. */
  private async announce(): Promise<void> {
    const {store, topics} = this.estate;
    const {vm, availabilityZone, relay} = this.location;
    const startedAt = this.clock.wall();
    const record = {startedAt, availabilityZone, relay};
    const value = Buffer.from(JSON.stringify(record));
    while (!this.isStopped) {
      const put = await store.put(topics.entries, vm, value);
      if (put.isOk()) return;
      this.logger.warn('announce_failed', {reason: put.error.message});
      await new Promise(resolve => setTimeout(resolve, SECOND));
    }
  }

  private applyRanks(changes: readonly KeyedChange[]): void {
    for (const {key, value} of changes) {
      const place = parseRegisteredRank(key, value);
      if (place === undefined) continue;
      const {engine, group, rank, pace} = place;
      const before = this.ranks.get(engine)?.pace ?? 1;
      this.ranks.set(engine, place);
      if (before !== pace) {
        this.logger.info('rank_pace', {group, rank, engine, before, pace});
      }
    }
  }

  private expire(): void {
    const expired = this.upstreams.expire(this.clock.now());
    for (const {registration} of expired) {
      this.logger.info('upstream', {upstream: registration.id, change: 'gone'});
    }
    if (expired.length > 0) this.listener.onUpstreamRemoved();
  }
}

/** Returns undefined for another format: the entry counts, but can't relay. */
function parseEntry(value: Uint8Array): EntryRecord | undefined {
  try {
    const text = Buffer.from(value).toString('utf8');
    return entryRecord.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
