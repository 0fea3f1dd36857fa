import {Socket} from 'node:net';

/**
 * Returns whether the peer has reset a connection. Node reports a reset that
 * arrives together with the last bytes as an orderly end, but the connection has
 * no peer any more. It must not have been asked for its peer's address before.
 * @param socket - the connection at its end, not closed on this side
 */
export function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
