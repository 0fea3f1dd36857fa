import {connect} from 'node:net';

import type {Millis} from '../../core/index.js';
import {splitAddress} from './attempt.js';

/**
 * Returns whether a process accepts connections at an address. A connection
 * that is neither accepted nor refused in time does not count as accepted.
 * @param address - `host:port`
 * @param timeout - time to connect
 */
export function acceptsConnections(
  address: string,
  timeout: Millis,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address));
    const finish = (isAccepted: boolean) => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.setTimeout(timeout, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}
