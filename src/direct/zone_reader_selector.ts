import type {Millis, VmName} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** With fewer entries, a relay causes more reads than it saves. */
const MIN_ENTRIES = 6;
/** Time for which an unresponsive entry is skipped. */
const FAILURE_BACKOFF: Millis = 10 * SECOND;

/** An entry that can read the store for its zone. */
export interface ZoneReader {
  readonly name: VmName;
  /** `host:port` of its relay. */
  readonly relay: string;
}

/**
 * Selects the entry that reads the store for its zone: the first responsive one
 * by name. All entries compute it from the same records, without consensus;
 * while their results differ, more than one entry reads.
 */
export class ZoneReaderSelector {
  private entries: readonly ZoneReader[] = [];
  private readonly skippedUntil = new Map<VmName, Millis>();

  /** @param self - name of this entry */
  constructor(private readonly self: VmName) {}

  /**
   * Replaces the entries of the zone.
   * @param entries - all entries, including this one
   */
  setEntries(entries: readonly ZoneReader[]): void {
    this.entries = [...entries].sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * Returns the entry to query.
   * @param now - current time
   * @returns undefined if this entry reads the store itself
   */
  current(now: Millis): ZoneReader | undefined {
    if (this.entries.length < MIN_ENTRIES) return undefined;
    const first = this.entries.find(
      ({name}) => (this.skippedUntil.get(name) ?? -Infinity) <= now,
    );
    return first?.name === this.self ? undefined : first;
  }

  /**
   * Records that an entry did not respond.
   * @param now - current time
   * @param name - the entry
   */
  recordFailure(now: Millis, name: VmName): void {
    this.skippedUntil.set(name, now + FAILURE_BACKOFF);
  }
}
