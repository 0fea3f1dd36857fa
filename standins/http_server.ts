import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Base class of the stand-ins: a small HTTP server on loopback. */
export abstract class StandinServer {
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /**
   * Starts listening.
   * @param port - TCP port; 0 selects a free one
   * @returns `http://host:port`
   */
  async listen(port = 0): Promise<string> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    const {port: picked} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${picked}`;
  }

  /** Closes all connections and stops the server. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  protected abstract handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void>;
}

/**
 * Reads the whole body of a request as UTF-8.
 * @param req - request to read
 */
export async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Sends a JSON response.
 * @param res - response to write
 * @param body - any JSON value
 * @param status - HTTP status
 */
export function sendJson(res: ServerResponse, body: unknown, status = 200) {
  res.statusCode = status;
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(body));
}
