import {WebSocket} from 'ws';

import {Link, MAX_FRAME_BYTES} from './link.js';
import type {LinkContext, LinkListener} from './link.js';

const HANDSHAKE_TIMEOUT_MS = 3_000;

/**
 * Opens a link to a process.
 * @param address - address of its link server, `host:port`
 * @param context - settings shared by all links of this process
 * @param listener - receives the events of the link
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
    // A data listener added before `open` would consume the first bytes.
    socket.once('open', () => link.limitHandshake(tcp));
  });
  return link;
}
