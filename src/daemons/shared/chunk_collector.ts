import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import {ChunkMeter} from '../../admission/index.js';

/** Length from which on a chunk is passed on as it is, bytes. */
const LARGE_CHUNK = 2 ** 10;
/** Chunks of a read that are passed on as they are: events of a stream that came together. */
const MAX_UNCOLLECTED_CHUNKS = 16;
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
 * Collects the small chunks of a message's body before its reader gets them. A message
 * that is not read at once keeps each chunk with some 400 bytes of objects, and one read
 * of its connection may bring 10,900 of them.
 */
abstract class SmallChunkCollector {
  private readonly push: IncomingMessage['push'];
  private part: Buffer | undefined;
  private length = 0;
  private flushTimer: NodeJS.Immediate | undefined;
  /** Whether the message's reader has taken what it was passed. */
  private isTaken = true;

  /** @param message - a request or response with a body */
  constructor(message: IncomingMessage) {
    this.push = message.push.bind(message);
    message.push = (chunk: Buffer | null) => this.add(chunk);
  }

  /**
   * Returns whether a chunk is passed on at once, as it is.
   * @param length - its length, bytes
   */
  protected abstract isPassedOn(length: number): boolean;

  /**
   * Called for each chunk as it is parsed.
   * @param length - its length, bytes
   */
  protected abstract onChunk(length: number): void;

  private add(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      // It would keep the message until the next pass of the event loop.
      clearImmediate(this.flushTimer);
      return this.push(null);
    }
    const {length} = chunk;
    if (this.isPassedOn(length)) {
      this.flush();
      this.isTaken = this.push(chunk);
    } else this.collect(chunk);
    this.onChunk(length);
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
    super(req);
    meters.set(req, this.meter);
  }

  protected override isPassedOn(length: number): boolean {
    return length >= LARGE_CHUNK;
  }

  protected override onChunk(length: number): void {
    this.onParsed(length, this.meter.record(length));
  }
}

/**
 * Collects the small chunks of an upstream's response. The first ones of each read are
 * passed on at once, so that the events of an ordinary stream are not delayed.
 */
export class ResponseChunkCollector extends SmallChunkCollector {
  /** What the connection had received with the latest chunk, bytes. */
  private received = 0;
  /** Chunks of the latest read. */
  private chunks = 0;

  private readonly socket: Socket;

  /** @param res - a response with a body */
  constructor(res: IncomingMessage) {
    super(res);
    this.socket = res.socket;
  }

  protected override isPassedOn(length: number): boolean {
    const {bytesRead} = this.socket;
    if (bytesRead !== this.received) this.chunks = 0;
    this.received = bytesRead;
    this.chunks += 1;
    return length >= LARGE_CHUNK || this.chunks <= MAX_UNCOLLECTED_CHUNKS;
  }

  protected override onChunk(): void {}
}
