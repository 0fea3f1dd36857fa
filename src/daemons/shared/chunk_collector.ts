import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';

import {ChunkMeter} from '../../admission/index.js';

/** Length from which on a chunk is passed on as it is, bytes. */
const LARGE_CHUNK = 2 ** 10;
/**
 * Small chunks of a response that are passed on uncollected in a pass of the event loop.
 * Fewer would delay the events of ordinary streams to the end of the pass.
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
class SmallChunkCollector {
  private readonly push: Readable['push'];
  private part: Buffer | undefined;
  private length = 0;
  /** Chunks of this pass of the event loop that were passed on as they are. */
  private passedOn = 0;
  private endOfPass: NodeJS.Immediate | undefined;
  /** Whether the body's reader has taken what it was passed. */
  private isTaken = true;

  /**
   * @param body - the body, or the message that has it
   * @param uncollected - small chunks of a pass that are passed on as they are
   */
  constructor(
    body: Readable,
    private readonly uncollected: number,
  ) {
    this.push = body.push.bind(body);
    body.push = (chunk: Buffer | null) => this.add(chunk);
  }

  /**
   * Called for each chunk as it is parsed.
   * @param _length - its length, bytes
   */
  protected onChunk(_length: number): void {}

  private add(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      // It would keep the message until the next pass of the event loop.
      clearImmediate(this.endOfPass);
      return this.push(null);
    }
    const {length} = chunk;
    if (length >= LARGE_CHUNK) this.passOn(chunk);
    else {
      // By then all of the read that has brought the chunk is parsed.
      this.endOfPass ??= setImmediate(() => this.onEndOfPass());
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

  private onEndOfPass(): void {
    this.endOfPass = undefined;
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

  protected override onChunk(length: number): void {
    this.onParsed(length, this.meter.record(length));
  }
}

/**
 * Collects the small chunks of an upstream's response. The first ones are passed on at
 * once, so that the events of an ordinary stream are not delayed.
 */
export class ResponseChunkCollector extends SmallChunkCollector {
  /** @param body - the body, or the response that has it */
  constructor(body: Readable) {
    super(body, UNCOLLECTED_CHUNKS);
  }
}
