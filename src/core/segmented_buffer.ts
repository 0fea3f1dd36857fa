/** Length from which on a chunk becomes a segment as it is, bytes. */
const LARGE_CHUNK = 2 ** 10;
/** First chunks that are segments whatever their length, to copy no message of few parts. */
const UNCOPIED_CHUNKS = 4;
/** Lengths of the blocks that smaller chunks are copied into, bytes. */
const MIN_BLOCK = 2 ** 9;
const MAX_BLOCK = 16 * 2 ** 10;
const NO_BYTES = Buffer.alloc(0);

/**
 * Collects the chunks of a message. Its memory and the work for a chunk depend on the
 * length of the chunk, not on the number of chunks or on what was collected before: a
 * faulty peer may send a byte at a time.
 */
export class SegmentedBuffer {
  private segments: Buffer[] = [];
  /** Block that small chunks are copied into; undefined before the first. */
  private block: Buffer | undefined;
  /** Part of the block that is filled and in no segment yet. */
  private start = 0;
  private end = 0;
  private length = 0;

  /** Number of bytes. */
  get size(): number {
    return this.length;
  }

  /** Number of buffers that hold the bytes. */
  get segmentCount(): number {
    return this.segments.length + (this.end > this.start ? 1 : 0);
  }

  /**
   * Appends a chunk.
   * @param chunk - the chunk, which must not change afterwards
   */
  append(chunk: Uint8Array): void {
    if (chunk.length === 0) return;
    const isUncopied = this.segments.length < UNCOPIED_CHUNKS;
    this.length += chunk.length;
    if (isUncopied || chunk.length >= LARGE_CHUNK) {
      this.endSegment();
      this.segments.push(bufferOf(chunk));
    } else this.copy(chunk);
  }

  /** Returns all bytes; a single chunk is returned as it came. */
  join(): Buffer {
    this.endSegment();
    const {segments, length} = this;
    const [first = NO_BYTES] = segments;
    return segments.length <= 1 ? first : Buffer.concat(segments, length);
  }

  /** Removes and returns all bytes, as `join` does. */
  take(): Buffer {
    const bytes = this.join();
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    this.segments = [];
    this.block = undefined;
    this.start = this.end = 0;
    this.length = 0;
  }

  /**
   * Returns whether any byte meets a condition.
   * @param condition - the condition
   */
  some(condition: (byte: number) => boolean): boolean {
    this.endSegment();
    return this.segments.some(segment => segment.some(condition));
  }

  private copy(chunk: Uint8Array): void {
    let rest = chunk;
    for (;;) {
      const block = this.freeBlock();
      const free = block.length - this.end;
      const part = rest.length > free ? rest.subarray(0, free) : rest;
      block.set(part, this.end);
      this.end += part.length;
      if (part === rest) return;
      rest = rest.subarray(part.length);
    }
  }

  /** Returns the block, or a further one if it is full. */
  private freeBlock(): Buffer {
    const {block} = this;
    if (block !== undefined && this.end < block.length) return block;
    this.endSegment();
    const capacity = Math.min(Math.max(this.length, MIN_BLOCK), MAX_BLOCK);
    const next = Buffer.allocUnsafe(capacity);
    this.block = next;
    this.start = this.end = 0;
    return next;
  }

  /** Makes a segment of what was copied; the rest of the block stays free. */
  private endSegment(): void {
    const {block, start, end} = this;
    if (block === undefined || end === start) return;
    this.segments.push(block.subarray(start, end));
    this.start = end;
  }
}

function bufferOf(bytes: Uint8Array): Buffer {
  if (Buffer.isBuffer(bytes)) return bytes;
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
