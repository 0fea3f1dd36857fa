import {z} from 'zod';

import {MAX_EVENT_BLOCKS, blockHash} from './messages.js';
import type {CacheMessage} from './messages.js';

/** Events of a prefix cache as an engine gives them. */
export const cacheEventPage = z.object({
  events: z.array(
    z.object({
      /** One more than that of the event before. */
      seq: z.int().positive(),
      stored: z.array(blockHash),
      removed: z.array(blockHash),
    }),
  ),
});
export type CacheEventPage = z.output<typeof cacheEventPage>;

/**
 * Puts an engine's events together into bounded messages. What is lost before
 * it, or does not fit, shows as a gap in the messages' own sequence.
 */
export class CacheEventBatcher {
  private engineSeq = 0;
  private seq = 0;

  /** Number of the last event that was seen; 0 before the first. */
  get lastSeq(): number {
    return this.engineSeq;
  }

  /**
   * Takes in a page of events.
   * @param page - the events after the last one seen
   * @returns at most one message
   */
  batch({events}: CacheEventPage): CacheMessage[] {
    const stored = new Set<number>();
    const removed = new Set<number>();
    let hasGap = false;
    for (const event of events) {
      if (event.seq <= this.engineSeq) continue;
      hasGap ||= this.engineSeq > 0 && event.seq > this.engineSeq + 1;
      this.engineSeq = event.seq;
      for (const hash of event.removed) moveHash(hash, stored, removed);
      for (const hash of event.stored) moveHash(hash, removed, stored);
    }
    if (stored.size + removed.size === 0) return [];
    hasGap ||= Math.max(stored.size, removed.size) > MAX_EVENT_BLOCKS;
    this.seq += hasGap ? 2 : 1;
    const newest = (hashes: Set<number>) =>
      [...hashes].slice(-MAX_EVENT_BLOCKS);
    const {seq} = this;
    const changes = {stored: newest(stored), removed: newest(removed)};
    return [{type: 'cache', seq, ...changes}];
  }
}

function moveHash(hash: number, from: Set<number>, to: Set<number>): void {
  from.delete(hash);
  to.add(hash);
}
