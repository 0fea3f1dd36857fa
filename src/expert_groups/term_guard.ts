import type {Incarnation} from '../core/index.js';
import type {Term} from './types.js';

/** Refuses orders of a coordinator that a later one has replaced. */
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
   * Checks an order's term and remembers it. Two coordinators may pick the
   * same term; only the first to ask gets it.
   * @param term - the term that the order carries
   * @param from - the process that gave the order
   * @returns whether the order may be obeyed
   */
  accept(term: Term, from: Incarnation): boolean {
    if (term < this.highestTerm) return false;
    if (term === this.highestTerm) return this.termOwner === from;
    this.highestTerm = term;
    this.termOwner = from;
    return true;
  }
}
