import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Base of the stand-ins: a small HTTP server on loopback. */
export abstract class StandinServer {
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /**
   * Starts to listen.
   * @param port - port; 0 picks a free one
   * @returns `http://host:port`
   */
  async listen(port = 0): Promise<string> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    const {port: picked} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${picked}`;
  }

  /** Stops at once. */
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
 * Reads a whole body.
 * @param req - the request
 */
export async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Answers with JSON.
 * @param res - the response
 * @param body - any JSON value
 * @param status - HTTP status
 */
export function sendJson(res: ServerResponse, body: unknown, status = 200) {
  res.statusCode = status;
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(body));
}
