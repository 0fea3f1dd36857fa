/** Refuses orders of a coordinator that a later one has replaced. */
export class TermGuard {
  private highest = 0;

  /** The highest term that was accepted. */
  get term(): number {
    return this.highest;
  }

  /**
   * Checks an order's term and remembers it.
   * @param term - the term that the order carries
   * @returns whether the order may be obeyed
   */
  accepts(term: number): boolean {
    if (term < this.highest) return false;
    this.highest = term;
    return true;
  }
}
