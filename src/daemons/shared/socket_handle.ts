import type {Socket} from 'node:net';

import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/**
 * Bytes that are discarded before a pause, and its length: 10 MB a second. Each read
 * leaves a buffer to the garbage collector, which many fast senders get ahead of.
 */
const DISCARDED_AT_ONCE = 256 * 2 ** 10;
const DISCARD_PAUSE: Millis = SECOND / 40;

/** Node's handle of a connection, for states that no event or property tells. */
interface Handle {
  /** Bytes of writes that were begun, without those that were sent. */
  readonly writeQueueSize?: number;
  getpeername?(out: object): number;
  reading?: boolean;
  readStart?(): number;
  readStop?(): number;
}

/**
 * Returns a number that changes whenever bytes leave the process for a connection,
 * also of a write that was sent in part, and is 0 once all have left.
 * @param socket - the connection
 */
export function pendingBytes(socket: Socket): number {
  return socket.writableLength + (handleOf(socket)?.writeQueueSize ?? 0);
}

/**
 * Returns whether the peer has reset a connection. While a connection is neither
 * read nor written to, no event tells it.
 * @param socket - the connection
 */
export function isResetByPeer(socket: Socket): boolean {
  const code = handleOf(socket)?.getpeername?.({});
  return code !== undefined && code !== 0;
}

/**
 * Stops reading a connection at once. A paused stream reads once more by itself.
 * @param socket - the connection
 */
export function stopReading(socket: Socket): void {
  const handle = handleOf(socket);
  if (handle?.reading !== true || socket.destroyed) return;
  handle.reading = false;
  handle.readStop?.();
}

/**
 * Reads a connection again that was stopped.
 * @param socket - the connection
 */
export function startReading(socket: Socket): void {
  const handle = handleOf(socket);
  if (handle?.reading !== false || socket.destroyed) return;
  handle.reading = true;
  handle.readStart?.();
}

/**
 * Discards what a connection still receives, without parsing it: a chunk of one byte
 * costs the parser some thirty times as much as its discarded bytes.
 * @param socket - the connection
 */
export function discardInput(socket: Socket): void {
  let discarded = 0;
  socket.removeAllListeners('data');
  socket.on('data', ({length}: Buffer) => {
    discarded += length;
    if (discarded < DISCARDED_AT_ONCE) return;
    discarded = 0;
    socket.pause();
    setTimeout(() => socket.resume(), DISCARD_PAUSE).unref();
  });
}

function handleOf(socket: Socket): Handle | null | undefined {
  return (socket as {_handle?: Handle | null})._handle;
}
