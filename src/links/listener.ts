import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {WebSocketServer} from 'ws';

import {SECOND, hostPort} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {Link, MAX_FRAME_BYTES} from './link.js';
import type {LinkContext, LinkListener} from './link.js';

/** Time that peers have to close their links before these are cut. */
const CLOSE_TIMEOUT: Millis = 2 * SECOND;

/** Most accepted connections that are not authenticated yet. */
export const MAX_UNAUTHENTICATED_LINKS = 256;

const UPGRADE_REQUIRED = 426;

/** Server that accepts links. */
export interface LinkServer {
  /** `host:port`, with the port that was bound. */
  readonly address: string;
  /** Stops listening; terminates connections that do not close in time. */
  close(): Promise<void>;
}

/**
 * Starts a server that accepts links.
 * @param host - IP address to listen on
 * @param port - port; 0 picks a free one
 * @param context - returns the shared settings; called for each connection
 * @param listener - receives the events of the links
 * @param http - HTTP server whose connections become links; it responds to requests
 * for anything else with `rejectRequest`
 */
export async function acceptLinks(
  host: string,
  port: number,
  context: () => LinkContext,
  listener: LinkListener,
  http: Server = createServer(rejectRequest),
): Promise<LinkServer> {
  const server = new WebSocketServer({
    server: http,
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
  });
  const unauthenticated = new Set<Link>();
  const trackingListener: LinkListener = {
    message: (link, message) => listener.message(link, message),
    open: (link, peer) => {
      unauthenticated.delete(link);
      listener.open(link, peer);
    },
    closed: (link, reason) => {
      unauthenticated.delete(link);
      listener.closed(link, reason);
    },
  };
  server.on('connection', (socket, req) => {
    if (unauthenticated.size >= MAX_UNAUTHENTICATED_LINKS) {
      context().metrics.closedLinks.inc({reason: 'overloaded'});
      socket.terminate();
      return;
    }
    const link = new Link(socket, 'accept', context(), trackingListener);
    unauthenticated.add(link);
    link.limitHandshake(req.socket);
  });
  http.listen(port, host);
  // It also emits the errors of the HTTP server.
  await once(server, 'listening');
  const {port: boundPort} = server.address() as AddressInfo;
  return {
    address: hostPort(host, boundPort),
    close: () =>
      new Promise(resolve => {
        const timer = setTimeout(() => {
          for (const client of server.clients) client.terminate();
          http.closeAllConnections();
        }, CLOSE_TIMEOUT);
        server.close();
        http.close(() => {
          clearTimeout(timer);
          resolve();
        });
      }),
  };
}

/**
 * Rejects a request that opens no link; what follows it is not read.
 * @param _req - the request
 * @param res - its response
 */
export function rejectRequest(
  _req: IncomingMessage,
  res: ServerResponse,
): void {
  const headers = {connection: 'close', 'content-length': 0};
  res.writeHead(UPGRADE_REQUIRED, headers).end();
}
