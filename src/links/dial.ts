import {WebSocket} from 'ws';

import {Link, MAX_FRAME} from './link.js';
import type {LinkContext, LinkListener} from './link.js';

const HANDSHAKE_TIMEOUT_MS = 3_000;

/**
 * Opens a link to a process.
 * @param address - its link listener, `host:port`
 * @param context - what every link needs
 * @param listener - who hears of the link
 */
export function dial(
  address: string,
  context: LinkContext,
  listener: LinkListener,
): Link {
  const socket = new WebSocket(`ws://${address}`, {
    maxPayload: MAX_FRAME,
    perMessageDeflate: false,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  });
  return new Link(socket, 'dial', context, listener);
}
