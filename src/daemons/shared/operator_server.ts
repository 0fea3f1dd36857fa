import type {IncomingMessage, ServerResponse} from 'node:http';

import {hostPort} from '../../core/index.js';
import type {Metrics} from '../../observability/index.js';
import {ControlServer} from './control_server.js';
import type {ControlParts} from './control_server.js';

/** Sources of the operator endpoints' responses. */
export interface OperatorHandlers extends ControlParts {
  readonly metrics: Metrics;
  /** Returns why the platform's balancer must not send requests here, if so. */
  notReadyReason(): string | undefined;
  /** Returns the JSON object for `/status`. */
  status(): object;
  /** Readiness path of the platform's balancer, if it isn't `/readyz`. */
  readonly readinessPath?: string;
  /** Actions by path, which a POST with their arguments in the query starts. */
  readonly actions?: Readonly<Record<string, OperatorAction>>;
}

/** Action of an operator; returns whether its arguments are valid. */
export type OperatorAction = (query: URLSearchParams) => boolean;

async function respond(
  handlers: OperatorHandlers,
  {method, url = ''}: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const [path = '', query = ''] = url.split('?', 2);
  const action = handlers.actions?.[path];
  if (action !== undefined) {
    const isValid = method === 'POST' && action(new URLSearchParams(query));
    res.statusCode = isValid ? 202 : 400;
    res.end(isValid ? 'accepted\n' : 'a POST with valid arguments is needed\n');
    return;
  }
  switch (path === handlers.readinessPath ? '/readyz' : path) {
    case '/healthz':
      res.setHeader('content-type', 'text/plain');
      res.end('ok\n');
      return;
    case '/readyz': {
      const reason = handlers.notReadyReason();
      res.statusCode = reason === undefined ? 200 : 503;
      res.end(`${reason ?? 'ready'}\n`);
      return;
    }
    case '/metrics':
      res.setHeader('content-type', handlers.metrics.registry.contentType);
      res.end(await handlers.metrics.registry.metrics());
      return;
    case '/status':
      res.setHeader('content-type', 'application/json');
      res.end(`${JSON.stringify(handlers.status(), undefined, 2)}\n`);
      return;
    default:
      res.statusCode = 404;
      res.end('not found\n');
  }
}

/** Serves `/healthz`, `/readyz`, `/metrics`, `/status` and actions. */
export class OperatorServer {
  private readonly server: ControlServer;

  /** @param handlers - sources of the responses */
  constructor(handlers: OperatorHandlers) {
    this.server = new ControlServer(
      handlers,
      (req, res) => void respond(handlers, req, res).catch(() => res.destroy()),
    );
  }

  /**
   * Starts listening.
   * @param host - IP address to listen on
   * @param port - port; 0 picks a free one
   * @returns `host:port`
   */
  async listen(host: string, port: number): Promise<string> {
    await this.server.listen(host, port);
    return hostPort(host, this.server.port ?? port);
  }

  /** Closes the server and all its connections at once. */
  async close(): Promise<void> {
    await this.server.close();
  }
}
