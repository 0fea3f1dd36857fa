import type {ServerResponse} from 'node:http';

/** Responses without a length: the end of their connection delimits them. */
const delimitedByClose = new WeakSet<ServerResponse>();

/**
 * Marks a response as delimited by the end of its connection.
 * @param res - the response
 */
export function markDelimitedByClose(res: ServerResponse): void {
  delimitedByClose.add(res);
}

/**
 * Aborts an incomplete response so that it never looks complete: only a reset
 * distinguishes the abort from a regular end if the connection delimits it.
 * @param res - the response
 */
export function abortResponse(res: ServerResponse): void {
  const hasBegun = res.headersSent && !res.writableFinished;
  if (hasBegun && delimitedByClose.has(res)) res.socket?.resetAndDestroy();
  res.destroy();
}
