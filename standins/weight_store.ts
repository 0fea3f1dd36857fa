import type {IncomingMessage, ServerResponse} from 'node:http';

import {StandinServer, sendJson} from './http_server.js';

/** Stands in for the platform's rate-limited weight store. */
export class WeightStore extends StandinServer {
  /** Total bytes served. */
  servedBytes = 0;
  /** Whether connections are closed without a response; may be modified. */
  down = false;
  /** Number of next requests to reject with 429, as over the rate limit. */
  pendingRejections = 0;

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.down) {
      res.destroy();
      return;
    }
    if (this.pendingRejections > 0) {
      this.pendingRejections -= 1;
      res.setHeader('retry-after', '0.05');
      return sendJson(res, {}, 429);
    }
    const range = /^bytes=(\d+)-(\d+)$/.exec(req.headers.range ?? '');
    if (range === null) return sendJson(res, {}, 416);
    const length = Number(range[2]) - Number(range[1]) + 1;
    this.servedBytes += length;
    res.statusCode = 206;
    res.end(Buffer.alloc(length));
  }
}
