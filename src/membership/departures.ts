import type {Incarnation} from '../core/index.js';

/** Departures that are remembered. */
const REMEMBERED = 4_096;

/**
 * Processes that take no new work. A process that left never comes back, so
 * an old word about one does no harm and needs no time.
 */
export class Departures {
  private readonly gone = new Set<Incarnation>();

  /** How many are remembered. */
  get size(): number {
    return this.gone.size;
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
    if (this.gone.has(process)) return false;
    this.gone.add(process);
    if (this.gone.size > REMEMBERED) this.forget(isLinked);
    return true;
  }

  /**
   * Whether a process is known to leave.
   * @param process - the process
   */
  has(process: Incarnation | undefined): boolean {
    return process !== undefined && this.gone.has(process);
  }

  private forget(isLinked: (known: Incarnation) => boolean): void {
    for (const known of this.gone) {
      if (isLinked(known)) continue;
      this.gone.delete(known);
      return;
    }
  }
}
