/**
 * Limit of the response bytes that a process buffers, for the smallest VM with
 * 256 MB. Smaller: more responses are forwarded before they are complete, and
 * can't be retried. Larger: many large responses at once exhaust the memory.
 */
const MAX_TOTAL_BYTES = 16 * 2 ** 20;

/** Budget of the buffered response bytes of all requests of a process. */
export class BufferBudget {
  private used = 0;

  /** @param maxBytes - limit of the buffered bytes */
  constructor(private readonly maxBytes = MAX_TOTAL_BYTES) {}

  /** Number of bytes in use. */
  get usedBytes(): number {
    return this.used;
  }

  /**
   * Acquires a part of the budget.
   * @param bytes - its size
   * @returns whether it was available
   */
  tryAcquire(bytes: number): boolean {
    if (this.used + bytes > this.maxBytes) return false;
    this.used += bytes;
    return true;
  }

  /**
   * Returns a part of the budget.
   * @param bytes - its size
   */
  release(bytes: number): void {
    this.used -= bytes;
  }
}
