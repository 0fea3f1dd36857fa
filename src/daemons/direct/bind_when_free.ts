import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Logger} from '../../observability/index.js';

/** Interval between two attempts to bind a port. */
const RETRY_INTERVAL: Millis = SECOND / 5;
/** Attempts between two lines about a port that is still not bound, some 10 s. */
const LOGGED_ATTEMPTS = 50;
const PORT_TAKEN = 'EADDRINUSE';
/** Errors of a machine that passes: its address or its resources are not there yet. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set([
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** An attempt to bind a port that has failed. */
export interface FailedBind {
  /** Number of attempts so far. */
  readonly attempt: number;
  readonly code: string | undefined;
  /** Error code of the attempt before it. */
  readonly codeBefore: string | undefined;
}

/**
 * Returns whether a failed attempt is logged: the first, those with another error
 * than the one before, and one of each `LOGGED_ATTEMPTS`.
 * @param failed - the attempt
 */
export function isFailedBindLogged(failed: FailedBind): boolean {
  const {attempt, code, codeBefore} = failed;
  return code !== codeBefore || attempt % LOGGED_ATTEMPTS === 0;
}

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
  let codeBefore: string | undefined;
  for (let attempt = 1; ; attempt++) {
    try {
      await bind();
      if (attempt > 1) logger.info('port_bound', {address, attempt});
      return;
    } catch (thrown) {
      const {code} = thrown as NodeJS.ErrnoException;
      const isTaken = code === PORT_TAKEN;
      if (!isTaken && !PASSING_ERRORS.has(code)) throw thrown;
      if (isFailedBindLogged({attempt, code, codeBefore})) {
        const event = isTaken ? 'port_taken' : 'port_not_bound';
        logger.warn(event, {address, code, attempt});
      }
      codeBefore = code;
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL));
    }
  }
}
