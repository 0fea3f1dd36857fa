import type {Incarnation} from '../core/index.js';

/** Most departures that are retained. */
const MAX_RETAINED = 4_096;

/**
 * Bounded set of the processes that accept no new work. A process that left
 * never returns, so an outdated report is harmless and needs no timestamp.
 */
export class Departures {
  private readonly incarnations = new Set<Incarnation>();

  /** Number of retained departures. */
  get size(): number {
    return this.incarnations.size;
  }

  /**
   * Records that a process leaves.
   * @param process - the process
   * @param isLinked - returns whether a process has a link, so isn't evicted
   * @returns whether it was not recorded yet
   */
  add(
    process: Incarnation,
    isLinked: (known: Incarnation) => boolean,
  ): boolean {
    if (this.incarnations.has(process)) return false;
    this.incarnations.add(process);
    if (this.incarnations.size > MAX_RETAINED) this.evictOldest(isLinked);
    return true;
  }

  /**
   * Returns whether a process is known to leave.
   * @param process - the process
   */
  has(process: Incarnation | undefined): boolean {
    return process !== undefined && this.incarnations.has(process);
  }

  private evictOldest(isLinked: (known: Incarnation) => boolean): void {
    for (const known of this.incarnations) {
      if (isLinked(known)) continue;
      this.incarnations.delete(known);
      return;
    }
  }
}
