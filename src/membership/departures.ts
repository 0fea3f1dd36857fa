import type {Incarnation} from '../core/index.js';

/** Departures that are remembered. */
const MAX_RETAINED = 4_096;

/**
 * Processes that take no new work. A process that left never comes back, so
 * an old word about one does no harm and needs no time.
 */
export class Departures {
  private readonly incarnations = new Set<Incarnation>();

  /** How many are remembered. */
  get size(): number {
    return this.incarnations.size;
  }

  /**
   * Notes that a process leaves.
   * @param process - the process
   * @param isLinked - tells which processes must not be forgotten
   * @returns whether that is news
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
   * Whether a process is known to leave.
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
