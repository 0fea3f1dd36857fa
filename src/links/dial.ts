import {WebSocket} from 'ws';

import {Link, MAX_FRAME_BYTES} from './link.js';
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
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
    handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
  });
  const link = new Link(socket, 'dial', context, listener);
  socket.once('upgrade', ({socket: tcp}) => {
    // Listening before the connection is open would take its first bytes away.
    socket.once('open', () => link.limitHandshake(tcp));
  });
  return link;
}
