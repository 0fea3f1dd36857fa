import type {CacheMessage} from './messages.js';
import type {PromptPrefix} from './prompt_prefix.js';

/** Blocks remembered of one replica. */
export const PREFIX_CAPACITY = 1_024;

/** Share of the blocks that are forgotten at once when there is no room. */
const EVICTION_SHARE = 1 / 16;

/** What becomes of a map when events were lost. */
export type GapPolicy = 'keep' | 'forget';

/**
 * Which blocks one replica seems to have cached: those of the calls that went
 * there, corrected by the engine's late events. Forgets the least recently
 * used first, as engines do, so that what a lost event leaves wrong fades out.
 */
export class PrefixIndex {
  /** Kept in the order of use, the least recent first. */
  private readonly blocks = new Set<number>();
  private nextSeq: number | undefined;
  private gapCount = 0;

  /**
   * @param capacity - blocks to remember
   * @param onEvict - told of each block that is forgotten for want of room
   * @param onGap - what a lost event does to what was known before
   * @param evictionShare - share of the blocks that are forgotten at once
   */
  constructor(
    private readonly capacity = PREFIX_CAPACITY,
    private readonly onEvict: (hash: number) => void = () => {},
    private readonly onGap: GapPolicy = 'keep',
    private readonly evictionShare = EVICTION_SHARE,
  ) {}

  /** Blocks remembered. */
  get size(): number {
    return this.blocks.size;
  }

  /** Gaps met in the events. */
  get gaps(): number {
    return this.gapCount;
  }

  /**
   * Counts the leading blocks that are cached. A block is cached only with
   * those before it, so the count is found by halving.
   * @param prefix - hashes of the prompt
   */
  match(prefix: PromptPrefix): number {
    let low = 0;
    let high = prefix.length;
    while (low < high) {
      const middle = (low + high + 1) >> 1;
      if (this.blocks.has(prefix[middle - 1] as number)) low = middle;
      else high = middle - 1;
    }
    return low;
  }

  /**
   * A call with this prompt went to the replica.
   * @param prefix - hashes of the prompt
   */
  recordUse(prefix: PromptPrefix): void {
    for (let i = prefix.length - 1; i >= 0; i--) this.add(prefix[i] as number);
  }

  /**
   * Takes in the engine's events.
   * @param message - a batch of them
   * @returns whether none was lost before it
   */
  apply({seq, stored, removed}: CacheMessage): boolean {
    const isContiguous = this.nextSeq === undefined || seq === this.nextSeq;
    if (this.nextSeq !== undefined && seq < this.nextSeq) return true;
    if (!isContiguous) this.recordGap();
    this.nextSeq = seq + 1;
    for (const hash of stored) this.add(hash);
    for (const hash of removed) this.blocks.delete(hash);
    return isContiguous;
  }

  private recordGap(): void {
    this.gapCount += 1;
    if (this.onGap === 'forget') this.blocks.clear();
  }

  private add(hash: number): void {
    this.blocks.delete(hash);
    this.blocks.add(hash);
    if (this.blocks.size > this.capacity) this.evict();
  }

  /** Forgets some at once: to find the oldest of a set costs a walk. */
  private evict(): void {
    const spare = Math.floor(this.capacity * this.evictionShare);
    let excess = this.blocks.size - this.capacity + spare;
    for (const oldest of this.blocks) {
      if (excess-- <= 0) return;
      this.blocks.delete(oldest);
      this.onEvict(oldest);
    }
  }
}
