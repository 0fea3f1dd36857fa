/**
 * Bounds the experts that a change of map brings to each rank, over all
 * layers. A rank copies one after the other, so the rank with the most copies
 * decides when a change can take effect.
 */
export class CopyBudget {
  private readonly copies: Uint16Array;
  private limitPerRank = 0;

  /** @param ranks - ranks of the group */
  constructor(ranks: number) {
    this.copies = new Uint16Array(ranks);
  }

  /** Copies of the rank that has the most. */
  get maxCopies(): number {
    return Math.max(...this.copies);
  }

  /** Experts that each rank may copy. */
  get allowance(): number {
    return this.limitPerRank;
  }

  /** Lets each rank copy one expert more. */
  raiseAllowance(): void {
    this.limitPerRank += 1;
  }

  /**
   * Whether a rank may copy one expert more.
   * @param rank - the rank
   */
  hasCapacity(rank: number): boolean {
    return this.copies[rank]! < this.limitPerRank;
  }

  /**
   * The copies of a rank have changed.
   * @param rank - the rank
   * @param count - how many came, negative when some are left out again
   */
  add(rank: number, count: number): void {
    this.copies[rank]! += count;
  }
}
