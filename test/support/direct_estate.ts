import {once} from 'node:events';
import {request} from 'node:http';
import type {ClientRequest} from 'node:http';
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import {PlatformEstate} from '../../platform/platform_estate.js';
import {
  Chance,
  availabilityZone,
  hostPort,
  vmName,
} from '../../src/core/index.js';
import {DirectEntry} from '../../src/daemons/direct/index.js';
import {
  Metrics,
  SystemClock,
  SILENT_LOGGER,
} from '../../src/observability/index.js';
import {KeyedLogServer} from '../../standins/keyed_log_server.js';
import {freePort} from './free_port.js';

/** A request as a scripted upstream received it. */
export interface ReceivedRequest {
  readonly head: string;
  readonly socket: Socket;
}

/** Answers one request with raw bytes. */
export type Script = (received: ReceivedRequest) => void;

/** Upstream that writes exactly the bytes of its script. */
export class ScriptedUpstream {
  readonly received: string[] = [];
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private address: AddressInfo | undefined;

  /** @param script - answers each request */
  constructor(public script: Script) {
    this.server = createServer(socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      let text = '';
      socket.on('data', chunk => {
        text += chunk.toString('latin1');
        const end = text.indexOf('\r\n\r\n');
        if (end === -1) return;
        const head = text.slice(0, end);
        const length = /content-length: (\d+)/i.exec(head)?.[1] ?? '0';
        if (text.length < end + 4 + Number(length)) return;
        text = text.slice(end + 4 + Number(length));
        this.received.push(head);
        this.script({head, socket});
      });
    });
  }

  /** Starts listening and returns `host:port`. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.address = this.server.address() as AddressInfo;
    return hostPort('127.0.0.1', this.address.port);
  }

  /** Ends like a crashed process: resets its connections, stops listening. */
  crash(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.server.close();
  }

  /** Listens again after a crash, at the same address. */
  async restart(): Promise<void> {
    this.server.listen(this.address?.port, '127.0.0.1');
    await once(this.server, 'listening');
  }

  /** Port that it listens on, or did last. */
  get port(): number {
    return this.address!.port;
  }

  /** Number of connections that were ever opened. */
  get connectionCount(): number {
    return this.sockets.size;
  }

  /** Number of connections that are still open. */
  get openConnections(): number {
    return [...this.sockets].filter(socket => !socket.destroyed).length;
  }

  /** Destroys all connections and stops listening. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/**
 * Returns the request id, which the answer has to echo.
 * @param head - head of the received request
 */
export const requestIdOf = (head: string) =>
  /request-id: (\S+)/i.exec(head)?.[1] ?? '';

/**
 * Returns a complete answer with a seal.
 * @param head - head of the request to answer
 * @param body - body of the answer
 * @param status - status code and reason phrase
 */
export function sealedAnswer(
  head: string,
  body: string,
  status = '200 OK',
): string {
  return (
    `HTTP/1.1 ${status}\r\nRequest-Id: ${requestIdOf(head)}\r\n` +
    `Response-Seal: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`
  );
}

/**
 * Returns an event of a stream.
 * @param id - its id
 */
export const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

/**
 * Returns a chunk of a body in chunked encoding.
 * @param text - content of the chunk
 */
export const chunk = (text: string) =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

/** What a caller saw of a response on a connection of its own. */
export interface RawAnswer {
  readonly text: string;
  /** Whether the connection was reset in place of closed in order. */
  readonly isReset: boolean;
}

/**
 * Sends raw bytes and returns what comes back until the connection ends.
 * @param address - `host:port`
 * @param bytes - the request, octets as Latin-1 text
 */
export function sendRaw(address: string, bytes: string): Promise<RawAnswer> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect(Number(port), host);
    let [text, isReset] = ['', false];
    socket.on('data', data => (text += data.toString('latin1')));
    socket.on('error', () => (isReset = true));
    onSocketReset(socket, () => (isReset = true));
    socket.on('close', () => resolve({text, isReset}));
    socket.write(bytes, 'latin1');
  });
}

/**
 * Registers a listener for a reset that Node reports as an orderly end, since it
 * arrived together with the last bytes: the connection has no peer any more.
 * @param req - a request on a connection of its own
 * @param listener - called before the response ends
 */
export function onReset(req: ClientRequest, listener: () => void): void {
  req.on('socket', socket => onSocketReset(socket, listener));
}

function onSocketReset(socket: Socket, listener: () => void): void {
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) listener();
  });
}

/** Waits for a time in ms. */
export const pause = (ms: number) =>
  new Promise(resolve => setTimeout(resolve, ms));

