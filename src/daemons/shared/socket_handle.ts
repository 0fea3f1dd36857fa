import type {Socket} from 'node:net';

/** Node's handle of a connection, whose queue shows writes that were sent in part. */
interface Handle {
  /** Bytes of writes that were begun, without those that were sent. */
  readonly writeQueueSize?: number;
}

/**
 * Returns a number that changes whenever bytes leave the process for a connection,
 * also of a write that was sent in part, and is 0 once all have left.
 * @param socket - the connection
 */
export function pendingBytes(socket: Socket): number {
  return socket.writableLength + (handleOf(socket)?.writeQueueSize ?? 0);
}

function handleOf(socket: Socket): Handle | null | undefined {
  return (socket as {_handle?: Handle | null})._handle;
}
