/** Open requests from which on a connection is not read, even for its end. */
const MAX_OPEN_REQUESTS = 1_024;
/** Discarded requests from which on an ended connection is not read further. */
const MAX_DISCARDED_REQUESTS = 16;

/** How far the requests of a connection are. */
export interface ConnectionProgress {
  /** Whether the server's parser no longer reads the connection. */
  readonly isDetached: boolean;
  /** Whether the connection was ended, and what its caller sends is discarded. */
  readonly isLingering: boolean;
  /** Number of requests that came too late to be served. */
  readonly discardedRequests: number;
  /** Whether the latest request is being parsed. */
  readonly isParsing: boolean;
  /** Whether the body of the latest request is being read. */
  readonly isReadingBody: boolean;
  readonly openRequests: number;
  /** Whether the latest request was read completely. */
  readonly isLatestComplete: boolean;
}

/** What decides beside them whether a connection is read further. */
export interface ReadState {
  /** Whether all connections are suspended. */
  readonly isSuspended: boolean;
  /** Whether the connection waits for its turn, since its reads are costly. */
  readonly isThrottled: boolean;
  /** Whether bytes were read that the parser has not been passed. */
  readonly holdsInput: boolean;
  /** Whether the memory budget allows further reads. */
  readonly isWithinBudget: boolean;
}

/**
 * Decides whether a connection is read further. Backpressure keeps the requests
 * that it would parse in its caller's socket.
 * @param progress - how far its requests are
 * @param state - what decides beside them
 */
export function mayReadOn(
  progress: ConnectionProgress,
  state: ReadState,
): boolean {
  if (progress.isDetached) return true;
  if (state.isSuspended) return false;
  if (progress.isLingering)
    return progress.discardedRequests < MAX_DISCARDED_REQUESTS;
  if (state.isThrottled) return false;
  // The memory of a body is reserved before it is read.
  if (progress.isReadingBody) return true;
  if (progress.openRequests >= MAX_OPEN_REQUESTS) return false;
  // They are charged until their requests were served.
  if (state.holdsInput && progress.openRequests === 0) return true;
  // A caller with one whole request is read on: it may leave.
  const isSingle = progress.openRequests === 1 && progress.isLatestComplete;
  return state.isWithinBudget || isSingle;
}

/**
 * Returns whether a connection that closes has discarded so many requests that it
 * is not read further.
 * @param discardedRequests - their number
 */
export function hasDiscardedMost(discardedRequests: number): boolean {
  return discardedRequests >= MAX_DISCARDED_REQUESTS;
}
