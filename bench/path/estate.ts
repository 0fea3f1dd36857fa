import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import {request} from 'undici';

const CLI = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const STANDIN = fileURLToPath(
  new URL('../../standins/main.js', import.meta.url),
);
const ZONE = 'z1';
const KEY = 'bench-link-key-0123456789';
/** SHA-256 of `kariakoo-rounds-token`. */
const DIGEST =
  'f03e9304bc1d97b363d6ee8c231fa2cca9bc4762c3e50edb5aca1a6103b1074c';
/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100;

/** Configuration text with limits that the load never reaches. */
const TEXT = `schema: 1
availabilityZones: [${ZONE}]
services:
  model:
    kind: model
    upstreams: {${ZONE}: 1}
    limits: {inFlight: 4000, concurrency: 512, queue: 4096}
  plain:
    kind: plain
    upstreams: {${ZONE}: 1}
    limits: {inFlight: 4000, concurrency: 512, queue: 4096}
    routes: [{method: POST, path: /echo, idempotent: true}]
organisations:
  bench:
    tokensSha256: [${DIGEST}]
    limits:
      requestsPerSecond: 1000000
      tokensPerSecond: 1000000000
      concurrency: 100000
`;

type Pairs = Readonly<Record<string, string>>;

/** Child process of the estate, with the parsed lines of its log. */
export class BenchProcess {
  private readonly lines: Pairs[] = [];
  private wake = () => {};

  constructor(private readonly child: ChildProcess) {
    createInterface({input: child.stderr!}).on('line', line => {
      const pairs = line.matchAll(/(\S+?)=(\S+)/g);
      this.lines.push(Object.fromEntries([...pairs].map(([, k, v]) => [k, v])));
      this.wake();
    });
  }

  /** Waits for the first log line of an event and returns its fields. */
  async waitForEvent(name: string): Promise<Pairs> {
    for (;;) {
      const found = this.lines.find(line => line['event'] === name);
      if (found !== undefined) return found;
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }

  /** Returns the processor time used so far, s. */
  cpuSeconds(): number {
    const stat = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const [user = 0, system = 0] = fields.slice(11, 13).map(Number);
    return (user + system) / TICKS_PER_SECOND;
  }

  async stop(): Promise<void> {
    const exit = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exit;
  }
}

/** One entry, two sidecars and their stand-ins, each as a separate process. */
export class BenchEstate {
  private readonly processes: BenchProcess[] = [];
  entry!: BenchProcess;
  modelSidecar!: BenchProcess;
  plainSidecar!: BenchProcess;
  engineUrl = '';
  plainUrl = '';
  entryUrl = '';

  async start(): Promise<void> {
    const platformUrl = await this.startStandin('platform');
    this.engineUrl = await this.startStandin('engine');
    this.plainUrl = await this.startStandin('plain');
    const record = {kind: 'publication', id: 'bench', base: 0, author: 'bench'};
    await request(`${platformUrl}/streams/configuration/records`, {
      method: 'POST',
      body: JSON.stringify({...record, text: TEXT}),
    });
    const common = [
      ...['--availability-zone', ZONE, '--link-key', KEY],
      ...['--log-url', platformUrl, '--vm-list-url', platformUrl],
    ];
    const sidecar = (service: string, url: string) =>
      this.spawn(CLI, [
        ...['sidecar', '--vm', `${service}-1`, '--service', service],
        ...['--upstream-url', url, ...common],
      ]);
    this.modelSidecar = sidecar('model', this.engineUrl);
    this.plainSidecar = sidecar('plain', this.plainUrl);
    const listed = async (process: BenchProcess, service: string) => {
      const address = (await process.waitForEvent('ready'))['links'];
      const vm = {vm: `${service}-1`, availabilityZone: ZONE, address, service};
      return {...vm, state: 'live', role: 'sidecar'};
    };
    const vms = [
      await listed(this.modelSidecar, 'model'),
      await listed(this.plainSidecar, 'plain'),
    ];
    const body = JSON.stringify(vms);
    await request(`${platformUrl}/vms`, {method: 'PUT', body});
    const entry = ['entry', '--vm', 'entry-1', '--port', '0', ...common];
    this.entry = this.spawn(CLI, entry);
    this.entryUrl = `http://${(await this.entry.waitForEvent('ready'))['callers']}`;
  }

  async stop(): Promise<void> {
    await Promise.all(this.processes.map(process => process.stop()));
  }

  private async startStandin(kind: string): Promise<string> {
    return (
      (await this.spawn(STANDIN, [kind]).waitForEvent('ready'))['url'] ?? ''
    );
  }

  private spawn(script: string, args: readonly string[]): BenchProcess {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const started = new BenchProcess(child);
    this.processes.push(started);
    return started;
  }
}
