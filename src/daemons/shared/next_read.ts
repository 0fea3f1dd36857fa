import {setImmediate} from 'node:timers/promises';

/**
 * Waits until the event loop has polled all connections once more. The bytes of a
 * connection and its end are read in two passes, however long both have waited.
 */
export async function nextRead(): Promise<void> {
  // Of two passes, at least one polls after this call.
  await setImmediate();
  await setImmediate();
}
