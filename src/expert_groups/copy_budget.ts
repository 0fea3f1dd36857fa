/**
 * Budget of the experts that one map switch adds to each rank, over all layers.
 * A rank copies experts sequentially, so the rank with the most copies
 * determines when a switch can take effect.
 */
export class CopyBudget {
  private readonly copies: Uint16Array;
  private limitPerRank = 0;

  /** @param ranks - number of ranks in the group */
  constructor(ranks: number) {
    this.copies = new Uint16Array(ranks);
  }

  /** Highest number of copies of any rank. */
  get maxCopies(): number {
    return Math.max(...this.copies);
  }

  /** Number of experts that each rank may copy. */
  get allowance(): number {
    return this.limitPerRank;
  }

  /** Raises the allowance of each rank by one expert. */
  raiseAllowance(): void {
    this.limitPerRank += 1;
  }

  /**
   * Returns whether a rank may copy one more expert.
   * @param rank - the rank
   */
  hasCapacity(rank: number): boolean {
    return this.copies[rank]! < this.limitPerRank;
  }

  /**
   * Adjusts the number of copies of a rank.
   * @param rank - the rank
   * @param count - added copies, negative for removed ones
   */
  add(rank: number, count: number): void {
    this.copies[rank]! += count;
  }
}
