/** The system's own processes, with the memory of their machines. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {request} from 'undici';

import {hostPort} from '../../src/core/index.js';
import {
  DirectEstate,
  sealedAnswer,
  wireRoute,
} from '../support/direct_estate.js';
import {EntryProcess, MAIN, freePorts} from '../support/entry_process.js';
import {freePort} from '../support/free_port.js';
import {Processes, TestProcess, until} from '../support/processes.js';
import type {WatchedProcess} from './crowd.js';

const HOST = '127.0.0.1';
/** Memory of the smallest machines of entries and of sidecars, MB. */
const ENTRY_MB = 250;
const SIDECAR_MB = 218;
/** Heap limits that the processes are deployed with, MB. */
const ENTRY_HEAP_MB = 128;
const SIDECAR_HEAP_MB = 96;

export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4 * 2 ** 20,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** A process on its machine; `close` ends it with all that it needs. */
export interface Running {
  readonly watched: WatchedProcess;
  /** Ports that clients connect to, by name. */
  readonly ports: Readonly<Record<string, number>>;
  close(): Promise<void>;
}

/** Starts an entry of the direct form, with two upstreams. */
export async function startDirectEntry(): Promise<Running> {
  const estate = new DirectEstate();
  await estate.start(0);
  for (let i = 0; i < 2; i++) {
    await estate.addUpstream(({head, socket}) =>
      socket.write(sealedAnswer(head, 'done')),
    );
  }
  estate.store.put('keyed.op', 'config', {
    Version: 1,
    Routes: [wireRoute('/sheet/', 'safe', {TimeoutMs: 9_000})],
    Services: [{Name: 'app', MaxConnections: 64}],
    Limits: LIMITS,
    Tenants: [{Name: 'depot', ApiKeys: ['k1']}],
  });
  const entry = new EntryProcess(estate.addressOfStore, await freePorts(), 5, {
    heapMb: ENTRY_HEAP_MB,
  });
  await until(() => entry.isReady());
  const patient = {'Deadline-Ms': '8000'};
  return {
    ports: {...entry.ports},
    watched: {
      pid: entry.child.pid!,
      machineMb: ENTRY_MB,
      hasEnded: () => entry.hasEnded,
      isServing: async () => {
        const answer = await estate.callAt(entry.callers, '/sheet/1', patient);
        return answer.status === 200;
      },
    },
    close: async () => {
      await entry.end('SIGKILL');
      await estate.close();
    },
  };
}

/** Starts a sidecar of the direct form, whose engine and store do not answer. */
export async function startDirectSidecar(): Promise<Running> {
  const folder = mkdtempSync(join(tmpdir(), 'baobabspan-'));
  const boot = join(folder, 'boot.json');
  const [links, operators] = [await freePort(), await freePort()];
  const settings = {
    vm: 'side-1',
    availabilityZone: 'a',
    ip: HOST,
    internalPorts: [links, links],
    upstream: hostPort(HOST, await freePort()),
    upstreamService: 'llm',
    operatorPort: operators,
    store: hostPort(HOST, await freePort()),
    retryRatio: 1,
    retryWindowS: 10,
    retrySlack: 1,
    graceS: 5,
  };
  writeFileSync(boot, JSON.stringify(settings));
  const child = spawn(
    process.execPath,
    [`--max-old-space-size=${SIDECAR_HEAP_MB}`, MAIN, 'sidecar'],
    {env: {...process.env, BAOBABSPAN_BOOT: boot}, stdio: 'ignore'},
  );
  const isServing = () => isHealthy(operators);
  await until(() => isServing().catch(() => false));
  return {
    ports: {links, operators},
    watched: {
      pid: child.pid!,
      machineMb: SIDECAR_MB,
      hasEnded: () => child.exitCode !== null || child.signalCode !== null,
      isServing,
    },
    close: async () => {
      const exit = once(child, 'exit');
      if (child.kill('SIGKILL')) await exit;
      rmSync(folder, {recursive: true, force: true});
    },
  };
}

const ZONE = 'dar-kariakoo';
const EXAMPLE = fileURLToPath(
  new URL('../../examples/kivuli.yaml', import.meta.url),
);
const CLI = fileURLToPath(
  new URL('../../dist/src/cli/main.js', import.meta.url),
);
export const TOKEN = 'kariakoo-rounds-token';

