import {once} from 'node:events';
import type {AddressInfo} from 'node:net';

import {WebSocketServer} from 'ws';

import {SECOND, hostPort} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {Link, MAX_FRAME} from './link.js';
import type {LinkContext, LinkListener} from './link.js';

/** How long peers have to take what was sent before their link closes. */
const CLOSE_WITHIN: Millis = 2 * SECOND;

/** Accepted connections that have not proved yet that they have the key. */
export const MAX_UNPROVED = 256;

/** Where a listener listens. */
export interface Listening {
  /** `host:port`, with the port that was picked. */
  readonly address: string;
  /** Stops listening; connections that do not close in time are cut. */
  close(): Promise<void>;
}

/**
 * Accepts links.
 * @param host - IP address to listen on
 * @param port - port; 0 picks a free one
 * @param context - what every link needs; read when a connection comes
 * @param listener - who hears of the links
 */
export async function acceptLinks(
  host: string,
  port: number,
  context: () => LinkContext,
  listener: LinkListener,
): Promise<Listening> {
  const server = new WebSocketServer({
    host,
    port,
    maxPayload: MAX_FRAME,
    perMessageDeflate: false,
  });
  const unproved = new Set<Link>();
  const watched: LinkListener = {
    message: (link, message) => listener.message(link, message),
    open: (link, peer) => {
      unproved.delete(link);
      listener.open(link, peer);
    },
    closed: (link, reason) => {
      unproved.delete(link);
      listener.closed(link, reason);
    },
  };
  server.on('connection', (socket, req) => {
    if (unproved.size >= MAX_UNPROVED) {
      context().metrics.closedLinks.inc({reason: 'overloaded'});
      socket.terminate();
      return;
    }
    const link = new Link(socket, 'accept', context(), watched);
    unproved.add(link);
    link.guard(req.socket);
  });
  await once(server, 'listening');
  const {port: picked} = server.address() as AddressInfo;
  return {
    address: hostPort(host, picked),
    close: () =>
      new Promise(resolve => {
        const timer = setTimeout(() => {
          for (const client of server.clients) client.terminate();
        }, CLOSE_WITHIN);
        server.close(() => {
          clearTimeout(timer);
          resolve();
        });
      }),
  };
}
