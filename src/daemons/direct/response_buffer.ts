/** Buffer limit of a non-stream body; a larger one is sent as it arrives. */
const MAX_BUFFERED_BYTES = 2 ** 20;

/** Buffers the body of a response, so that a failed one can be dropped. */
export class ResponseBuffer {
  private chunks: Buffer[] = [];
  private bytes = 0;

  /**
   * Adds a chunk.
   * @param chunk - the chunk
   * @returns whether the body is too large to be buffered further
   */
  add(chunk: Buffer): boolean {
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    return this.bytes > MAX_BUFFERED_BYTES;
  }

  /** Removes and returns the buffered bytes. */
  take(): Buffer {
    const body = Buffer.concat(this.chunks);
    this.chunks = [];
    return body;
  }
}
