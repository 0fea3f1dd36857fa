import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';

import {ChunkMeter} from '../../admission/index.js';

/** Length from which on a chunk is passed on as it is, bytes. */
const LARGE_CHUNK = 2 ** 10;
/**
 * Small chunks of a read of a response that are passed on uncollected. Fewer would copy
 * the events of ordinary streams.
 */
const UNCOLLECTED_CHUNKS = 16;
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
 * Collects the small chunks of a body before its reader gets them. A body that is not
 * read at once keeps each chunk with some 400 bytes of objects, and one read of its
 * connection may bring 10,900 of them.
 */
abstract class SmallChunkCollector {
  private readonly push: Readable['push'];
  private part: Buffer | undefined;
  private length = 0;
  /** Small chunks of the latest read that were passed on as they are. */
  private passedOn = 0;
  /** Cancels what is to follow the latest read; undefined if nothing is. */
  private cancelEndOfRead: (() => void) | undefined;
  /** Whether the body's reader has taken what it was passed. */
  private isTaken = true;

  /**
   * @param body - the body, or the message that has it
   * @param uncollected - small chunks of a read that are passed on as they are
   */
  constructor(
    body: Readable,
    private readonly uncollected: number,
  ) {
    this.push = body.push.bind(body);
    body.push = (chunk: Buffer | null) => this.add(chunk);
  }

  /**
   * Calls back once all of the read is parsed that is being parsed now.
   * @param callback - the callback
   * @returns cancels the call
   */
  protected abstract afterRead(callback: () => void): () => void;

  /**
   * Called for each chunk as it is parsed.
   * @param _length - its length, bytes
   */
  protected onChunk(_length: number): void {}

  private add(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      this.cancelEndOfRead?.();
      return this.push(null);
    }
    const {length} = chunk;
    if (length >= LARGE_CHUNK) this.passOn(chunk);
    else {
      this.cancelEndOfRead ??= this.afterRead(() => this.onEndOfRead());
      if (this.passedOn < this.uncollected) {
        this.passedOn += 1;
        this.passOn(chunk);
      } else this.collect(chunk);
    }
    this.onChunk(length);
    return this.isTaken;
  }

  private passOn(chunk: Buffer): void {
    this.flush();
    this.isTaken = this.push(chunk);
  }

  private collect(chunk: Buffer): void {
    if (this.length + chunk.length > PART_BYTES) this.flush();
    this.part ??= Buffer.allocUnsafe(PART_BYTES);
    chunk.copy(this.part, this.length);
    this.length += chunk.length;
  }

  private onEndOfRead(): void {
    this.cancelEndOfRead = undefined;
    this.passedOn = 0;
    this.flush();
  }

  private flush(): void {
    const {part, length} = this;
    if (part === undefined) return;
    this.part = undefined;
    this.length = 0;
    this.isTaken = this.push(part.subarray(0, length));
  }
}

/** Collects the small chunks of a caller's request, and meters what they cost. */
export class ChunkCollector extends SmallChunkCollector {
  private readonly meter = new ChunkMeter();

  /**
   * @param req - a request with a body
   * @param onParsed - called with the length of each chunk as it is parsed, and
   * whether the chunks have just proved costly
   */
  constructor(
    req: IncomingMessage,
    private readonly onParsed: (bytes: number, isCostly: boolean) => void,
  ) {
    super(req, 0);
    meters.set(req, this.meter);
  }

  protected afterRead(callback: () => void): () => void {
    const timer = setImmediate(callback);
    // It would keep the request until the next pass of the event loop.
    return () => clearImmediate(timer);
  }

  protected override onChunk(length: number): void {
    this.onParsed(length, this.meter.record(length));
  }
}

/**
 * Collects the small chunks of an upstream's response. The first ones of a read are passed
 * on as they are, as those of an ordinary stream.
 */
export class ResponseChunkCollector extends SmallChunkCollector {
  /** @param body - the body, or the response that has it */
  constructor(body: Readable) {
    super(body, UNCOLLECTED_CHUNKS);
  }

  /** Costs no further pass of the event loop; a response is parsed read by read. */
  protected afterRead(callback: () => void): () => void {
    let isCancelled = false;
    process.nextTick(() => {
      if (!isCancelled) callback();
    });
    return () => (isCancelled = true);
  }
}
