import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Logger} from '../../observability/index.js';

/** Interval between two attempts to bind a port. */
const RETRY_INTERVAL: Millis = SECOND / 5;
const PORT_TAKEN = 'EADDRINUSE';
/** Errors of a machine that passes: its address or its resources are not there yet. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set([
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Binds a port, and waits while another socket holds it: the process before this
 * one may still be draining, or the system may have given the port to an outgoing
 * connection. It also waits while the machine lacks the address or descriptors.
 * It waits without a limit, as ending the process would help with none of them.
 * @param address - `host:port`, for the log
 * @param logger - logs the wait
 * @param bind - starts to listen
 * @throws errors of `bind` that do not pass
 */
export async function bindWhenFree(
  address: string,
  logger: Logger,
  bind: () => Promise<unknown>,
): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    try {
      await bind();
      if (attempt > 1) logger.info('port_bound', {address, attempt});
      return;
    } catch (thrown) {
      const {code} = thrown as NodeJS.ErrnoException;
      const isTaken = code === PORT_TAKEN;
      if (!isTaken && !PASSING_ERRORS.has(code)) throw thrown;
      if (attempt === 1) {
        logger.warn(isTaken ? 'port_taken' : 'port_not_bound', {address, code});
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL));
    }
  }
}
