/** Chunks of a body that are judged together. */
const WINDOW_CHUNKS = 256;
/**
 * Content below which a window of chunks is costly, bytes. A chunk costs the process
 * 1 to 2 us whatever its length, as much as some 256 bytes of a large one.
 */
const MIN_WINDOW_BYTES = WINDOW_CHUNKS * 256;

/** Tells whether the chunks of a body are so small that they cost most of its read. */
export class ChunkMeter {
  private chunks = 0;
  private bytes = 0;
  private isLatestCostly = false;

  /** Whether the last whole window of chunks was costly. */
  get isCostly(): boolean {
    return this.isLatestCostly;
  }

  /**
   * Records a chunk.
   * @param bytes - its length
   * @returns whether it completes a costly window
   */
  record(bytes: number): boolean {
    this.chunks += 1;
    this.bytes += bytes;
    if (this.chunks < WINDOW_CHUNKS) return false;
    this.isLatestCostly = this.bytes < MIN_WINDOW_BYTES;
    this.chunks = 0;
    this.bytes = 0;
    return this.isLatestCostly;
  }
}
