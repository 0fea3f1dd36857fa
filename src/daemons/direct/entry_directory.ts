import {z} from 'zod';

import type {KeyedStore} from '../../clients/index.js';
import type {
  AvailabilityZone,
  Clock,
  Millis,
  VmName,
} from '../../core/index.js';
import {SECOND, isHostPort, vmName} from '../../core/index.js';
import type {
  EntryHistory,
  EntryShare,
  KeyedChange,
  RelayEntry,
} from '../../direct/index.js';
import type {Logger} from '../../observability/index.js';

const ANNOUNCE_RETRY_DELAY: Millis = SECOND;
/** Age up to which records of other entries are of the same first start. */
const FIRST_START_TIME: Millis = 10 * SECOND;

const entryRecord = z.object({
  /** Wall time of the start of its process. */
  startedAt: z.number().optional(),
  availabilityZone: z.string(),
  /** `host:port` at which it relays updates from the store. */
  relay: z.string().refine(isHostPort),
});
type EntryRecord = z.output<typeof entryRecord>;

/** Location of an entry. */
export interface EntryLocation {
  readonly vm: VmName;
  readonly availabilityZone: AvailabilityZone;
  /** `host:port` at which it relays updates from the store to other entries. */
  readonly relay: string;
}

/** Entries that may be running, as this one knows them. */
export type EntryNames = Pick<EntryDirectory, 'names' | 'storedAt'>;

/** Callbacks of an entry directory. */
export interface EntryDirectoryListener {
  /** Called once, when the other entries can read of this one. */
  onJoined(history: EntryHistory): void;
  /** Called with the position of this entry in the common order of names. */
  onShare(share: EntryShare): void;
  /** Called with the `host:port` of each other entry. */
  onPeers(peers: readonly string[]): void;
  /** Called with the entries that can be read from, and which are in the zone. */
  onReaders(
    readers: readonly RelayEntry[],
    isInZone: (reader: RelayEntry) => boolean,
  ): void;
}

/** Entries of the estate, each of which announces itself in the store. */
export class EntryDirectory {
  private readonly entries = new Map<string, EntryRecord | undefined>();
  private readonly startedAt: Millis;
  private isStopped = false;
  private joinedAt: Millis | undefined;
  /** Whether the first listing had a record of this entry. */
  private hadRecord: boolean | undefined;
  private sortedNames: readonly string[] = [];
  private onListed: (() => void) | undefined;
  private readonly listed = new Promise<void>(
    resolve => (this.onListed = resolve),
  );

  /**
   * @param location - location of this entry
   * @param store - the platform's store
   * @param topic - topic of the entries' records
   * @param clock - the clock
   * @param logger - logs changes
   * @param listener - callbacks
   */
  constructor(
    private readonly location: EntryLocation,
    private readonly store: KeyedStore,
    private readonly topic: string,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly listener: EntryDirectoryListener,
  ) {
    this.startedAt = clock.wall();
  }

  /** Number of entries that may be running, including this one. */
  get count(): number {
    return Math.max(1, this.entries.size);
  }

  /** Names of the entries that may be running, including this one. */
  get names(): readonly string[] {
    return this.sortedNames;
  }

  /**
   * Time at which the record of this entry was stored, -Infinity if before its
   * process started; undefined if it is not known to be stored.
   */
  get storedAt(): Millis | undefined {
    return this.hadRecord === true ? -Infinity : this.joinedAt;
  }

  /** Stops announcing. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Applies records of the entries.
   * @param changes - the records
   */
  apply(changes: readonly KeyedChange[]): void {
    for (const {key, value, isLost} of changes) {
      // An entry whose record the store has lost announces itself again.
      if (isLost) continue;
      if (value === undefined) this.entries.delete(key);
      else this.entries.set(key, parseEntry(value));
    }
    const {vm, availabilityZone, relay} = this.location;
    this.hadRecord ??= this.entries.has(vm);
    const {startedAt} = this;
    this.entries.set(vm, {startedAt, availabilityZone, relay});
    const names = [...this.entries.keys()].sort();
    this.sortedNames = names;
    this.listener.onShare({index: names.indexOf(vm), count: names.length});
    const readers: RelayEntry[] = [];
    for (const [name, entry] of this.entries) {
      if (entry === undefined) continue;
      readers.push({name: vmName(name), relay: entry.relay});
    }
    const peers = readers.map(reader => reader.relay);
    this.listener.onPeers(peers.filter(peer => peer !== relay));
    const isInZone = ({name}: RelayEntry) =>
      this.entries.get(name)?.availabilityZone === availabilityZone;
    this.listener.onReaders(readers, isInZone);
    this.logger.info('entries', {
      count: this.entries.size,
      same_zone: readers.filter(isInZone).length,
    });
    this.onListed?.();
  }

  /**
   * Writes the record of this entry, with retries until it is stored. It waits
   * for the first listing, which tells whether there was a record before.
   */
  async announce(): Promise<void> {
    await this.listed;
    const {vm, availabilityZone, relay} = this.location;
    const record = {startedAt: this.startedAt, availabilityZone, relay};
    const value = Buffer.from(JSON.stringify(record));
    while (!this.isStopped) {
      const put = await this.store.put(this.topic, vm, value);
      if (put.isOk()) {
        this.recordJoined();
        return;
      }
      this.logger.warn('announce_failed', {reason: put.error.message});
      await new Promise(resolve => setTimeout(resolve, ANNOUNCE_RETRY_DELAY));
    }
  }

  private recordJoined(): void {
    if (this.joinedAt !== undefined) return;
    this.joinedAt = this.clock.now();
    this.listener.onJoined(this.history);
  }

  private get history(): EntryHistory {
    if (this.hadRecord) return 'restarted';
    const youngest = this.clock.wall() - FIRST_START_TIME;
    const isFirstStart = [...this.entries.values()].every(
      entry => (entry?.startedAt ?? -Infinity) > youngest,
    );
    return isFirstStart ? 'first_start' : 'added';
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
