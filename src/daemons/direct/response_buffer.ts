import {SegmentedBuffer} from '../../core/index.js';
import type {BufferBudget} from './buffer_budget.js';

/** Buffer limit of a non-stream body; a larger one is sent as it arrives. */
const MAX_BUFFERED_BYTES = 2 ** 20;

/**
 * Buffers the bodies of a request's responses, so that a failed one can be
 * dropped. A body that exceeds its limit or the budget of the process is to be
 * forwarded as it arrives.
 */
export class ResponseBuffer {
  private readonly chunks = new SegmentedBuffer();
  private bytes = 0;
  private isOverflowing = false;
  /** Part of the budget that the chunks hold. */
  private reserved = 0;
  /** Part of the budget that removed bodies hold until `release`. */
  private reservedByTaken = 0;

  /** @param budget - bytes that all buffers of the process may hold */
  constructor(private readonly budget: BufferBudget) {}

  /**
   * Adds a chunk.
   * @param chunk - the chunk
   * @returns whether the body is too large to be buffered further
   */
  add(chunk: Buffer): boolean {
    this.chunks.append(chunk);
    this.bytes += chunk.length;
    if (this.isOverflowing) return true;
    this.isOverflowing =
      this.bytes > MAX_BUFFERED_BYTES || !this.budget.tryAcquire(chunk.length);
    if (!this.isOverflowing) this.reserved += chunk.length;
    return this.isOverflowing;
  }

  /** Removes and returns the buffered bytes; they count until `release`. */
  take(): Buffer {
    const body = this.chunks.take();
    this.reservedByTaken += this.reserved;
    this.reserved = 0;
    return body;
  }

  /** Drops the current body, before the next response. */
  clear(): void {
    this.chunks.clear();
    this.bytes = 0;
    this.isOverflowing = false;
    this.budget.release(this.reserved);
    this.reserved = 0;
  }

  /** Returns the budget of the removed bodies, once they are sent or dropped. */
  release(): void {
    this.budget.release(this.reservedByTaken);
    this.reservedByTaken = 0;
  }
}
