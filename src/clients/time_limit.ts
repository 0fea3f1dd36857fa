import type {Millis} from '../core/index.js';

/** A call that received no response within its timeout. */
export class CallTimeout extends Error {}

/**
 * Aborts a call after a timeout. Answers that have arrived by then are read
 * first: after a busy phase, Node.js runs timers before it reads sockets, and
 * the local delay would look like an unresponsive peer.
 * @param limit - timeout of the call, ms
 * @param call - makes the call; is aborted through the signal
 * @returns the result of the call
 * @throws CallTimeout if the timeout has passed
 */
export async function withTimeout<T>(
  limit: Millis,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = () =>
    controller.abort(
      new CallTimeout(`no answer within ${Math.round(limit)} ms`),
    );
  let reading: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    reading = setImmediate(abort);
  }, limit);
  try {
    return await call(controller.signal);
  } finally {
    clearTimeout(timer);
    clearImmediate(reading);
  }
}
