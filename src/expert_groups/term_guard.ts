import type {Incarnation} from '../core/index.js';
import type {Term} from './types.js';

/** Fencing guard that rejects orders of a superseded coordinator. */
export class TermGuard {
  private highestTerm: Term = 0;
  private termOwner: Incarnation | undefined;

  /** The highest term that was accepted. */
  get term(): Term {
    return this.highestTerm;
  }

  /** The coordinator of that term. */
  get coordinator(): Incarnation | undefined {
    return this.termOwner;
  }

  /**
   * Accepts an order whose term isn't outdated and records the term. Two
   * coordinators may pick the same term; only the first to claim it gets it.
   * @param term - term of the order
   * @param from - process that sent the order
   * @returns whether the order may be executed
   */
  accept(term: Term, from: Incarnation): boolean {
    if (term < this.highestTerm) return false;
    if (term === this.highestTerm) return this.termOwner === from;
    this.highestTerm = term;
    this.termOwner = from;
    return true;
  }
}
