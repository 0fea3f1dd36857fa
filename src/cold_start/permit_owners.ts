import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {INTERNAL_TIMING} from '../direct/index.js';

/** Entries that share the permits, as this one knows them. */
export interface EntryView {
  /** Name of this entry. */
  readonly self: string;
  /** Names of all entries that may be running, including this one. */
  readonly names: readonly string[];
  /** Time of the last read of the names; undefined before the first. */
  readonly readAt: Millis | undefined;
  /**
   * Time at which the record of this entry was stored, -Infinity if before its
   * process started; undefined if it is not known to be stored.
   */
  readonly storedAt: Millis | undefined;
}

/** How an entry chooses its permits. */
export type SharePhase =
  /** The others do not count this entry, or it does not know them. */
  | 'uncounted'
  /** It has read of the others since it was stored; some may not count it. */
  | 'new'
  /** It has not read of the others for so long that there may be more. */
  | 'stale'
  | 'equal';

/** Time within which entries that can read the store read of a new one. */
const LEARNING_TIME: Millis = INTERNAL_TIMING.bound;
/**
 * Age of the own record at which a read knows the entries that were started
 * together with this one.
 */
const START_SPREAD: Millis = 2 * SECOND;
/**
 * Least divisor of the share of an uncounted entry: if all entries of a large
 * estate (290) know nothing of each other, they use half of the permits.
 */
const MIN_UNCOUNTED_DIVISOR = 512;
/** The same for each entry that it knows, so that an estate may double at once. */
const UNCOUNTED_DIVISOR_PER_ENTRY = 8;
/**
 * Most of its permits that a new entry uses. While a whole estate starts over
 * ten seconds, entries know two fifths of it or more.
 */
const MAX_NEW_FRACTION = 1 / 4;
/** Least divisor of the share of a new entry, which the others may not count. */
const MIN_NEW_DIVISOR = 40;
/** Assumed growth of an estate whose entries cannot be read. */
const UNREAD_GROWTH = 2;
/** Assumed size of a small estate whose entries cannot be read. */
const MIN_UNREAD_COUNT = 16;

const HASH_RANGE = 2 ** 32;

/** FNV-1a hash of a name. */
function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i++) {
    hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  }
  return mix(hash);
}

/** Finalizer of MurmurHash3: each bit of the input affects all of the output. */
function mix(hash: number): number {
  let h = hash;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/**
 * Decides which entry owns a permit, without coordination: the one with the
 * highest hash (rendezvous hashing). Entries that know different sets disagree
 * only about permits of the entries that are not in both.
 */
export class PermitOwners {
  private names: readonly string[] = [];
  private self = '';
  private selfHash = 0;
  /** Hashes of the other names. */
  private others: readonly (readonly [name: string, hash: number])[] = [];
  /** Hash below which a permit that this entry wins is used. */
  private useBelow = 0;
  private current: SharePhase = 'uncounted';

  /** How this entry chooses its permits. */
  get phase(): SharePhase {
    return this.current;
  }

  /** Number of entries among which permits are divided. */
  get entryCount(): number {
    return this.others.length + 1;
  }

  /**
   * Applies what is known of the entries.
   * @param now - current time
   * @param view - the entries
   * @returns whether other permits may be owned than before
   */
  update(now: Millis, view: EntryView): boolean {
    const {phase, useBelow, names, self} = this;
    if (view.names !== names || view.self !== self) this.setNames(view);
    this.current = phaseOf(now, view);
    this.useBelow = HASH_RANGE * this.usedFraction();
    return (
      this.current !== phase ||
      this.useBelow !== useBelow ||
      this.names !== names ||
      this.self !== self
    );
  }

  /**
   * Returns whether this entry owns a permit.
   * @param upstream - hash of the upstream, see `hashOf`
   * @param permit - number of the permit
   */
  owns(upstream: number, permit: number): boolean {
    const key = mix(
      upstream ^
        mix(permit % HASH_RANGE) ^
        Math.imul(Math.floor(permit / HASH_RANGE) + 1, 0x9e3779b1),
    );
    const own = mix(key ^ this.selfHash);
    // A second hash, since the first is high for each permit that is won.
    if (this.useBelow < HASH_RANGE && mix(own ^ key) >= this.useBelow) {
      return false;
    }
    if (this.current === 'uncounted') return true;
    return this.others.every(([name, hash]) => {
      const other = mix(key ^ hash);
      return other < own || (other === own && name > this.self);
    });
  }

  /**
   * Returns the hash of an upstream for `owns`.
   * @param upstream - its name
   */
  static hashOf(upstream: string): number {
    return hashName(upstream);
  }

  private setNames({names, self}: EntryView): void {
    this.names = names;
    this.self = self;
    this.selfHash = hashName(self);
    this.others = [...new Set(names)]
      .filter(name => name !== self)
      .map(name => [name, hashName(name)] as const);
  }

  private usedFraction(): number {
    const {entryCount} = this;
    switch (this.current) {
      case 'uncounted': {
        const perEntry = UNCOUNTED_DIVISOR_PER_ENTRY * entryCount;
        return 1 / Math.max(MIN_UNCOUNTED_DIVISOR, perEntry);
      }
      case 'new':
        return Math.min(MAX_NEW_FRACTION, entryCount / MIN_NEW_DIVISOR);
      case 'stale': {
        const grown = Math.max(MIN_UNREAD_COUNT, UNREAD_GROWTH * entryCount);
        return entryCount / grown;
      }
      case 'equal':
        return 1;
    }
  }
}

function phaseOf(now: Millis, {readAt, storedAt}: EntryView): SharePhase {
  if (readAt === undefined || storedAt === undefined) return 'uncounted';
  if (now < storedAt + LEARNING_TIME) {
    return readAt < storedAt + START_SPREAD ? 'uncounted' : 'new';
  }
  return now - readAt > LEARNING_TIME ? 'stale' : 'equal';
}
