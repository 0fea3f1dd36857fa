import type {ErrorName} from '../../errors/index.js';

/** What is known of a connection when a message on it proves unreadable. */
export interface ConnectionState {
  /** Whether an earlier message was unreadable. */
  readonly isClosing: boolean;
  /** Whether the message is a request whose body is being read. */
  readonly isReadingBody: boolean;
  /** Whether it is a request that got its response before its body was read. */
  readonly isAnswered: boolean;
  /** Number of responses that were not sent completely. */
  readonly openResponses: number;
}

/**
 * How an unreadable message ends its connection:
 *
 * - `respond`: with an error response at once;
 * - `respond_in_order`: with the message's own response, after those before it;
 * - `close_after_own`: after the response that it got before its body was read;
 * - `close_after_open`: without a response, after the open ones;
 * - `ignore`: it is closing already.
 */
export type UnreadableAction =
  | 'respond'
  | 'respond_in_order'
  | 'close_after_own'
  | 'close_after_open'
  | 'ignore';

/**
 * Decides how an unreadable message ends its connection. Nothing may be written
 * into a response that is under way.
 * @param state - the connection
 */
export function actionAfterUnreadable(
  state: ConnectionState,
): UnreadableAction {
  if (state.isClosing) return 'ignore';
  if (state.isReadingBody) return 'respond_in_order';
  if (state.isAnswered) return 'close_after_own';
  return state.openResponses > 0 ? 'close_after_open' : 'respond';
}

/**
 * Returns why a message is unreadable.
 * @param code - code of the server's error
 * @returns undefined if the connection itself has failed
 */
export function unreadableReason(
  code: string | undefined,
): ErrorName | undefined {
  if (code === 'HPE_HEADER_OVERFLOW') return 'headers_too_large';
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'request_timeout';
  return code?.startsWith('HPE_') === true ? 'bad_request' : undefined;
}
