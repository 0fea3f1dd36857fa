import type {KeyedStore} from '../../clients/index.js';
import type {Clock, Millis, Offset} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {KeyedTable} from '../../direct/index.js';
import type {KeyedChange} from '../../direct/index.js';
import type {Fault} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import {Contact} from './contact.js';

/** First pause after a failed read, doubling. */
const RETRY_BASE: Millis = 100;
const RETRY_CAP: Millis = SECOND / 2;

/** What the owner of a follower hears. */
export interface FollowerEvents {
  /** Records came, or the first listing did, be it empty. */
  changed(changes: readonly KeyedChange[]): void;
  /** The store answers again, after this long; the changes follow. */
  regained(after: Millis): void;
}

/** How a topic is followed. */
export interface FollowerSettings {
  readonly topic: string;
  /** How long the store may wait for a record in one read. */
  readonly wait: Millis;
  /** Least time from the start of one read to the next. */
  readonly spacing: Millis;
}

/** Follows a keyed topic: lists it once, then reads what comes. */
export class KeyedFollower {
  private readonly view = new KeyedTable();
  private next: Offset | undefined;
  private readonly contact: Contact;
  private failures = 0;
  private contactAt: Millis | undefined;
  private spacing: Millis;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param store - where the topic lies
   * @param settings - how to follow it
   * @param clock - tells the time
   * @param events - told of what comes
   * @param logger - for lost and regained contact
   */
  constructor(
    private readonly store: KeyedStore,
    private readonly settings: FollowerSettings,
    private readonly clock: Clock,
    private readonly events: FollowerEvents,
    private readonly logger: Logger,
  ) {
    const {topic} = settings;
    this.spacing = settings.spacing;
    this.contact = new Contact('store', clock, logger, {topic});
  }

  /** Starts to follow. */
  start(): void {
    void this.round();
  }

  /** Stops for good. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** When the store last answered; nothing before the first answer. */
  get lastContact(): Millis | undefined {
    return this.contactAt;
  }

  private async round(): Promise<void> {
    const startedAt = this.clock.now();
    const fault = await this.readOnce();
    if (this.isStopped) return;
    if (fault === undefined) this.succeeded();
    else this.failed(fault);
    const pause =
      fault === undefined
        ? startedAt + this.spacing - this.clock.now()
        : Math.min(RETRY_CAP, RETRY_BASE * 2 ** Math.min(this.failures, 8));
    this.timer = setTimeout(() => void this.round(), Math.max(0, pause));
  }

  private async readOnce(): Promise<Fault | undefined> {
    const {topic, wait} = this.settings;
    if (this.next === undefined) {
      const listing = await this.store.list(topic);
      if (listing.isErr()) return listing.error;
      const {records, startedAt} = listing.value;
      this.next = startedAt;
      this.regain();
      this.events.changed(this.view.applyListing(records, startedAt));
      return undefined;
    }
    // A read that waits tells of regained contact only when it ends.
    const patience = this.contact.isLost ? 0 : wait;
    const page = await this.store.read(topic, this.next, patience);
    if (page.isErr()) return page.error;
    if (page.value.kind === 'expired') {
      this.logger.warn('topic_history_expired', {topic, from: this.next});
      this.next = undefined;
      return undefined;
    }
    const {records, next} = page.value;
    this.next = next;
    this.spacing = page.value.spacing ?? this.settings.spacing;
    this.regain();
    const changes = this.view.apply(records);
    if (changes.length > 0) this.events.changed(changes);
    return undefined;
  }

  private succeeded(): void {
    this.failures = 0;
    this.contactAt = this.clock.now();
  }

  private regain(): void {
    const after = this.contact.regained();
    if (after !== undefined) this.events.regained(after);
  }

  private failed(fault: Fault): void {
    this.failures += 1;
    this.contact.lost(fault.message);
  }
}
