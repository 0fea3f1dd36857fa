import {Agent, request} from 'node:http';
import type {
  AgentOptions,
  ClientRequest,
  ClientRequestArgs,
  OutgoingHttpHeaders,
} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {HeaderLines, Route} from '../../direct/index.js';

/**
 * Maximum idle time of a reused connection. Upstreams close idle connections
 * after some seconds, and a request that crosses the close is lost.
 */
const MAX_IDLE_TIME: Millis = 1.5 * SECOND;
/** Maximum number of idle connections per upstream. */
const MAX_IDLE_CONNECTIONS = 4;
/** Interval of TCP keep-alive probes on a connection in use. */
const KEEP_ALIVE_PROBE_INTERVAL: Millis = SECOND;

/** Request on a connection of the pool. */
export interface PooledRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** All header lines. */
  readonly headers: HeaderLines;
  /** Maximum size of the response's head. */
  readonly maxHeaderSize: number;
  /** Connection from `open`; undefined to reuse an idle one. */
  readonly connection: Socket | undefined;
}

/**
 * Connection pool for upstreams. The connection that was idle longest is reused
 * first, so that a late second response mostly arrives while its connection is
 * idle; an idle connection that receives data is closed.
 */
export class UpstreamConnections extends Agent {
  private readonly idleSince = new WeakMap<Duplex, Millis>();
  private readonly dataListeners = new WeakMap<Duplex, () => void>();
  private readonly keepsAlive: boolean;

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
    this.keepsAlive = options.keepAlive ?? true;
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

  /**
   * Returns whether a request would reuse an idle connection.
   * @param host - the upstream's host
   * @param port - its port
   */
  hasIdle(host: string, port: number): boolean {
    const idle = this.freeSockets[this.getName({host, port})];
    return idle?.some(socket => !socket.destroyed) === true;
  }

  /**
   * Opens a connection that a request takes once it is connected. A request that
   * Node connects has its head from before: its time left would not shrink.
   * @param host - the upstream's host
   * @param port - its port
   */
  open(host: string, port: number): Socket {
    return connect({
      ...{host, port, noDelay: true},
      keepAlive: this.keepsAlive,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_INTERVAL,
    });
  }

  /**
   * Begins a request, whose body follows.
   * @param options - the request
   */
  request({headers, ...options}: PooledRequest): ClientRequest {
    return request({
      ...options,
      // Flat lists keep order and duplicates; the type does not cover them.
      headers: headers.flat() as unknown as OutgoingHttpHeaders,
      setHost: false,
      agent: this,
    });
  }

  override createConnection(
    options: ClientRequestArgs & {connection?: Socket | undefined},
    callback?: (err: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    return options.connection ?? super.createConnection(options, callback);
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

/** Connection pools of an entry. */
export class ConnectionPools {
  private readonly reusable: UpstreamConnections;
  private readonly singleUse: UpstreamConnections;

  /** @param clock - measures idle times */
  constructor(clock: Clock) {
    this.reusable = new UpstreamConnections(clock);
    this.singleUse = new UpstreamConnections(clock, {keepAlive: false});
  }

  /**
   * Returns the pool for requests of a route.
   * @param route - the route
   */
  for({repeat}: Route): UpstreamConnections {
    // A request that crosses the close of a reused connection is lost, and must
    // not be retried if it runs at most once.
    return repeat === 'at_most_once' ? this.singleUse : this.reusable;
  }
}
