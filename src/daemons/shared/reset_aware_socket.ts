import {Socket} from 'node:net';

const RESET = 'connection reset';

/**
 * Returns whether the peer has reset a connection. Node reports a reset that
 * arrives together with the last bytes as an orderly end, but the connection has
 * no peer any more. It must not have been asked for its peer's address before.
 * @param socket - the connection at its end, not closed on this side
 */
export function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Connection that ends with an error of its own kind if its peer resets it.
 * HTTP clients take an orderly end for that of a body without a length, and
 * undici the system's error for a reset as well.
 */
export class ResetAwareSocket extends Socket {
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !wasReset(this)) return super.push(chunk, encoding);
    this.destroy(new Error(RESET));
    return false;
  }

  override _destroy(
    cause: NodeJS.ErrnoException | null,
    callback: (err?: Error | null) => void,
  ): void {
    const isReset = cause?.code === 'ECONNRESET';
    super._destroy(isReset ? new Error(RESET, {cause}) : cause, callback);
  }
}