/** An entry and a sidecar of the product's own form, with one service. */
interface OwnEstate {
  readonly entry: TestProcess;
  readonly sidecar: TestProcess;
  /** Whether an ordinary call through both is answered. */
  isServing(): Promise<boolean>;
  close(): Promise<void>;
}

async function startOwnEstate(): Promise<OwnEstate> {
  const processes = new Processes();
  const platform = processes.standin('platform');
  const plain = processes.standin('plain');
  const platformUrl = (await platform.waitForEvent('ready'))['url'] ?? '';
  const plainUrl = (await plain.waitForEvent('ready'))['url'] ?? '';
  const common = [
    ...['--availability-zone', ZONE, '--link-key', 'test-link-key-0123456789'],
    ...['--log-url', platformUrl, '--vm-list-url', platformUrl],
  ];
  const publish = processes.cli(
    ...['publish', EXAMPLE, '--base', '0', '--log-url', platformUrl],
  );
  await once(publish.child, 'exit');
  const sidecar = startCli(
    SIDECAR_HEAP_MB,
    ...['sidecar', '--vm', 'depot-1', '--service', 'depot'],
    ...['--upstream-url', plainUrl, ...common],
  );
  const address = (await sidecar.waitForEvent('ready'))['links'];
  const vm = {vm: 'depot-1', availabilityZone: ZONE, address, service: 'depot'};
  const body = JSON.stringify([{...vm, state: 'live', role: 'sidecar'}]);
  await request(`${platformUrl}/vms`, {method: 'PUT', body});
  const entry = startCli(
    ENTRY_HEAP_MB,
    ...['entry', '--vm', 'entry-1', '--port', '0', ...common],
  );
  const {callers} = await entry.waitForEvent('ready');
  await entry.waitForEvent('configuration_in_force');
  const isServing = async () => {
    const url = `http://${callers}/services/depot/sheets/1`;
    const headers = {authorization: `Bearer ${TOKEN}`};
    const res = await fetch(url, {headers, signal: AbortSignal.timeout(8_000)});
    await res.text();
    return res.ok;
  };
  await until(() => isServing().catch(() => false));
  const close = async () => {
    await entry.kill('SIGKILL');
    await sidecar.kill('SIGKILL');
    await processes.close();
  };
  return {entry, sidecar, isServing, close};
}

/** Starts an entry of the product's own form, with one service. */
export async function startOwnEntry(): Promise<Running> {
  const {entry, isServing, close} = await startOwnEstate();
  return runningOf(entry, ENTRY_MB, isServing, close);
}

/** Starts a sidecar of the product's own form, which an entry sends calls to. */
export async function startOwnSidecar(): Promise<Running> {
  const {sidecar, isServing, close} = await startOwnEstate();
  return runningOf(sidecar, SIDECAR_MB, isServing, close);
}

async function runningOf(
  started: TestProcess,
  machineMb: number,
  isServing: () => Promise<boolean>,
  close: () => Promise<void>,
): Promise<Running> {
  const {child} = started;
  const ready = await started.waitForEvent('ready');
  const names = ['callers', 'operators', 'links'].filter(name => ready[name]);
  const portOf = (name: string) => Number(ready[name]?.split(':').at(-1));
  return {
    ports: Object.fromEntries(names.map(name => [name, portOf(name)])),
    watched: {
      pid: child.pid!,
      machineMb,
      hasEnded: () => child.exitCode !== null || child.signalCode !== null,
      isServing,
    },
    close,
  };
}

function startCli(heapMb: number, ...args: string[]): TestProcess {
  const limit = `--max-old-space-size=${heapMb}`;
  const child = spawn(process.execPath, [limit, CLI, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  return new TestProcess(child);
}

/**
 * Returns whether a request is answered at a port, whatever the answer.
 * @param port - port of a process on this machine
 */
export async function answersAt(port: number): Promise<boolean> {
  const url = `http://${hostPort(HOST, port)}/healthz`;
  const res = await fetch(url, {signal: AbortSignal.timeout(5_000)});
  await res.text();
  return true;
}

async function isHealthy(port: number): Promise<boolean> {
  const url = `http://${hostPort(HOST, port)}/healthz`;
  const res = await fetch(url, {signal: AbortSignal.timeout(5_000)});
  await res.text();
  return res.ok;
}
