import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {
  ConfigurationHolder,
  UpstreamTable,
  upstreamId,
} from '../../direct/index.js';
import type {
  DirectConfiguration,
  EntryHistory,
  EntryShare,
  GroupKey,
  KeyedChange,
  KnownEntries,
  Upstream,
  UpstreamChange,
} from '../../direct/index.js';
import {operatorsTopicBound} from '../../evacuation/index.js';
import {Containment} from '../../observability/index.js';
import type {Logger, Metrics} from '../../observability/index.js';
import {bindWhenFree} from './bind_when_free.js';
import {EntryDirectory} from './entry_directory.js';
import type {EntryLocation, EntryNames} from './entry_directory.js';
import {topicTimings} from './estate.js';
import type {Estate, StalenessBounds} from './estate.js';
import {KeyedFollower, internalTopic} from './keyed_follower.js';
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
const EXPIRY_INTERVAL: Millis = SECOND / 4;

/** Callbacks of an estate tracker. */
export interface EstateListener {
  /** Called when another version is in force. */
  onConfiguration(configuration: DirectConfiguration): void;
  /** Called with each record of the operators' topic, before `onConfiguration`. */
  onOperatorRecord(change: KeyedChange, origin: UpdateOrigin): void;
  /** Called when an upstream accepts no new requests. */
  onUpstreamRemoved(): void;
  /** Called once, when the other entries can read of this one. */
  onJoined(history: EntryHistory): void;
  /** Called with the position of this entry among all entries. */
  onShare(share: EntryShare): void;
  /** Called with the `host:port` of each other entry. */
  onPeers(peers: readonly string[]): void;
  /** Called with a message of another entry. */
  onPeerMessage(req: IncomingMessage, res: ServerResponse): void;
  /** Called with changed quarantines of prompt parts. */
  onQuarantines(changes: readonly KeyedChange[]): void;
  /** Called when the store has lost the newest quarantines. */
  onQuarantinesLost(): void;
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
  private readonly entries: EntryDirectory;
  private readonly store: ZoneStore;
  private readonly updateDelay;
  private readonly containment: Containment;
  private hasUpstreams = false;
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
    this.containment = new Containment(logger, metrics);
    this.updateDelay = metrics.histogram(
      'baobabspan_update_delay_bound_seconds',
      'Time between an update of a topic and the contact before it',
      ['topic'],
    );
    this.store = new ZoneStore(
      estate.store,
      location.vm,
      topicTimings(bounds, topics),
      clock,
      logger,
      (req, res) => listener.onPeerMessage(req, res),
    );
    this.entries = new EntryDirectory(
      location,
      estate.store,
      topics.entries,
      clock,
      logger,
      {
        onJoined: history => listener.onJoined(history),
        onShare: share => listener.onShare(share),
        onPeers: peers => listener.onPeers(peers),
        onReaders: (readers, isInZone) =>
          this.store.setEntries(readers, isInZone),
      },
    );
    this.followers = {
      configuration: this.createFollower(
        // An overdue response reveals an unresponsive connection.
        {
          topic: topics.configuration,
          wait: operatorsTopicBound(bounds),
          spacing: 0,
        },
        (changes, origin) => {
          this.forEachRecord(changes, change =>
            listener.onOperatorRecord(change, origin),
          );
          this.forEachRecord(changes, change =>
            this.applyConfiguration(change, origin),
          );
        },
      ),
      upstreams: this.createFollower(
        {
          topic: topics.upstreams,
          wait: UPSTREAMS_WAIT,
          spacing: UPSTREAMS_SPACING_FRACTION * bounds.leavingUpstream,
        },
        changes => this.applyRegistrations(changes),
      ),
      entries: this.createFollower(internalTopic(topics.entries), changes =>
        this.entries.apply(changes),
      ),
      ranks: this.createFollower(internalTopic(topics.ranks), changes =>
        this.applyRanks(changes),
      ),
      quarantines: this.createFollower(
        {...internalTopic(topics.quarantines), spacing: 0},
        changes => this.listener.onQuarantines(changes),
      ),
    };
  }

  /** Starts following the topics and announces this entry. */
  start(): void {
    const {relay} = this.location;
    // The port for other entries is not needed to serve requests.
    void this.containment.runAsync('process', {relay}, () =>
      bindWhenFree(relay, this.logger, () => this.store.listen(relay)),
    );
    for (const follower of Object.values(this.followers)) follower.start();
    this.timer = setInterval(
      () => this.containment.run('timer', {}, () => this.expire()),
      EXPIRY_INTERVAL,
    );
    this.store.onRecordsLost(() => {
      void this.entries.announce();
      this.listener.onQuarantinesLost();
    });
    void this.entries.announce();
  }

  /** Stops permanently. */
  stop(): void {
    this.entries.stop();
    clearInterval(this.timer);
    for (const follower of Object.values(this.followers)) follower.stop();
    void this.store.close();
  }

  /** Why requests cannot be served yet; undefined once they can. */
  get notReadyReason(): string | undefined {
    if (this.holder.current === undefined) return 'no_configuration';
    return this.hasUpstreams ? undefined : 'no_upstreams';
  }

  /** Time of the last read of the operators' records. */
  get operatorContact(): Millis | undefined {
    return this.followers.configuration.lastContact;
  }

  /** Number of entries that may be running, including this one. */
  get entryCount(): number {
    return this.entries.count;
  }

  /** Entries that may be running, with the time of their last read. */
  get knownEntries(): KnownEntries & EntryNames {
    const {count, names, storedAt} = this.entries;
    return {count, names, storedAt, readAt: this.followers.entries.lastContact};
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
      entries: this.entries.count,
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
          const {topic} = settings;
          // The store must not be taken for the cause of an exception here.
          this.containment.run('record', {topic}, () =>
            onChanges(changes, origin),
          );
          const {sinceContact} = origin;
          if (sinceContact === undefined) return;
          this.updateDelay.observe({topic}, sinceContact / SECOND);
        },
        onRecovered: () => {
          if (settings.topic !== this.estate.topics.upstreams) return;
          this.upstreams.recordRegistryRecovered(this.clock.now());
        },
        onRestored: () => {
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
    let hasLeft = false;
    this.forEachRecord(changes, change => {
      if (this.applyRegistration(now, change) === 'left') hasLeft = true;
    });
    if (hasLeft) this.listener.onUpstreamRemoved();
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

  private applyRanks(changes: readonly KeyedChange[]): void {
    this.forEachRecord(changes, ({key, value}) => {
      const place = parseRegisteredRank(key, value);
      if (place === undefined) return;
      const {engine, group, rank, pace} = place;
      const before = this.ranks.get(engine)?.pace ?? 1;
      this.ranks.set(engine, place);
      if (before !== pace) {
        this.logger.info('rank_pace', {group, rank, engine, before, pace});
      }
    });
  }

  /** Applies records; an exception of one ends that record alone. */
  private forEachRecord(
    changes: readonly KeyedChange[],
    apply: (change: KeyedChange) => void,
  ): void {
    for (const change of changes) {
      const {key} = change;
      this.containment.run('record', {key}, () => apply(change));
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
