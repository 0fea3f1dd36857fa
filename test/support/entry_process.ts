import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import {hostPort} from '../../src/core/index.js';
import {freePort} from './free_port.js';
import {parseLogLine} from './processes.js';
import type {LogLine} from './processes.js';

/** The program, as `npm run build` leaves it. */
export const MAIN = fileURLToPath(
  new URL('../../dist/platform/main.cjs', import.meta.url),
);
const HOST = '127.0.0.1';
/** Bit of signal 1 in a signal mask of the kernel. */
const SIGHUP_BIT = 1n;

/** Ports of an entry process. */
export interface EntryPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly operators: number;
  readonly internal: number;
}

/** Settings of an entry process that most tests leave alone. */
export interface EntryOptions {
  /** Bound of the retries: share of the requests. */
  readonly retryRatio: number;
  /** Bound of the retries: fixed part in a window. */
  readonly retrySlack: number;
  /** Bound of the retries: length of the window, seconds. */
  readonly retryWindowS: number;
  /** Heap limit, MB. */
  readonly heapMb: number;
}

/** With a bound of the retries that no test reaches. */
const DEFAULT_OPTIONS: EntryOptions = {
  retryRatio: 1_000,
  retrySlack: 1_000,
  retryWindowS: 10,
  heapMb: 128,
};
/** Last lines of the standard error that are kept, for a process that fails. */
const KEPT_ERROR_LINES = 40;

/** Returns ports that were free when they were checked. */
export async function freePorts(): Promise<EntryPorts> {
  return {
    callers: await freePort(),
    readiness: await freePort(),
    operators: await freePort(),
    internal: await freePort(),
  };
}

/** An entry of the users' platform as a process of its own. */
export class EntryProcess {
  readonly lines: LogLine[] = [];
  /** Last lines of the standard error. */
  readonly errorLines: string[] = [];
  readonly child: ChildProcess;
  private readonly folder = mkdtempSync(join(tmpdir(), 'baobabspan-'));
  /** Path of its settings file. */
  readonly boot = join(this.folder, 'boot.json');

  /**
   * Starts the process.
   * @param store - `host:port` of the store
   * @param ports - its ports
   * @param graceS - time from SIGTERM to its end, seconds
   * @param options - settings that differ from the defaults
   */
  constructor(
    store: string,
    readonly ports: EntryPorts,
    graceS = 5,
    options: Partial<EntryOptions> = {},
  ) {
    const {retryRatio, retrySlack, retryWindowS, heapMb} = {
      ...DEFAULT_OPTIONS,
      ...options,
    };
    const settings = {
      vm: `front-${ports.callers}`,
      availabilityZone: 'a',
      ip: HOST,
      callers: this.callers,
      readiness: hostPort(HOST, ports.readiness),
      internalPorts: [ports.internal, ports.internal],
      operatorPort: ports.operators,
      store,
      retryRatio,
      retryWindowS,
      retrySlack,
      graceS,
      configurationAppliesMs: 2_000,
      upstreamLeavesMs: 2_000,
    };
    writeFileSync(this.boot, JSON.stringify(settings));
    this.child = spawn(
      process.execPath,
      [`--max-old-space-size=${heapMb}`, MAIN, 'entry'],
      {
        env: {...process.env, BAOBABSPAN_BOOT: this.boot},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    createInterface({input: this.child.stderr!}).on('line', line => {
      this.errorLines.push(line);
      if (this.errorLines.length > KEPT_ERROR_LINES) this.errorLines.shift();
    });
    createInterface({input: this.child.stdout!}).on('line', line => {
      this.lines.push(parseLogLine(line));
    });
  }

  /** `host:port` for callers. */
  get callers(): string {
    return hostPort(HOST, this.ports.callers);
  }

  /** Returns whether the process has a handler for the reload signal. */
  catchesReload(): boolean {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    const mask = /SigCgt:\s*([0-9a-f]+)/.exec(status)?.[1] ?? '0';
    return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
  }

  /** Returns the largest resident memory that the process has had, MB. */
  peakMemoryMb(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Math.round(Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? 0) / 1_024);
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /**
   * Returns whether the log has a line of an event.
   * @param event - the event
   */
  hasLogged(event: string): boolean {
    return this.lines.some(line => line['event'] === event);
  }

  /**
   * Sends a signal and waits for the end of the process.
   * @param signal - the signal
   */
  async end(signal: NodeJS.Signals): Promise<void> {
    if (!this.hasEnded) {
      const exit = once(this.child, 'exit');
      this.child.kill(signal);
      await exit;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  /**
   * Returns whether the balancer may send requests to the entry.
   * @param ms - time to wait for the response
   */
  async isReady(ms = 900): Promise<boolean> {
    const {readiness} = this.ports;
    const url = `http://${hostPort(HOST, readiness)}/api/readiness`;
    const res = await fetch(url, {signal: AbortSignal.timeout(ms)}).catch(
      () => undefined,
    );
    return res?.ok === true;
  }
}
