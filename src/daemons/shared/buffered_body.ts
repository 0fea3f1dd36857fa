/** A complete body, which several users hold until none needs it. */
export class BufferedBody {
  /** Ends the hold of the body's first user. */
  readonly release: () => void;
  private content: Buffer | undefined;
  private holds = 0;

  /**
   * @param content - the bytes
   * @param onReleased - called once, when no user holds the body
   */
  constructor(
    content: Buffer,
    private readonly onReleased: () => void = () => undefined,
  ) {
    this.content = content;
    this.release = this.hold();
  }

  /**
   * The bytes.
   * @throws {Error} if no user holds the body
   */
  get bytes(): Buffer {
    if (this.content === undefined) throw new Error('body was released');
    return this.content;
  }

  /** Number of bytes; 0 if no user holds the body. */
  get size(): number {
    return this.content?.length ?? 0;
  }

  /**
   * Holds the body for a further user.
   * @returns ends the hold; further calls have no effect
   */
  hold(): () => void {
    this.holds += 1;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.holds -= 1;
      if (this.holds > 0) return;
      this.content = undefined;
      this.onReleased();
    };
  }
}

/**
 * Buffer for the chunks of a body; small chunks share its allocations. It grows by
 * further segments: copies would be left to the garbage collector with each growth.
 */
export class BodyBuffer {
  private readonly segments: Buffer[] = [];
  /** Length of the segment that is filled next. */
  private nextLength: number;
  /** Bytes of the last segment that are filled. */
  private filled = 0;
  private length = 0;

  /**
   * @param allocated - length of the body, or first capacity if it has none, bytes
   */
  constructor(private allocated: number) {
    this.nextLength = allocated;
  }

  /** Bytes that the buffer takes. */
  get capacity(): number {
    return this.allocated;
  }

  /** Bytes that fit before `grow`. */
  get free(): number {
    return this.allocated - this.length;
  }

  /** Bytes of the body so far. */
  get size(): number {
    return this.length;
  }

  /**
   * Adds a chunk that fits.
   * @param chunk - the chunk
   */
  add(chunk: Buffer): void {
    for (let start = 0; start < chunk.length;) {
      const rest = start === 0 ? chunk : chunk.subarray(start);
      start += this.addPart(rest);
    }
  }

  /**
   * Grows the buffer.
   * @param capacity - the new capacity, bytes
   */
  grow(capacity: number): void {
    // A segment that was not begun takes the further bytes as well.
    this.nextLength += capacity - this.allocated;
    this.allocated = capacity;
  }

  /** Returns the body, without unused capacity. */
  take(): Buffer {
    const {segments, length} = this;
    const [first = Buffer.alloc(0)] = segments;
    if (segments.length <= 1 && first.length === length) return first;
    const exact = Buffer.allocUnsafeSlow(length);
    let end = 0;
    for (const segment of segments) end += segment.copy(exact, end);
    return exact;
  }

  /** Adds the beginning of a chunk to the last segment; returns its length. */
  private addPart(chunk: Buffer): number {
    let last = this.segments.at(-1);
    if (last === undefined || this.filled === last.length) {
      if (chunk.length === this.nextLength) return this.keep(chunk);
      // Not from the pool, whose slabs a small body would pin.
      last = Buffer.allocUnsafeSlow(this.nextLength);
      this.segments.push(last);
      this.nextLength = 0;
      this.filled = 0;
    }
    const copied = chunk.copy(last, this.filled);
    this.filled += copied;
    this.length += copied;
    return copied;
  }

  /** Takes a chunk that fills the next segment as that segment. */
  private keep(chunk: Buffer): number {
    this.segments.push(chunk);
    this.nextLength = 0;
    this.filled = chunk.length;
    this.length += chunk.length;
    return chunk.length;
  }
}
