import {z} from 'zod';

import {MAX_EVENT_BLOCKS, blockHash} from './messages.js';
import type {CacheMessage} from './messages.js';

/** A page of prefix cache events from an engine. */
export const cacheEventPage = z.object({
  events: z.array(
    z.object({
      /** One more than in the previous event. */
      seq: z.int().positive(),
      stored: z.array(blockHash),
      removed: z.array(blockHash),
    }),
  ),
});
export type CacheEventPage = z.output<typeof cacheEventPage>;

/**
 * Batches an engine's cache events into messages of bounded size. Events that
 * were lost or exceed the size show as a gap in the message sequence.
 */
export class CacheEventBatcher {
  private engineSeq = 0;
  private seq = 0;

  /** Sequence number of the last event; 0 before the first. */
  get lastSeq(): number {
    return this.engineSeq;
  }

  /**
   * Merges a page of events into a message.
   * @param page - the events after `lastSeq`
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
