import type {KeyedListing, KeyedStore} from '../../clients/index.js';
import type {Clock, LogPosition, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {KeyedTable} from '../../direct/index.js';
import type {KeyedChange} from '../../direct/index.js';
import {asFault} from '../../errors/index.js';
import type {Fault} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {DependencyHealth} from './dependency_health.js';

/** Delay after the first failed read; doubles with each further one. */
const MIN_RETRY_DELAY: Millis = 100;
const MAX_RETRY_DELAY: Millis = SECOND / 2;
/**
 * Maximum wait of a read of the internal topics, which change when a process
 * starts or the speed of a rank changes.
 */
const INTERNAL_TOPIC_WAIT: Millis = 10 * SECOND;
/** Time between reads; the topics change in bursts, as all processes start. */
const INTERNAL_TOPIC_SPACING: Millis = 3 * SECOND;

/** How an update reached a follower. */
export interface UpdateOrigin {
  /** `listing`, `store`, or the entry that relayed it. */
  readonly source: string;
  /**
   * Time since the previous response, which is an upper bound of the delay of
   * the update; undefined for the first.
   */
  readonly sinceContact: Millis | undefined;
}

/** Callbacks of a follower. */
export interface FollowerListener {
  /** Called with new records, and with the first listing even if empty. */
  onChanges(changes: readonly KeyedChange[], origin: UpdateOrigin): void;
  /** Called when the store responds after an outage, before the changes. */
  onRecovered(downtime: Millis): void;
  /** Called when the topic has lost records, before the changes. */
  onRestored(): void;
}

/** Settings of a follower. */
export interface FollowerSettings {
  readonly topic: string;
  /** Maximum time that a read waits at the store for a record. */
  readonly wait: Millis;
  /** Minimum time between the starts of two reads. */
  readonly spacing: Millis;
}

/**
 * Returns the settings of a follower of an internal topic.
 * @param topic - the topic
 */
export function internalTopic(topic: string): FollowerSettings {
  return {topic, wait: INTERNAL_TOPIC_WAIT, spacing: INTERNAL_TOPIC_SPACING};
}

/** Follows a keyed topic: lists it once, then reads new records. */
export class KeyedFollower {
  private readonly table = new KeyedTable();
  private next: LogPosition | undefined;
  private readonly storeHealth: DependencyHealth;
  private failures = 0;
  private lastContactAt: Millis | undefined;
  private spacing: Millis;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param store - store of the topic
   * @param settings - topic and read intervals
   * @param clock - the clock
   * @param listener - callbacks
   * @param logger - logs outages of the store
   */
  constructor(
    private readonly store: KeyedStore,
    private readonly settings: FollowerSettings,
    private readonly clock: Clock,
    private readonly listener: FollowerListener,
    private readonly logger: Logger,
  ) {
    const {topic} = settings;
    this.spacing = settings.spacing;
    this.storeHealth = new DependencyHealth('store', clock, logger, {topic});
  }

  /** Starts following the topic. */
  start(): void {
    this.store.onRecordsLost(() => this.pollNow());
    void this.poll();
  }

  /** Stops permanently. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Time of the last response of the store; undefined before the first. */
  get lastContact(): Millis | undefined {
    return this.lastContactAt;
  }

  /** Polls without the delay between two reads, unless a read is in progress. */
  private pollNow(): void {
    if (this.isStopped || this.timer === undefined) return;
    clearTimeout(this.timer);
    void this.poll();
  }

  private async poll(): Promise<void> {
    this.timer = undefined;
    const startedAt = this.clock.now();
    // Nothing may end the following of a topic: its records would stay unread.
    const fault = await this.readOnce().catch((thrown: unknown) =>
      asFault(thrown, 'internal'),
    );
    if (this.isStopped) return;
    if (fault === undefined) this.recordSuccess();
    else this.recordFailure(fault);
    const delay =
      fault === undefined
        ? startedAt + this.spacing - this.clock.now()
        : Math.min(
            MAX_RETRY_DELAY,
            MIN_RETRY_DELAY * 2 ** Math.min(this.failures, 8),
          );
    this.timer = setTimeout(() => void this.poll(), Math.max(0, delay));
  }

  private async readOnce(): Promise<Fault | undefined> {
    const {topic, wait} = this.settings;
    if (this.next === undefined) return this.list();
    // A waiting read would detect the recovery only when it ends.
    const readWait = this.storeHealth.isUnavailable ? 0 : wait;
    const read = await this.store.read(topic, this.next, readWait);
    if (read.isErr()) return read.error;
    const page = read.value;
    if (page.kind === 'expired') {
      const {offset: from, era: before} = this.next;
      const {era} = page;
      this.logger.warn('topic_history_expired', {topic, from, before, era});
      return this.list();
    }
    if (page.kind === 'listing') {
      this.applyListing(page, page.relayedBy);
      return undefined;
    }
    this.next = page.next;
    this.spacing = page.spacing ?? this.settings.spacing;
    this.reportRecovery();
    const changes = this.table.apply(page.records);
    if (changes.length > 0) {
      const source = page.relayedBy ?? 'store';
      this.listener.onChanges(changes, this.originOf(source));
    }
    return undefined;
  }

  private async list(): Promise<Fault | undefined> {
    const listing = await this.store.list(this.settings.topic);
    if (listing.isErr()) return listing.error;
    this.applyListing(listing.value, 'listing');
    return undefined;
  }

  private applyListing(
    {records, startedAt}: KeyedListing,
    source: string,
  ): void {
    const before = this.next;
    this.next = startedAt;
    this.spacing = this.settings.spacing;
    this.reportRecovery();
    const changes = this.table.applyListing(records, startedAt);
    if (before !== undefined) {
      const {era, offset} = startedAt;
      this.logger.info('topic_listed', {
        ...{topic: this.settings.topic, source, era, end: offset},
        ...{era_before: before.era, end_before: before.offset},
        ...{records: records.length, changes: changes.length},
        lost: changes.filter(({isLost}) => isLost).length,
      });
      if (before.era !== era) this.listener.onRestored();
    }
    this.listener.onChanges(changes, this.originOf(source));
  }

  private originOf(source: string): UpdateOrigin {
    const {lastContactAt} = this;
    return {
      source,
      sinceContact:
        lastContactAt === undefined
          ? undefined
          : this.clock.now() - lastContactAt,
    };
  }

  private recordSuccess(): void {
    this.failures = 0;
    this.lastContactAt = this.clock.now();
  }

  private reportRecovery(): void {
    const downtime = this.storeHealth.recordSuccess();
    if (downtime !== undefined) this.listener.onRecovered(downtime);
  }

  private recordFailure(fault: Fault): void {
    this.failures += 1;
    this.storeHealth.recordFailure(fault.message);
  }
}