/** An answer as its caller received it. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer was received completely. */
  readonly isWhole: boolean;
  readonly ms: number;
}

/** Limit of the body text that a caller stores, for endless bodies. */
const MAX_KEPT_BODY_LENGTH = 64 * 2 ** 10;

/** Limits of the stand-in configuration, in the platform's format. */
const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 65_536,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/**
 * Returns a route in the platform's format.
 * @param prefix - path prefix
 * @param kind - retry class of its requests
 * @param change - fields that override the defaults
 */
export function wireRoute(
  prefix: string,
  kind: 'safe' | 'unsafe' | 'streaming',
  change: object = {},
): object {
  return {
    Name: prefix,
    Host: 'vans.example',
    PathPrefix: prefix,
    Kind: kind,
    TimeoutMs: 1_500,
    TargetLatencyMs: 200,
    Priority: 1,
    Service: 'app',
    MaxAttempts: kind === 'unsafe' ? 1 : 2,
    Anonymous: false,
    Resumable: kind === 'streaming',
    ...change,
  };
}

/** One route of each retry class. */
export const ROUTES = [
  wireRoute('/load/', 'unsafe'),
  wireRoute('/sheet/', 'safe'),
  wireRoute('/plan/', 'streaming'),
];

/** A running entry and its addresses. */
interface RunningEntry {
  readonly daemon: DirectEntry;
  readonly callers: string;
  readonly readiness: string;
  readonly operators: string;
}

/** Entries, a stand-in for the store, and scripted upstreams. */
export class DirectEstate {
  readonly store = new KeyedLogServer();
  readonly upstreams: ScriptedUpstream[] = [];
  private readonly entries: RunningEntry[] = [];
  private storeAddress = '';
  private requestCount = 0;

  /**
   * Starts the store and the entries, without a configuration.
   * @param entryCount - number of entries
   */
  async start(entryCount = 1): Promise<void> {
    const url = await this.store.listen();
    this.storeAddress = url.replace('http://', '');
    for (let i = 0; i < entryCount; i++) await this.addEntry();
  }

