import {once} from 'node:events';
import {STATUS_CODES, createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {CallerMemory} from '../../admission/index.js';
import type {CallerMemoryLimits} from '../../admission/index.js';
import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import type {CallerConnection} from './caller_connection.js';
import {CallerConnections} from './caller_connections.js';
import {declaredLength} from './request_body.js';

/** Memory of a control server's requests; a waiting one counts as some 12 KiB. */
const MEMORY_LIMITS: CallerMemoryLimits = {
  pauseAt: 4 * 2 ** 20,
  closeAt: 16 * 2 ** 20,
  ownPart: 64 * 2 ** 10,
  pipeliningFrom: 32 * 2 ** 10,
};

/** Time for receiving a whole request. */
const REQUEST_TIMEOUT: Millis = 10 * SECOND;
/** Length of a body up to which its connection is used further, bytes. */
const MAX_BODY_BYTES = 256 * 2 ** 10;

const BAD_REQUEST = 400;

/** What a control server depends on. */
export interface ControlParts {
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * HTTP server for others than callers: operators, the balancer, other processes. Each
 * request of a connection begins after the response before it was sent, and the rest
 * stays in the client's socket.
 */
export class ControlServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;

  /**
   * @param parts - clock and logger
   * @param handle - responds to a request
   */
  constructor(
    {clock, logger}: ControlParts,
    private readonly handle: (
      req: IncomingMessage,
      res: ServerResponse,
    ) => void,
  ) {
    // Responses that Node sends by itself are in no budget.
    this.server = createServer({requireHostHeader: false}, (req, res) =>
      this.accept(req, res),
    );
    this.server.on('checkExpectation', (req, res) => this.accept(req, res));
    this.server.requestTimeout = REQUEST_TIMEOUT;
    this.connections = new CallerConnections(
      this.server,
      {
        formatError,
        onUnreadable: ({reason, detail}) =>
          logger.info('refused', {port: this.port, reason, detail}),
        onCut: ({reason, unsentBytes}) =>
          logger.debug('response_cut', {
            port: this.port,
            reason,
            unsent_bytes: unsentBytes,
          }),
        onOverBudget: ({heldBytes, open}) =>
          logger.warn('caller_closed', {
            port: this.port,
            reason: 'over_budget',
            held_bytes: heldBytes,
            open: open.length,
          }),
        onThrottled: () => logger.info('caller_throttled', {port: this.port}),
      },
      clock,
      new CallerMemory<CallerConnection>(MEMORY_LIMITS),
      true,
    );
  }

  /**
   * Lets requests leave HTTP, as links do, through the server's `upgrade` event.
   * @returns the server
   */
  enableUpgrades(): Server {
    this.server.on('upgrade', ({socket}) => this.connections.release(socket));
    return this.server;
  }

  /** The bound port; undefined before. */
  get port(): number | undefined {
    return (this.server.address() as AddressInfo | null)?.port;
  }

  /**
   * Starts listening.
   * @param host - IP address to listen on
   * @param port - port; 0 picks a free one
   */
  async listen(host: string, port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    if (!this.connections.accept(req, res)) return;
    // The rest of such a body may have no end.
    const length = declaredLength(req) ?? Infinity;
    if (length > MAX_BODY_BYTES || lacksHost(req)) res.shouldKeepAlive = false;
    // Also with a body: a response before its turn would wait in memory.
    void this.connections.queuedTurnOf(req, res).then(isTurn => {
      if (!isTurn) return;
      if (lacksHost(req)) res.writeHead(BAD_REQUEST).end();
      else this.handle(req, res);
    });
  }

  /** Closes the server and all its connections at once. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    this.connections.destroyAll();
    await new Promise(resolve => this.server.close(resolve));
  }
}

/** Whether a request lacks the header that its version of HTTP requires. */
function lacksHost({httpVersion, headers}: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined;
}

/** Returns the response to a message that is not a readable request. */
function formatError({status, message}: Fault): string {
  const body = `${message}\n`;
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'content-type: text/plain',
    'connection: close',
    `content-length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}
