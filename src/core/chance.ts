import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded chance. The same seed gives the same draws. */
export class Chance {
  private readonly generator;

  /** @param seed - any integer */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * A whole number from `low` to `high`, both included.
   * @param low - the least
   * @param high - the greatest
   */
  between(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /**
   * One of the items.
   * @param items - at least one
   * @throws RangeError when there is none
   */
  pick<T>(items: readonly T[]): T {
    if (items.length === 0) throw new RangeError('nothing to pick from');
    return items[this.between(0, items.length - 1)] as T;
  }

  /**
   * `count` different items, or all of them when there are fewer.
   * @param items - where to draw from; left as it is
   * @param count - how many
   */
  sample<T>(items: readonly T[], count: number): T[] {
    const pool = [...items];
    const taken = Math.min(count, pool.length);
    for (let i = 0; i < taken; i++) {
      const j = this.between(i, pool.length - 1);
      [pool[i], pool[j]] = [pool[j] as T, pool[i] as T];
    }
    return pool.slice(0, taken);
  }

  /**
   * A delay with jitter for the given try: exponential up to `cap`, of which
   * the upper half is drawn.
   * @param attempt - 0 for the first wait
   * @param base - the first wait, ms
   * @param cap - the longest wait, ms
   */
  backoff(attempt: number, base: number, cap: number): number {
    const full = Math.min(cap, base * 2 ** Math.min(attempt, 30));
    return full / 2 + (this.fraction() * full) / 2;
  }
}
