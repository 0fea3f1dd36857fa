import type {Millis, VmName} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** With fewer entries a relay costs more reads of its own than it saves. */
const MIN_ENTRIES = 6;
/** An entry that did not answer is not asked again for this long. */
const FAILURE_BACKOFF: Millis = 10 * SECOND;

/** An entry that may read the store for its zone. */
export interface ZoneReader {
  readonly name: VmName;
  /** `host:port` at which it relays. */
  readonly relay: string;
}

/**
 * Which entry of a zone reads the store for the others: the first by name that
 * answers. All compute it alike from the entries' own records, so that no
 * agreement is needed; where they differ for a while, more of them read.
 */
export class ZoneReaderSelector {
  private entries: readonly ZoneReader[] = [];
  private readonly skippedUntil = new Map<VmName, Millis>();

  /** @param self - the entry that asks */
  constructor(private readonly self: VmName) {}

  /**
   * The entries of the zone are known anew.
   * @param entries - all of them, this one included
   */
  setEntries(entries: readonly ZoneReader[]): void {
    this.entries = [...entries].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * The entry to ask.
   * @param now - present time
   * @returns nothing when this entry reads the store itself
   */
  current(now: Millis): ZoneReader | undefined {
    if (this.entries.length < MIN_ENTRIES) return undefined;
    const first = this.entries.find(
      ({name}) => (this.skippedUntil.get(name) ?? -Infinity) <= now,
    );
    return first?.name === this.self ? undefined : first;
  }

  /**
   * An entry did not answer.
   * @param now - present time
   * @param name - the entry
   */
  recordFailure(now: Millis, name: VmName): void {
    this.skippedUntil.set(name, now + FAILURE_BACKOFF);
  }
}
