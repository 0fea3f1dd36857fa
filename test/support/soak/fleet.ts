import {EntryProcess, freePorts} from '../entry_process.js';
import type {EntryPorts} from '../entry_process.js';
import type {LogLine} from '../processes.js';
import {GRACE_S, RETRY_RATIO, RETRY_SLACK} from './routes.js';
import {StoreProxy} from './store_proxy.js';

/** Time after a disturbance in which its effects are excused, ms. */
export const AFTERMATH_MS = 1_000;
/** Time after which a process that ended by itself is started again, ms. */
const RESTART_MS = 500;
/** Memory of the VM of an entry, MB. */
const MEMORY_MB = 350;
/** Log lines of a process that ended by itself. */
const SHOWN_LINES = 8;

/** An entry of the soak: its address, and its processes one after the other. */
export class EntrySlot {
  readonly processes: EntryProcess[] = [];
  /** Times of SIGTERM. */
  readonly terms: number[] = [];
  /** Times in which a process was killed or suspended, from and to. */
  private readonly disturbances: [number, number][] = [];
  private readonly killed = new Set<EntryProcess>();
  private readonly termedAt = new Map<EntryProcess, number>();
  private readonly peaks = new Map<EntryProcess, number>();
  private isSuspended = false;
  private isClosed = false;

  private constructor(
    readonly number: number,
    readonly ports: EntryPorts,
    readonly proxy: StoreProxy,
    private readonly store: string,
    private readonly heapMb: number,
  ) {}

  /**
   * Starts an entry.
   * @param number - its number
   * @param store - `host:port` of the store
   * @param heapMb - heap limit of its processes
   */
  static async start(
    number: number,
    store: string,
    heapMb: number,
  ): Promise<EntrySlot> {
    const proxy = new StoreProxy(store);
    const address = await proxy.listen();
    const ports = await freePorts();
    const slot = new EntrySlot(number, ports, proxy, address, heapMb);
    slot.startProcess();
    return slot;
  }

  /** The newest process. */
  get process(): EntryProcess {
    return this.processes.at(-1)!;
  }

  /** Whether the newest process has a handler for signals. */
  get catchesSignals(): boolean {
    return !this.process.hasEnded && this.process.catchesReload();
  }

  /** Starts a process at the ports of the entry. */
  startProcess(): void {
    const options = {
      retryRatio: RETRY_RATIO,
      retrySlack: RETRY_SLACK,
      heapMb: this.heapMb,
    };
    const next = new EntryProcess(this.store, this.ports, GRACE_S, options);
    this.processes.push(next);
    next.child.once('exit', () => {
      const isOwn = !this.killed.has(next) && !this.termedAt.has(next);
      if (!isOwn || this.isClosed) return;
      // At the ports of another one it would only wait.
      setTimeout(() => {
        if (!this.isClosed && this.process === next) this.startProcess();
      }, RESTART_MS);
    });
  }

  /** Largest memory that any of its processes has had, MB. */
  get peakMb(): number {
    return Math.max(0, ...this.peaks.values());
  }

  /** Notes the memory of the processes, which is not known after their ends. */
  watchMemory(): void {
    for (const one of this.processes)
      if (!one.hasEnded) this.peaks.set(one, one.peakMemoryMb());
  }

  /** Sends SIGHUP, unless Node itself still boots and no program can catch it. */
  reload(): void {
    if (this.catchesSignals) this.process.child.kill('SIGHUP');
  }

  /** Sends SIGTERM; another process starts before the old one has ended. */
  restart(): void {
    if (!this.catchesSignals) return;
    this.terms.push(performance.now());
    this.termedAt.set(this.process, performance.now());
    this.process.child.kill('SIGTERM');
    this.startProcess();
  }

  /** Sends SIGKILL to all processes and starts another. */
  kill(): void {
    const now = performance.now();
    this.disturbances.push([now, now + AFTERMATH_MS]);
    for (const one of this.processes) {
      if (one.hasEnded) continue;
      this.killed.add(one);
      one.child.kill('SIGKILL');
    }
    this.startProcess();
  }

  /**
   * Suspends all processes for a time.
   * @param ms - the time
   */
  async suspend(ms: number): Promise<void> {
    if (this.isSuspended) return;
    this.isSuspended = true;
    const span: [number, number] = [performance.now(), Infinity];
    this.disturbances.push(span);
    const live = this.processes.filter(one => !one.hasEnded);
    for (const {child} of live) child.kill('SIGSTOP');
    await new Promise(resolve => setTimeout(resolve, ms));
    for (const {child} of live) child.kill('SIGCONT');
    span[1] = performance.now() + AFTERMATH_MS;
    this.isSuspended = false;
  }

  /**
   * Returns whether a process was killed or suspended in a span of time.
   * @param from - its start
   * @param to - its end
   */
  isDisturbed(from: number, to: number): boolean {
    return this.disturbances.some(([a, b]) => a <= to && b >= from);
  }

  /**
   * Returns the log lines of a request.
   * @param id - its id
   */
  linesOf(id: string): LogLine[] {
    return this.processes.flatMap(({lines}) =>
      lines.filter(line => line['id'] === id),
    );
  }

  /** Returns a line for each process that ended otherwise than it was told to. */
  unexpectedEnds(): string[] {
    return this.processes.flatMap((one, i) => {
      if (!one.hasEnded || this.killed.has(one)) return [];
      const {exitCode, signalCode} = one.child;
      // While the program is being loaded, SIGTERM ends it by default.
      const isLoading = one.lines.length === 0 && signalCode === 'SIGTERM';
      const isExpected = this.termedAt.has(one);
      if (isExpected && (exitCode === 0 || isLoading)) return [];
      const last = one.lines
        .slice(-SHOWN_LINES)
        .map(line => JSON.stringify(line));
      return [
        `entry ${this.number} process ${i + 1}: code ${exitCode}, signal ` +
          `${signalCode}\n${[...last, ...one.errorLines].join('\n')}`,
      ];
    });
  }

  /** Returns a line for each process that had more memory than its VM. */
  memoryExcesses(): string[] {
    return this.processes.flatMap((one, i) => {
      const peakMb = this.peaks.get(one) ?? 0;
      const name = `entry ${this.number} process ${i + 1}`;
      return peakMb > MEMORY_MB ? [`${name}: ${peakMb} MB of memory`] : [];
    });
  }

  /** Ends all processes. */
  async close(): Promise<void> {
    this.isClosed = true;
    for (const one of this.processes) if (!one.hasEnded) this.killed.add(one);
    await Promise.all(this.processes.map(one => one.end('SIGKILL')));
    this.proxy.close();
  }
}
