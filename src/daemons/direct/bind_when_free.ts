import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Logger} from '../../observability/index.js';

/** Interval between two attempts to bind a port. */
const RETRY_INTERVAL: Millis = SECOND / 5;
const PORT_TAKEN = 'EADDRINUSE';

/**
 * Binds a port, and waits while another socket holds it: the process before this
 * one may still be draining, or the system may have given the port to an outgoing
 * connection. It waits without a limit, as ending the process would not free it.
 * @param address - `host:port`, for the log
 * @param logger - logs the wait
 * @param bind - starts to listen
 * @throws errors of `bind` other than that the port is taken
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
      if ((thrown as NodeJS.ErrnoException).code !== PORT_TAKEN) throw thrown;
      if (attempt === 1) logger.warn('port_taken', {address});
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL));
    }
  }
}
