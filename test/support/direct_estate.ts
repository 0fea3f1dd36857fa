import {once} from 'node:events';
import {request} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import {PlatformEstate} from '../../platform/platform_estate.js';
import {
  Chance,
  availabilityZone,
  hostPort,
  vmName,
} from '../../src/core/index.js';
import {DirectEntry} from '../../src/daemons/direct/index.js';
import {Metrics, SystemClock, SILENT} from '../../src/observability/index.js';
import {KeyedLogServer} from '../../standins/keyed_log_server.js';

/** What a scripted upstream got. */
export interface ReceivedRequest {
  readonly head: string;
  readonly socket: Socket;
}

/** Answers one request by writing raw bytes. */
export type Script = (received: ReceivedRequest) => void;

/** An upstream whose every byte the test decides. */
export class ScriptedUpstream {
  readonly received: string[] = [];
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

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

  /** Starts to listen; returns `host:port`. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return hostPort('127.0.0.1', (this.server.address() as AddressInfo).port);
  }

  /** Connections that callers have not closed. */
  get openConnections(): number {
    return [...this.sockets].filter(socket => !socket.destroyed).length;
  }

  /** Stops at once. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

/**
 * Id that a received request asks its answer to repeat.
 * @param head - its head
 */
export const requestIdOf = (head: string) =>
  /request-id: (\S+)/i.exec(head)?.[1] ?? '';

/**
 * A whole sealed answer.
 * @param head - head of the request that it answers
 * @param body - its body
 * @param status - its status line's end
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

/** What a caller got. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer came to its end. */
  readonly isWhole: boolean;
  readonly ms: number;
}

/** Of a body without end a caller here keeps this much. */
const MAX_KEPT_BODY_LENGTH = 64 * 2 ** 10;

/** A port that was free a moment ago. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 65_536,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/**
 * A route in the platform's words.
 * @param prefix - its path prefix
 * @param kind - what may be repeated
 * @param change - what differs
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

/** One entry, the store's stand-in and scripted upstreams. */
export class DirectEstate {
  readonly store = new KeyedLogServer();
  readonly upstreams: ScriptedUpstream[] = [];
  private entry!: DirectEntry;
  private callerAddress = '';
  private readonly readinessAddresses: string[] = [];
  private requestCount = 0;

  /** Starts the store and the entry, which knows nothing yet. */
  async start(): Promise<void> {
    const url = await this.store.listen();
    const [front, ready, operators, relay] = [
      await freePort(),
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    this.callerAddress = hostPort('127.0.0.1', front);
    this.readinessAddresses.push(hostPort('127.0.0.1', ready));
    const clock = new SystemClock();
    this.entry = new DirectEntry(
      {
        vm: vmName('entry-1'),
        availabilityZone: availabilityZone('a'),
        ip: '127.0.0.1',
        callers: this.callerAddress,
        readiness: this.readinessAddresses[0],
        internalPorts: [relay, relay],
        operatorPort: operators,
        linkKey: 'k',
        upstream: undefined,
        retryBound: {ratio: 1, slack: 1_000, window: 10_000},
        newsBounds: {configurationApplies: 2_000, upstreamLeaves: 2_000},
        grace: 5_000,
      },
      {
        clock,
        chance: new Chance(1),
        logger: SILENT,
        metrics: new Metrics(),
        estate: new PlatformEstate(url.replace('http://', '')),
      },
    );
    await this.entry.start();
  }

  /**
   * Writes a configuration.
   * @param version - its version
   * @param routes - its routes, in the platform's words
   */
  configure(version: number, routes: readonly object[]): void {
    this.store.put('keyed.op', 'config', {
      Version: version,
      Routes: routes,
      Services: [{Name: 'app', MaxConnections: 8}],
      Limits: LIMITS,
      Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
    });
  }

  /**
   * Starts an upstream and registers it.
   * @param script - answers its requests
   */
  async addUpstream(script: Script): Promise<ScriptedUpstream> {
    const upstream = new ScriptedUpstream(script);
    const address = await upstream.listen();
    this.upstreams.push(upstream);
    const id = `i-${this.upstreams.length}`;
    this.store.put('keyed.servers', id, {
      Service: 'app',
      Address: address,
      Zone: 'a',
      Slots: 6,
      State: 'ready',
      Sequence: 1,
      born: 5,
    });
    return upstream;
  }

  /** Waits until the entry is ready. */
  async waitUntilReady(): Promise<void> {
    for (let i = 0; i < 200; i++) {
      const {status} = await this.send(
        this.readinessAddresses[0]!,
        '/api/readiness',
      );
      if (status === 200) return;
      await new Promise(resolve => setTimeout(resolve, 25));
    }
    throw new Error('the entry did not get ready');
  }

  /** Status of the readiness question. */
  async readinessStatus(): Promise<number> {
    return (await this.send(this.readinessAddresses[0]!, '/api/readiness'))
      .status;
  }

  /** Ends the entry as its platform would. */
  async drain(): Promise<void> {
    await this.entry.drain();
  }

  /**
   * Calls the entry.
   * @param path - the path
   * @param headers - headers besides the usual ones
   * @param method - the method
   */
  call(
    path: string,
    headers: Record<string, string> = {},
    method = 'POST',
  ): Promise<Answer> {
    this.requestCount += 1;
    return this.send(this.callerAddress, path, method, {
      Host: 'vans.example',
      'Request-Id': `r${this.requestCount}`,
      Authorization: 'Bearer k1',
      'Deadline-Ms': '1200',
      ...headers,
    });
  }

  /** Stops everything. */
  async close(): Promise<void> {
    await this.entry.stop();
    for (const upstream of this.upstreams) upstream.close();
    await this.store.close();
  }

  private send(
    address: string,
    path: string,
    method = 'GET',
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const [host, port] = address.split(':');
    const startedAt = performance.now();
    return new Promise((resolve, reject) => {
      const req = request({host, port, path, method, headers, agent: false});
      // Node counts a body without length as complete although it was reset.
      let isReset = false;
      let hasBegun = false;
      req.on('error', err => {
        isReset = true;
        // After the head it changes nothing: the answer resolves as cut off.
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
      req.end(method === 'POST' ? 'load' : undefined);
    });
  }
}
