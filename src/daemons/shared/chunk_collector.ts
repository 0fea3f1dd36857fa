import type {IncomingMessage} from 'node:http';

import {ChunkMeter} from '../../admission/index.js';

/** Length from which on a chunk is passed on as it is, bytes. */
const LARGE_CHUNK = 2 ** 10;
/** Size of the parts that smaller chunks are collected in, bytes. */
const PART_BYTES = 2 * 2 ** 10;

const meters = new WeakMap<IncomingMessage, ChunkMeter>();

/**
 * Returns whether the chunks of a body are so small that they cost most of its read.
 * @param req - its request
 */
export function hasCostlyChunks(req: IncomingMessage): boolean {
  return meters.get(req)?.isCostly === true;
}

/**
 * Collects the small chunks of a body before its reader gets them. A request that is
 * not read at once keeps each chunk with some 400 bytes of objects, and one read of
 * its connection may bring 10,900 of them.
 */
export class ChunkCollector {
  private readonly meter = new ChunkMeter();
  private readonly push: IncomingMessage['push'];
  private part: Buffer | undefined;
  private length = 0;
  private flushTimer: NodeJS.Immediate | undefined;
  /** Whether the request's reader has taken what it was passed. */
  private isTaken = true;

  /**
   * @param req - a request with a body
   * @param onChunk - called with the length of each chunk as it is parsed, and
   * whether the chunks have just proved costly
   */
  constructor(
    req: IncomingMessage,
    private readonly onChunk: (bytes: number, isCostly: boolean) => void,
  ) {
    this.push = req.push.bind(req);
    req.push = (chunk: Buffer | null) => this.add(chunk);
    meters.set(req, this.meter);
  }

  private add(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      // It would keep the request until the next pass of the event loop.
      clearImmediate(this.flushTimer);
      return this.push(null);
    }
    const {length} = chunk;
    if (length >= LARGE_CHUNK) {
      this.flush();
      this.isTaken = this.push(chunk);
    } else this.collect(chunk);
    this.onChunk(length, this.meter.record(length));
    return this.isTaken;
  }

  private collect(chunk: Buffer): void {
    if (this.length + chunk.length > PART_BYTES) this.flush();
    this.part ??= Buffer.allocUnsafe(PART_BYTES);
    chunk.copy(this.part, this.length);
    this.length += chunk.length;
    // By then all of the read that has brought the chunk is parsed.
    this.flushTimer ??= setImmediate(() => {
      this.flushTimer = undefined;
      this.flush();
    });
  }

  private flush(): void {
    const {part, length} = this;
    if (part === undefined) return;
    this.part = undefined;
    this.length = 0;
    this.isTaken = this.push(part.subarray(0, length));
  }
}
