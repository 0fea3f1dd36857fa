import type {IncomingMessage, ServerResponse} from 'node:http';

import {StandinServer, readText, sendJson} from './http_server.js';

/** Stands in for a plain service and counts the executions of each call. */
export class PlainService extends StandinServer {
  /** Number of executions by method, path and body. */
  readonly runs = new Map<string, number>();
  /** Delay of each response, ms; may be modified at any time. */
  delayMs = 0;

  /** @param name - service name in its responses */
  constructor(private readonly name: string) {
    super();
  }

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url === '/control/runs') {
      return sendJson(res, Object.fromEntries(this.runs));
    }
    if (req.url === '/control/delay') {
      this.delayMs = Number(await readText(req));
      return sendJson(res, {});
    }
    const body = await readText(req);
    const call = `${req.method} ${req.url} ${body}`;
    const run = (this.runs.get(call) ?? 0) + 1;
    this.runs.set(call, run);
    if (this.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
    }
    const {method, url: path} = req;
    sendJson(res, {service: this.name, method, path, body, run});
  }
}
