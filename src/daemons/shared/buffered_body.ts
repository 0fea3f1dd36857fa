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

/** Buffer for the chunks of a body; small chunks share its allocation. */
export class BodyBuffer {
  private buffer: Buffer | undefined;
  private length = 0;

  /**
   * @param capacity - length of the body, or first capacity if it has none, bytes
   */
  constructor(private allocated: number) {}

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
    if (this.buffer === undefined && chunk.length === this.allocated) {
      this.buffer = chunk;
    } else {
      // Not from the pool, whose slabs a small body would pin.
      this.buffer ??= Buffer.allocUnsafeSlow(this.allocated);
      chunk.copy(this.buffer, this.length);
    }
    this.length += chunk.length;
  }

  /**
   * Grows the buffer.
   * @param capacity - the new capacity, bytes
   */
  grow(capacity: number): void {
    const larger = Buffer.allocUnsafeSlow(capacity);
    this.buffer?.copy(larger, 0, 0, this.length);
    this.buffer = larger;
    this.allocated = capacity;
  }

  /** Returns the body, without unused capacity. */
  take(): Buffer {
    const {buffer = Buffer.alloc(0), length} = this;
    this.buffer = undefined;
    if (length === buffer.length) return buffer;
    const exact = Buffer.allocUnsafeSlow(length);
    buffer.copy(exact, 0, 0, length);
    return exact;
  }
}
