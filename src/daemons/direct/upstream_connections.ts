import {Agent} from 'node:http';
import type {AgentOptions, ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/**
 * Maximum idle time of a reused connection. Upstreams close idle connections
 * after some seconds, and a request that crosses the close is lost.
 */
const MAX_IDLE_TIME: Millis = 1.5 * SECOND;
/** Maximum number of idle connections per upstream. */
const MAX_IDLE_CONNECTIONS = 4;
/** Interval of TCP keep-alive probes on a connection in use. */
const KEEP_ALIVE_PROBE_INTERVAL: Millis = SECOND;

/**
 * Connection pool for upstreams. The connection that was idle longest is reused
 * first, so that a late second response mostly arrives while its connection is
 * idle; an idle connection that receives data is closed.
 */
export class UpstreamConnections extends Agent {
  private readonly idleSince = new WeakMap<Duplex, Millis>();
  private readonly dataListeners = new WeakMap<Duplex, () => void>();

  /**
   * @param clock - measures idle times
   * @param options - further agent options
   */
  constructor(
    private readonly clock: Clock,
    options: AgentOptions = {},
  ) {
    super({
      keepAlive: true,
      keepAliveMsecs: KEEP_ALIVE_PROBE_INTERVAL,
      scheduling: 'fifo',
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      ...options,
    });
  }

  /**
   * Closes connections to an upstream that exceed the maximum idle time.
   * @param host - its host
   * @param port - its port
   */
  prune(host: string, port: number): void {
    const idle = this.freeSockets[this.getName({host, port})];
    for (const socket of [...(idle ?? [])]) {
      const since = this.idleSince.get(socket) ?? 0;
      if (this.clock.now() - since > MAX_IDLE_TIME) socket.destroy();
    }
  }

  override keepSocketAlive(socket: Duplex): boolean {
    // Returns whether the connection may be reused, although typed as void.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (!isKept) return false;
    this.idleSince.set(socket, this.clock.now());
    const drop = () => socket.destroy();
    this.dataListeners.set(socket, drop);
    socket.on('data', drop);
    return true;
  }

  override reuseSocket(socket: Duplex, req: ClientRequest): void {
    const drop = this.dataListeners.get(socket);
    if (drop !== undefined) socket.off('data', drop);
    super.reuseSocket(socket, req);
  }
}
