// Starts the processes of a case on loopback and records what they do.
import {spawn} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join, dirname} from 'node:path';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {StoreStandin} from './store.mjs';

export const HOST = '127.0.0.1';
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const RUN_LIMIT_MS = 115_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Returns a port that was free when it was checked. */
export function freePort() {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, HOST, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Returns the `run` line of a role of the deploy file, as program and arguments. */
function runOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text
    .split(/^\[/m)
    .find(part => part.startsWith(`roles.${role}]`));
  const run = /^run = "(.*)"$/m.exec(section ?? '')?.[1];
  if (run === undefined) throw new Error(`no run line of ${role}`);
  return run.split(' ');
}

/** Bounds of the small deployment of the pages. */
const BOUNDS = {
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 88,
  graceS: 8,
  configurationAppliesMs: 2_000,
  upstreamLeavesMs: 2_000,
};

export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 1_048_576,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

export const KEY = 'key-of-depot-1';
export const TENANT = 'depot';
export const VHOST = 'vans.example';

/** Returns a route as the operator writes it. */
export function route(prefix, kind, change = {}) {
  return {
    Name: prefix.replaceAll('/', ''),
    Host: VHOST,
    PathPrefix: prefix,
    Kind: kind,
    TimeoutMs: 8_000,
    TargetLatencyMs: 400,
    Priority: 1,
    Service: 'app',
    MaxAttempts: kind === 'unsafe' ? 1 : 2,
    Anonymous: false,
    Resumable: false,
    ...change,
  };
}

/** One run of a case. */
export class Case {
  /** @param folder - folder of the case, for `record.txt` */
  constructor(folder) {
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.children = [];
    this.closers = [];
    this.replicas = [];
    this.startedAt = Date.now();
    this.hasTrouble = process.env.TROUBLE !== '0';
    this.watchdog = setTimeout(() => {
      this.record('the run took too long');
      this.exit(2);
    }, RUN_LIMIT_MS);
    for (const signal of ['SIGTERM', 'SIGINT'])
      process.on(signal, () => this.exit(2));
    this.record(`trouble: ${this.hasTrouble}`);
  }

  /** Writes a line to the record. */
  record(line) {
    const at = ((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${at} ${line}\n`);
  }

  /** Starts the platform's store. */
  async startStore() {
    this.store = new StoreStandin();
    await this.store.listen();
    this.closers.push(() => this.store.close());
    this.record(`store at ${this.store.address}`);
    return this.store;
  }

  /** Writes the configuration, as the operator does. */
  configure(routes, {version = 3, services, limits = {}} = {}) {
    const names = [...new Set(routes.map(one => one.Service))];
    this.store.put('keyed.op', 'config', {
      Version: version,
      Routes: routes,
      Services:
        services ?? names.map(Name => ({Name, Slots: 6, MaxConnections: 96})),
      Limits: {...LIMITS, ...limits},
      Tenants: [{Name: TENANT, ApiKeys: [KEY]}],
    });
    this.record(`configuration ${version} acknowledged`);
  }

  /** Starts an entry with the command of the deploy file. */
  async startEntry(name = 'front-a-1', zone = 'a', change = {}) {
    const ports = {
      callers: await freePort(),
      readiness: await freePort(),
      internal: await freePort(),
      operators: await freePort(),
    };
    const entry = this.start('entry', name, zone, ports, {
      callers: `${HOST}:${ports.callers}`,
      readiness: `${HOST}:${ports.readiness}`,
      ...change,
    });
    this.record(`${name} started, callers at ${HOST}:${ports.callers}`);
    return entry;
  }

  /** Starts the sidecar of a replica, where replicas check no fencing tokens. */
  async startSidecar(name, zone, upstream, upstreamService) {
    const ports = {internal: await freePort(), operators: await freePort()};
    const sidecar = this.start('sidecar', name, zone, ports, {
      upstream,
      upstreamService,
    });
    this.record(`${name} started beside ${upstream}`);
    return sidecar;
  }

  start(role, name, zone, ports, change) {
    const settings = {
      vm: name,
      availabilityZone: zone,
      ip: HOST,
      internalPorts: [ports.internal, ports.internal],
      operatorPort: ports.operators,
      store: this.store.address,
      ...BOUNDS,
      ...change,
    };
    const boot = join(this.folder, `${name}.json`);
    writeFileSync(boot, JSON.stringify(settings));
    const one = {role, name, ports, boot, ends: 0, log: ''};
    this.spawn(one);
    return one;
  }

  /** Starts a process, again after it has ended. */
  spawn(one) {
    const [program, ...args] = runOf(one.role);
    const isSidecar = one.role === 'sidecar';
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        BAOBABSPAN_BOOT: one.boot,
        BAOBABSPAN_MEMORY_MB: isSidecar ? '218' : '350',
        ...(isSidecar ? {BAOBABSPAN_CHECKS_TOKENS: 'false'} : {}),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    one.child = child;
    one.hasEnded = false;
    const keep = chunk => {
      one.log = (one.log + chunk.toString()).slice(-2_000_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      one.hasEnded = true;
      one.ends += 1;
      this.record(`${one.name} ended: code ${code}, signal ${signal}`);
    });
    this.children.push(child);
  }

  /** Waits until an entry reports itself ready. */
  async untilReady(entry, limit = 15_000) {
    const end = Date.now() + limit;
    while (Date.now() < end) {
      if (entry.hasEnded) throw new Error(`${entry.name} ended`);
      if ((await readiness(entry, 900)) === 200) {
        this.record(`${entry.name} is ready`);
        return;
      }
      await sleep(50);
    }
    throw new Error(`${entry.name} did not become ready`);
  }

  /** Ends everything that was started, then the run with an exit code. */
  async exit(code) {
    clearTimeout(this.watchdog);
    for (const {id, received} of this.replicas)
      this.record(`replica ${id} got ${received.length} requests`);
    this.record(`exit ${code}`);
    for (const child of this.children) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await Promise.race([ended, sleep(2_000)]);
    }
    for (const close of this.closers) await close();
    rmSync(this.folder, {recursive: true, force: true});
    process.exit(code);
  }
}

/** Runs a case: `main` returns whether the rule held. */
export async function runCase(folder, main) {
  const one = new Case(folder);
  try {
    const held = await main(one);
    one.record(held ? 'the rule held' : 'THE RULE WAS BROKEN');
    await one.exit(held ? 0 : 1);
  } catch (thrown) {
    one.record(`the case could not run: ${thrown?.stack ?? thrown}`);
    await one.exit(2);
  }
}

/** Asks an entry whether it is ready; returns the status, or 0 without an answer. */
export function readiness(entry, ms) {
  return new Promise(resolve => {
    const req = http.get(
      {
        host: HOST,
        port: entry.ports.readiness,
        path: '/api/readiness',
        agent: false,
      },
      res => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.setTimeout(ms, () => req.destroy());
    req.on('error', () => resolve(0));
    req.on('close', () => resolve(0));
  });
}

export const newId = () => randomBytes(8).toString('hex');

/**
 * Sends one request on a connection of its own, as a client does, and returns what
 * came back until its end or the client's deadline.
 */
export function call(entry, path, options = {}) {
  const {
    method = 'GET',
    deadline = 2_000,
    headers = {},
    body,
    id = newId(),
  } = options;
  const startedAt = Date.now();
  return new Promise(resolve => {
    const answer = {
      id,
      status: 0,
      body: '',
      isWhole: false,
      ms: 0,
      headers: {},
    };
    let isDone = false;
    const finish = () => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      answer.ms = Date.now() - startedAt;
      req.destroy();
      resolve(answer);
    };
    const req = http.request({
      host: HOST,
      port: entry.ports.callers,
      agent: false,
      method,
      path,
      headers: {
        Host: VHOST,
        'Request-Id': id,
        'Deadline-Ms': `${deadline}`,
        Authorization: `Bearer ${KEY}`,
        ...(body === undefined
          ? {}
          : {'Content-Length': Buffer.byteLength(body)}),
        ...headers,
      },
    });
    const timer = setTimeout(finish, deadline);
    req.on('error', finish);
    req.on('response', res => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.on('data', chunk => {
        if (answer.body.length < 65_536) answer.body += chunk;
        answer.bytes = (answer.bytes ?? 0) + chunk.length;
      });
      res.on('error', finish);
      res.on('end', () => {
        answer.isWhole = res.complete;
        finish();
      });
      res.on('close', finish);
    });
    req.end(body);
  });
}

/** A client that keeps its connection for many requests, one at a time. */
export class KeptClient {
  constructor(entry) {
    this.entry = entry;
    this.agent = new http.Agent({keepAlive: true, maxSockets: 1});
    this.answered = 0;
  }

  /** Sends a request; status 0 stands for a connection that ended without an answer. */
  send(
    path,
    {method = 'GET', body, deadline = 2_000, id = newId(), headers = {}} = {},
  ) {
    return new Promise(resolve => {
      const answer = {
        id,
        status: 0,
        body: '',
        isWhole: false,
        wasKept: this.answered > 0,
      };
      const finish = () => {
        clearTimeout(timer);
        resolve(answer);
      };
      const req = http.request({
        host: HOST,
        port: this.entry.ports.callers,
        agent: this.agent,
        method,
        path,
        headers: {
          Host: VHOST,
          'Request-Id': id,
          'Deadline-Ms': `${deadline}`,
          Authorization: `Bearer ${KEY}`,
          ...(body === undefined
            ? {}
            : {'Content-Length': Buffer.byteLength(body)}),
          ...headers,
        },
      });
      const timer = setTimeout(() => req.destroy(), deadline + 500);
      req.on('error', finish);
      req.on('response', res => {
        res.on('data', chunk => (answer.body += chunk));
        res.on('error', finish);
        res.on('end', () => {
          answer.status = res.statusCode;
          answer.isWhole = res.complete;
          this.answered += 1;
          finish();
        });
        res.on('close', finish);
      });
      req.end(body);
    });
  }
}