  /** Starts another entry. */
  async addEntry(): Promise<void> {
    const [front, ready, operators, relay] = [
      await freePort(),
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    const callers = hostPort('127.0.0.1', front);
    const readiness = hostPort('127.0.0.1', ready);
    const number = this.entries.length + 1;
    const daemon = new DirectEntry(
      {
        vm: vmName(`entry-${number}`),
        availabilityZone: availabilityZone('a'),
        ip: '127.0.0.1',
        callers,
        readiness,
        internalPorts: [relay, relay],
        operatorPort: operators,
        linkKey: 'k',
        upstream: undefined,
        // Not reached by any test, even in the first window of an entry.
        retryBound: {ratio: 1_000, slack: 1_000, window: 10_000},
        stalenessBounds: {configuration: 2_000, leavingUpstream: 2_000},
        grace: 5_000,
      },
      {
        clock: new SystemClock(),
        chance: new Chance(number),
        logger: SILENT_LOGGER,
        metrics: new Metrics(),
        estate: new PlatformEstate(this.storeAddress),
      },
    );
    await daemon.start();
    const port = hostPort('127.0.0.1', operators);
    this.entries.push({daemon, callers, readiness, operators: port});
  }

  /**
   * Stores a configuration.
   * @param version - version of the configuration
   * @param routes - routes in the platform's format
   * @param organisation - name of the callers' organisation
   * @param service - further fields of the service
   */
  configure(
    version: number,
    routes: readonly object[],
    organisation = 'depot',
    service: object = {},
  ): void {
    this.store.put('keyed.op', 'config', {
      Version: version,
      Routes: routes,
      Services: [{Name: 'app', MaxConnections: 8, ...service}],
      Limits: LIMITS,
      Tenants: [{Name: organisation, ApiKeys: ['k1']}],
    });
  }

  /**
   * Starts an upstream and registers it.
   * @param script - answers each request
   * @param change - fields that override its registration
   */
  async addUpstream(
    script: Script,
    change: object = {},
  ): Promise<ScriptedUpstream> {
    const upstream = new ScriptedUpstream(script);
    await upstream.listen();
    this.upstreams.push(upstream);
    this.register(this.upstreams.length, change);
    return upstream;
  }

  /**
   * Stores the registration of an upstream.
   * @param number - number of the upstream, from 1
   * @param change - fields that override the defaults
   */
  register(number: number, change: object = {}): void {
    const {port} = this.upstreams[number - 1]!;
    this.store.put('keyed.servers', `i-${number}`, {
      Service: 'app',
      Address: hostPort('127.0.0.1', port),
      Zone: 'a',
      Slots: 6,
      State: 'ready',
      Sequence: 1,
      born: 5,
      ...change,
    });
  }

  /** Waits until all entries are ready. */
  async waitUntilReady(): Promise<void> {
    for (let i = 0; i < 200; i++) {
      const statuses = await Promise.all(
        this.entries.map((_entry, index) => this.readinessStatus(index)),
      );
      if (statuses.every(status => status === 200)) return;
      await new Promise(resolve => setTimeout(resolve, 25));
    }
    throw new Error('the entries did not become ready');
  }

  /**
   * Returns the status code of the readiness endpoint.
   * @param entry - index of the entry
   */
  async readinessStatus(entry = 0): Promise<number> {
    const {readiness} = this.entries[entry]!;
    return (await this.send(readiness, '/api/readiness')).status;
  }

  /**
   * Sends a request to an entry's port for operators.
   * @param path - path and query
   * @param method - HTTP method
   * @param entry - index of the entry
   */
  operate(path: string, method = 'GET', entry = 0): Promise<Answer> {
    return this.send(this.entries[entry]!.operators, path, method);
  }

  /** Drains the first entry, as its platform does before it stops the process. */
  async drain(): Promise<void> {
    await this.entries[0]!.daemon.drain();
  }

  /**
   * Sends a request to an entry.
   * @param path - request path
   * @param headers - headers besides the defaults
   * @param method - HTTP method
   * @param entry - index of the entry
   */
  call(
    path: string,
    headers: Record<string, string> = {},
    method = 'POST',
    entry = 0,
  ): Promise<Answer> {
    this.requestCount += 1;
    return this.send(this.entries[entry]!.callers, path, method, {
      ...this.headersOf(this.requestCount),
      ...headers,
    });
  }

  /** Bytes of responses that the entries buffer. */
  get bufferedBytes(): number {
    const used = this.entries.map(({daemon}) => daemon.buffers.usedBytes);
    return used.reduce((sum, bytes) => sum + bytes, 0);
  }

  /** `host:port` of the store. */
  get addressOfStore(): string {
    return this.storeAddress;
  }

  /** Address of the first entry for callers. */
  get callersAddress(): string {
    return this.entries[0]!.callers;
  }

  /**
   * Sends a POST request to an address.
   * @param address - `host:port` of an entry
   * @param path - request path
   * @param headers - headers besides the defaults
   */
  callAt(
    address: string,
    path: string,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    this.requestCount += 1;
    const defaults = this.headersOf(this.requestCount);
    return this.send(address, path, 'POST', {...defaults, ...headers});
  }

  private headersOf(request: number): Record<string, string> {
    return {
      Host: 'vans.example',
      'Request-Id': `r${request}`,
      Authorization: 'Bearer k1',
      'Deadline-Ms': '1200',
    };
  }

  /**
   * Sends a request whose body follows its head after a time.
   * @param path - request path
   * @param delay - the time, ms
   */
  callSlowly(path: string, delay: number): Promise<Answer> {
    this.requestCount += 1;
    const headers = {
      ...this.headersOf(this.requestCount),
      'Deadline-Ms': '9000',
    };
    return this.send(this.entries[0]!.callers, path, 'POST', headers, delay);
  }

  /** Stops the entries, the upstreams and the store. */
  async close(): Promise<void> {
    for (const {daemon} of this.entries) await daemon.stop();
    for (const upstream of this.upstreams) upstream.close();
    await this.store.close();
  }

  private send(
    address: string,
    path: string,
    method = 'GET',
    headers: Record<string, string> = {},
    bodyDelay = 0,
  ): Promise<Answer> {
    const [host, port] = address.split(':');
    const startedAt = performance.now();
    return new Promise((resolve, reject) => {
      const req = request({host, port, path, method, headers, agent: false});
      // Node reports a body without length as complete even after a reset.
      let isReset = false;
      let hasBegun = false;
      onReset(req, () => (isReset = true));
      req.on('error', err => {
        isReset = true;
        // After the head the promise resolves with `isWhole` false instead.
        if (!hasBegun) reject(err);
      });
      req.on('response', res => {
        hasBegun = true;
        let body = '';
        res.on('data', chunk => {
          if (body.length < MAX_KEPT_BODY_LENGTH) body += String(chunk);
        });
        res.on('error', () => undefined);
        res.on('close', () =>
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body,
            isWhole: res.complete && !isReset,
            ms: performance.now() - startedAt,
          }),
        );
      });
      const body = method === 'POST' ? 'load' : undefined;
      if (bodyDelay === 0) {
        req.end(body);
        return;
      }
      req.flushHeaders();
      setTimeout(() => req.end(body), bodyDelay);
    });
  }
}
