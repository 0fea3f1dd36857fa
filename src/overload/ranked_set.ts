import {OrderedMap} from '@js-sdsl/ordered-map';

/** Sort key of an item; `seq` is unique within a set. */
export interface RankKey {
  readonly rank: number;
  readonly seq: number;
}

const compare = (one: RankKey, other: RankKey) =>
  one.rank - other.rank || one.seq - other.seq;

/** Items ordered by a number, with positions, all in O(log n). */
export class RankedSet<T> {
  private readonly items = new OrderedMap<RankKey, T>([], compare, true);

  /** Number of items. */
  get size(): number {
    return this.items.size();
  }

  /** The item of the lowest rank; undefined if there is none. */
  get first(): T | undefined {
    return this.items.front()?.[1];
  }

  /** The item of the highest rank; undefined if there is none. */
  get last(): T | undefined {
    return this.items.back()?.[1];
  }

  /**
   * Adds an item.
   * @param key - its key
   * @param item - the item
   */
  add(key: RankKey, item: T): void {
    this.items.setElement(key, item);
  }

  /**
   * Removes an item.
   * @param key - its key
   */
  delete(key: RankKey): void {
    this.items.eraseElementByKey(key);
  }

  /**
   * Returns the number of items before a key.
   * @param key - the key
   */
  countBefore(key: RankKey): number {
    const at = this.items.lowerBound(key);
    return at.isAccessible() ? at.index : this.items.size();
  }

  /**
   * Returns the number of items up to a rank.
   * @param rank - the rank
   */
  countUpTo(rank: number): number {
    return this.countBefore({rank, seq: Infinity});
  }

  /**
   * Returns the last item up to a rank.
   * @param rank - the rank
   */
  lastUpTo(rank: number): T | undefined {
    const at = this.items.reverseLowerBound({rank, seq: Infinity});
    return at.isAccessible() ? at.pointer[1] : undefined;
  }
}
