/* global setTimeout, clearTimeout */
/** Starts the project's programs as the deploy file does, and talks to them. */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';

export const HOST = '127.0.0.1';
export const ZONES = ['zone-a', 'zone-b', 'zone-c'];
export const KEY = 'k3yofthetenant000001';
export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Figures of kivuli-rounds.toml, a small deployment. */
export const CONFIGURATION = {
  Version: 7,
  Routes: [
    route('stock-load', '/stock/', 'depot-app', 'unsafe', 1_200, 150, 1),
    route('route-sheet', '/sheet/', 'depot-app', 'safe', 1_200, 150, 2),
    {
      ...route('stop-plan', '/plan/', 'msaidizi', 'streaming', 8_000, 400, 2),
      TargetGapMs: 120,
      Resumable: true,
      Sticky: true,
    },
  ],
  Services: [
    {Name: 'depot-app', HealthPath: '/health', MaxConnections: 96},
    {Name: 'msaidizi', HealthPath: '/health', MaxConnections: 338},
  ],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
  Tenants: [{Name: 'tenant-1', ApiKeys: [KEY]}],
};

function route(name, prefix, service, kind, timeout, target, attempts) {
  return {
    Name: name,
    Host: 'depot.example',
    PathPrefix: prefix,
    Service: service,
    Kind: kind,
    TimeoutMs: timeout,
    TargetLatencyMs: target,
    Priority: 1,
    MaxAttempts: attempts,
  };
}

/** A run of a case: its record, its folder and the processes it started. */
export class Run {
  started = [];
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  startedAt = Date.now();

  /** @param file - file of the record */
  constructor(file) {
    this.file = file;
    writeFileSync(file, '');
    // Whatever ends the script, nothing that it started goes on.
    process.on('exit', () => this.endAll());
    process.on('SIGTERM', () => process.exit(2));
    process.on('SIGINT', () => process.exit(2));
    process.on('uncaughtException', err => this.finish(2, String(err)));
    this.guard = setTimeout(() => this.finish(2, 'took too long'), 110_000);
  }

  get hasTrouble() {
    return process.env['TROUBLE'] !== '0';
  }

  record(text) {
    const ms = String(Date.now() - this.startedAt).padStart(6);
    const line = `${ms} ${text}`.replaceAll(process.cwd(), '.');
    appendFileSync(this.file, `${line}\n`);
  }

  /** Starts a program of the deploy file with its settings. */
  async start(role, name, heapMb, settings) {
    const [operatorPort, first, last] = await freePorts(3);
    const boot = join(this.folder, `${name}.json`);
    const whole = {
      vm: name,
      ip: HOST,
      internalPorts: [first, last],
      operatorPort,
      retryRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 88,
      graceS: 8,
      configurationAppliesMs: 2_000,
      upstreamLeavesMs: 2_000,
      ...settings,
    };
    writeFileSync(boot, JSON.stringify(whole));
    const started = {name, log: ''};
    started.process = spawn(
      process.execPath,
      [`--max-old-space-size=${heapMb}`, 'target/bundle/main.js', role],
      {
        env: {PATH: process.env['PATH'], BAOBABSPAN_BOOT: boot},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.started.push(started.process);
    const keep = chunk => (started.log += chunk.toString());
    started.process.stdout.on('data', keep);
    started.process.stderr.on('data', keep);
    started.process.on('exit', (code, signal) => {
      started.ended = {code, signal};
      this.record(`${role} ${name} ended: code ${code}, signal ${signal}`);
    });
    return started;
  }

  /** Starts the sidecar of a rank. */
  startSidecar(name, zone, store, upstream, service) {
    return this.start('sidecar', name, 96, {
      availabilityZone: zone,
      callers: null,
      readiness: null,
      upstream,
      upstreamService: service,
      store,
    });
  }

  /** Starts an entry and waits until it says that it is ready. */
  async startEntry(name, zone, store) {
    const [callers, readiness] = await freePorts(2);
    const entry = await this.start('entry', name, 128, {
      availabilityZone: zone,
      callers: `${HOST}:${callers}`,
      readiness: `${HOST}:${readiness}`,
      upstream: null,
      upstreamService: null,
      store,
    });
    Object.assign(entry, {zone, callers, readiness});
    for (let i = 0; i < 150; i++) {
      await sleep(100);
      if (entry.ended) break;
      if (await isReady(entry)) {
        this.record(`entry ${name} is ready`);
        return entry;
      }
    }
    this.record(entry.log);
    return this.finish(2, `entry ${name} did not get ready`);
  }

  /** Ends all that the run started, writes the verdict and exits. */
  finish(code, why) {
    clearTimeout(this.guard);
    const verdict = ['held', 'broken', 'could not run'][code];
    this.record(`verdict: ${verdict}: ${why}`);
    process.stdout.write(`${verdict}: ${why}\n`);
    process.exit(code);
  }

  endAll() {
    for (const child of this.started) child.kill('SIGKILL');
    rmSync(this.folder, {recursive: true, force: true});
  }
}

async function freePorts(count) {
  const servers = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise(done => server.listen(0, HOST, done));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(s => new Promise(done => s.close(done))));
  return ports;
}

/** Asks an entry whether it is ready, as the platform does. */
export function isReady({readiness}) {
  return new Promise(done => {
    const req = request(
      {host: HOST, port: readiness, path: '/api/readiness', agent: false},
      res => {
        res.resume();
        done(res.statusCode === 200);
      },
    );
    req.on('error', () => done(false));
    req.setTimeout(900, () => req.destroy(new Error('no answer')));
    req.end();
  });
}

let ids = 0;

/** Returns a new request id. */
export function newId() {
  ids += 1;
  return `${process.pid.toString(16)}${ids.toString(16).padStart(8, '0')}`;
}

/**
 * Sends a client's request on a kept connection of `agent` and returns what the
 * client sees: status, headers, body, whether the answer was complete.
 */
export function send(entry, agent, {method = 'GET', path, body, id, ...more}) {
  return new Promise(done => {
    const seen = {id, status: undefined, isComplete: false};
    const chunks = [];
    const req = request({
      host: HOST,
      port: entry.callers,
      method,
      path,
      agent,
      headers: {
        Host: 'depot.example',
        'Request-Id': id,
        'Deadline-Ms': String(more.deadline ?? 2_500),
        Authorization: `Bearer ${KEY}`,
        ...(body === undefined ? {} : {'Content-Length': body.length}),
        ...more.headers,
      },
    });
    const end = error => {
      if (seen.isOver) return;
      seen.isOver = true;
      seen.error = error;
      // A reset ends no answer in order, whatever the parser makes of it.
      if (error !== undefined) seen.isComplete = false;
      seen.body = chunks.join('');
      done(seen);
    };
    req.on('response', res => {
      seen.status = res.statusCode;
      seen.headers = res.headers;
      more.onHead?.(res);
      res.on('data', chunk => chunks.push(chunk.toString('latin1')));
      res.on('end', () => {
        seen.isComplete = res.complete;
        end();
      });
      res.on('error', err => end(err.code ?? err.message));
    });
    req.on('error', err => end(err.code ?? err.message));
    req.end(body);
  });
}

/** Returns an agent of a client that keeps its connections. */
export const keepAgent = () => new Agent({keepAlive: true, maxSockets: 1});
