import type {CacheMessage} from './messages.js';
import type {PromptPrefix} from './prompt_prefix.js';

/** Maximum blocks stored per replica. */
export const PREFIX_CAPACITY = 1_024;

/** Share of the capacity that one eviction frees. */
const EVICTION_SHARE = 1 / 16;

/** Effect of lost events on an index: keep or discard its blocks. */
export type GapPolicy = 'keep' | 'forget';

/**
 * LRU index of the prompt blocks that a replica probably has cached: those of
 * the calls sent to it, corrected by the engine's delayed events. It evicts
 * the least recently used blocks first, as engines do, so that errors due to
 * lost events age out.
 */
export class PrefixIndex {
  /** In order of use, least recent first. */
  private readonly blocks = new Set<number>();
  private nextSeq: number | undefined;
  private gapCount = 0;

  /**
   * @param capacity - maximum number of blocks
   * @param onEvict - called with each block evicted at capacity
   * @param onGap - effect of a lost event on the stored blocks
   * @param evictionShare - share of the capacity that one eviction frees
   */
  constructor(
    private readonly capacity = PREFIX_CAPACITY,
    private readonly onEvict: (hash: number) => void = () => {},
    private readonly onGap: GapPolicy = 'keep',
    private readonly evictionShare = EVICTION_SHARE,
  ) {}

  /** Number of stored blocks. */
  get size(): number {
    return this.blocks.size;
  }

  /** Number of gaps in the event sequence. */
  get gaps(): number {
    return this.gapCount;
  }

  /**
   * Counts the leading blocks that are cached. A block is cached only with
   * those before it, so a binary search finds the count.
   * @param prefix - hashes of the prompt blocks
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
   * Records a call with this prompt sent to the replica.
   * @param prefix - hashes of the prompt blocks
   */
  recordUse(prefix: PromptPrefix): void {
    for (let i = prefix.length - 1; i >= 0; i--) this.add(prefix[i] as number);
  }

  /**
   * Applies a batch of the engine's cache events.
   * @param message - the batch
   * @returns false if events before the batch were lost
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

  /** Evicts in batches: finding the oldest entries of a set is a scan. */
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
