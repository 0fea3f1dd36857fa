import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudo-random generator. The same seed gives the same sequence. */
export class Chance {
  private readonly generator;

  /** @param seed - any integer */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /**
   * Returns an integer from `low` to `high`, both included.
   * @param low - the minimum
   * @param high - the maximum
   */
  between(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /**
   * Picks one of the items.
   * @param items - at least one item
   * @throws RangeError if there are none
   */
  pick<T>(items: readonly T[]): T {
    if (items.length === 0) throw new RangeError('items must not be empty');
    return items[this.between(0, items.length - 1)] as T;
  }

  /**
   * Draws `count` distinct items, or all of them if there are fewer.
   * @param items - items to draw from; not modified
   * @param count - number of items
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
   * Returns an exponential backoff delay with jitter, drawn from the upper half
   * of the full delay, in ms.
   * @param attempt - 0 for the first delay
   * @param base - full first delay, ms
   * @param cap - maximum delay, ms
   */
  backoff(attempt: number, base: number, cap: number): number {
    const full = Math.min(cap, base * 2 ** Math.min(attempt, 30));
    return full / 2 + (this.fraction() * full) / 2;
  }
}
