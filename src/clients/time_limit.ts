import type {Millis} from '../core/index.js';

/**
 * Gives up a call after a time. Answers that have arrived by then are read
 * first: the timers of a process that was busy fall due before its sockets are
 * read, and its own delay would look like the silence of the other side.
 * @param limit - time for the call
 * @param call - makes the call; aborted by its signal
 * @returns what the call gives
 */
export async function withTimeout<T>(
  limit: Millis,
  call: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  const abort = () =>
    controller.abort(new Error(`no answer within ${Math.round(limit)} ms`));
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
