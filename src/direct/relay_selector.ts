import type {Millis, VmName} from '../core/index.js';
import {SECOND, rendezvous} from '../core/index.js';

/** With fewer entries in a zone, a relay causes more reads than it saves. */
const MIN_ENTRIES = 6;
/** Time for which an unresponsive entry is skipped. */
const FAILURE_BACKOFF: Millis = 10 * SECOND;
/** Time for which an entry without recent contact with the store is skipped. */
const STALE_BACKOFF: Millis = 2 * SECOND;

/** An entry that other entries can read from. */
export interface RelayEntry {
  readonly name: VmName;
  /** `host:port` of its relay. */
  readonly relay: string;
}

/**
 * Selects the entries through which this one reads the store: the relay of its
 * zone, which is the first responsive one by name, and peers for the time in
 * which the store does not respond to this entry. All entries compute the relay
 * from the same records, without consensus; while their results differ, more
 * than one entry reads.
 */
export class RelaySelector {
  private zoneEntries: readonly RelayEntry[] = [];
  private others: readonly RelayEntry[] = [];
  private lastResponsive: VmName | undefined;
  private readonly skippedUntil = new Map<VmName, Millis>();

  /** @param self - name of this entry */
  constructor(private readonly self: VmName) {}

  /**
   * Replaces the entries.
   * @param entries - all entries of the estate, including this one
   * @param isInZone - whether an entry is in the zone of this one
   */
  setEntries(
    entries: readonly RelayEntry[],
    isInZone: (entry: RelayEntry) => boolean,
  ): void {
    this.zoneEntries = entries
      .filter(isInZone)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const byName = new Map(entries.map(entry => [entry.name, entry]));
    byName.delete(this.self);
    this.others = rendezvous(this.self, [...byName.keys()]).map(name =>
      byName.get(name)!,
    );
  }

  /**
   * Returns the relay of the zone.
   * @param now - current time
   * @returns undefined if this entry reads the store itself
   */
  relay(now: Millis): RelayEntry | undefined {
    if (this.zoneEntries.length < MIN_ENTRIES) return undefined;
    const first = this.zoneEntries.find(({name}) => !this.isSkipped(now, name));
    return first?.name === this.self ? undefined : first;
  }

  /**
   * Returns the other entries, the last responsive one first. The order differs
   * between entries, so that many without the store do not query the same one.
   * @param now - current time
   */
  peers(now: Millis): RelayEntry[] {
    const usable = this.others.filter(({name}) => !this.isSkipped(now, name));
    const last = usable.filter(({name}) => name === this.lastResponsive);
    return [...last, ...usable.filter(entry => !last.includes(entry))];
  }

  /**
   * Records that an entry did not respond.
   * @param now - current time
   * @param name - the entry
   */
  recordFailure(now: Millis, name: VmName): void {
    this.skippedUntil.set(name, now + FAILURE_BACKOFF);
  }

  /**
   * Records that an entry has lost the store.
   * @param now - current time
   * @param name - the entry
   */
  recordStale(now: Millis, name: VmName): void {
    this.skippedUntil.set(name, now + STALE_BACKOFF);
  }

  /**
   * Records a response of a peer.
   * @param name - the entry
   */
  recordResponse(name: VmName): void {
    this.lastResponsive = name;
  }

  private isSkipped(now: Millis, name: VmName): boolean {
    return (this.skippedUntil.get(name) ?? -Infinity) > now;
  }
}
