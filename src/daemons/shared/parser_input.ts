import type {Socket} from 'node:net';

import {startReading, stopReading} from './socket_handle.js';

/** Bytes passed to the parser at once between requests: 22 of the shortest POSTs. */
const SLICE_BYTES = 2 ** 10;
/** The same within a body, whose bytes cost less. */
const BODY_SLICE_BYTES = 16 * 2 ** 10;

/**
 * Passes what is read of a connection to its parser in slices, and keeps the rest
 * while the connection is paused. Node passes on whole reads of 64 KB, up to 3,000
 * requests, before any limit can stop it.
 */
export class ParserInput {
  private rest: Buffer | undefined;
  private parsed = 0;
  /** Bytes that `onHeld` was called with last. */
  private held = 0;
  private isReleased = false;
  private readonly push: Socket['push'];

  /**
   * @param socket - a connection that an HTTP server has just taken
   * @param isWithinBody - whether the body of a request is being parsed
   * @param onHeld - called with the number of bytes that are kept, as it changes
   */
  constructor(
    private readonly socket: Socket,
    private readonly isWithinBody: () => boolean,
    private readonly onHeld: (bytes: number) => void,
  ) {
    // A listener ends the direct way from the connection to its parser.
    const ignore = () => undefined;
    socket.on('data', ignore);
    socket.off('data', ignore);
    this.push = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    socket.push = (bytes: Buffer | null) => this.add(bytes);
    socket._read = size => {
      if (this.rest !== undefined) process.nextTick(() => this.passOn());
      else if (!socket.isPaused()) read(size);
    };
    socket.on('pause', () => stopReading(socket));
    socket.on('resume', () => {
      this.passOn();
      if (this.rest === undefined && !socket.isPaused()) startReading(socket);
    });
    socket.once('close', () => (this.rest = undefined));
  }

  /** Bytes that were passed to the parser. */
  get bytesParsed(): number {
    return this.parsed;
  }

  /** Whether bytes are kept that the parser has not been passed. */
  get holdsBytes(): boolean {
    return this.rest !== undefined;
  }

  /** Passes on whole reads from now on, as the connection has left HTTP. */
  release(): void {
    this.isReleased = true;
  }

  private get sliceBytes(): number {
    if (this.isReleased) return Infinity;
    return this.isWithinBody() ? BODY_SLICE_BYTES : SLICE_BYTES;
  }

  private add(bytes: Buffer | null): boolean {
    if (bytes === null) return this.push(null);
    this.rest = this.rest ? Buffer.concat([this.rest, bytes]) : bytes;
    this.passOn();
    return this.rest === undefined && !this.socket.isPaused();
  }

  private passOn(): void {
    const {socket} = this;
    while (this.rest !== undefined && this.mayPassOn) {
      const {rest, sliceBytes: size} = this;
      const slice = rest.subarray(0, size);
      this.rest = slice.length < rest.length ? rest.subarray(size) : undefined;
      this.parsed += slice.length;
      this.push(slice);
    }
    if (socket.destroyed) this.rest = undefined;
    const held = this.rest?.length ?? 0;
    if (held === this.held) return;
    this.held = held;
    this.onHeld(held);
  }

  private get mayPassOn(): boolean {
    const {socket} = this;
    const isTaken = socket.readableLength === 0;
    return isTaken && !socket.isPaused() && !socket.destroyed;
  }
}
