import {getHeapStatistics} from 'node:v8';

import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {Containment} from './containment.js';
import type {Fields, Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/** Interval at which the memory of a process is checked. */
const CHECK_INTERVAL: Millis = SECOND / 4;
/** Shares of a limit whose crossing is logged, in ascending order. */
const LOGGED_SHARES = [0.7, 0.8, 0.9];
/** Minimum time between two lines about the same share of a limit. */
const LOG_INTERVAL: Millis = 10 * SECOND;
const MEBIBYTE = 2 ** 20;

/** Memory of a process, bytes. */
export interface MemoryUse {
  /** Resident memory. */
  readonly rss: number;
  /** Used part of the JavaScript heap. */
  readonly heap: number;
  /** Memory outside of the heap that objects of the heap hold, such as buffers. */
  readonly external: number;
}

/** Limits whose excess ends a process, bytes. */
export interface MemoryLimits {
  readonly heap: number;
  /** Memory limit of the VM; undefined if unknown. */
  readonly rss: number | undefined;
}

/** Returns the memory that this process uses. */
export function readMemoryUse(): MemoryUse {
  const {rss, heapUsed, external} = process.memoryUsage();
  return {rss, heap: heapUsed, external};
}

/**
 * Returns the heap limit of this process, bytes: that of the old generation if it
 * was set. V8's own figure has room for the young one besides, which never fills.
 * @param args - arguments of Node, before the name of the program
 */
export function readHeapLimit(args: readonly string[]): number {
  const [, oldSpace] =
    /^--max-old-space-size=(\d+)$/m.exec(args.join('\n')) ?? [];
  return oldSpace === undefined
    ? getHeapStatistics().heap_size_limit
    : Number(oldSpace) * MEBIBYTE;
}

/**
 * Formats memory as fields of a log line.
 * @param use - memory of the process
 */
export function memoryFields({rss, heap, external}: MemoryUse): Fields {
  return {
    rss_mb: toMebibytes(rss),
    heap_mb: toMebibytes(heap),
    external_mb: toMebibytes(external),
  };
}

function toMebibytes(bytes: number): number {
  return Math.round(bytes / MEBIBYTE);
}

/**
 * Watches the memory of a process. An excess of a limit ends the process without
 * a log line, so the approach is logged.
 */
export class MemoryWatch {
  private readonly memory;
  private readonly highMemory;
  /** Share of each limit at the last check. */
  private readonly shares = new Map<string, number>();
  private readonly loggedAt = new Map<string, Millis>();
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param limits - limits of the process
   * @param clock - the clock
   * @param logger - logs crossings
   * @param containment - contains a failure to read the memory
   * @param metrics - receives the gauges and the counter
   * @param openRequests - returns the number of open requests
   * @param readUse - returns the memory in use
   */
  constructor(
    private readonly limits: MemoryLimits,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly containment: Containment,
    metrics: Metrics,
    private readonly openRequests: () => number,
    private readonly readUse: () => MemoryUse = readMemoryUse,
  ) {
    this.memory = metrics.gauge(
      'baobabspan_process_memory_bytes',
      'Memory of the process and its limits, by kind',
      ['kind'],
    );
    this.highMemory = metrics.counter(
      'baobabspan_process_memory_high_total',
      'Crossings of a share of a memory limit, by kind and percentage',
      ['kind', 'percent'],
    );
    this.memory.set({kind: 'heap_limit'}, limits.heap);
    if (limits.rss !== undefined) {
      this.memory.set({kind: 'rss_limit'}, limits.rss);
    }
  }

  /** Checks the memory at an interval from now on. */
  start(): void {
    const check = () =>
      this.containment.run('timer', {}, () => this.check(this.clock.now()));
    this.timer = setInterval(check, CHECK_INTERVAL).unref();
  }

  /** Stops the checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Updates the gauges, and logs each share of a limit that was crossed since the
   * last check.
   * @param now - current time
   */
  check(now: Millis): void {
    const use = this.readUse();
    for (const kind of ['rss', 'heap', 'external'] as const) {
      this.memory.set({kind}, use[kind]);
    }
    for (const kind of ['rss', 'heap'] as const) {
      const limit = this.limits[kind];
      if (limit !== undefined) this.compare(now, kind, use, limit);
    }
  }

  private compare(
    now: Millis,
    kind: 'rss' | 'heap',
    use: MemoryUse,
    limit: number,
  ): void {
    const share = use[kind] / limit;
    const before = this.shares.get(kind) ?? 0;
    this.shares.set(kind, share);
    const crossed = LOGGED_SHARES.findLast(
      level => share >= level && before < level,
    );
    if (crossed === undefined) return;
    const percent = Math.round(crossed * 100);
    this.highMemory.inc({kind, percent});
    const line = `${kind} ${percent}`;
    const loggedAt = this.loggedAt.get(line);
    if (loggedAt !== undefined && now - loggedAt < LOG_INTERVAL) return;
    this.loggedAt.set(line, now);
    this.logger.warn('memory_high', {
      kind,
      percent,
      limit_mb: toMebibytes(limit),
      ...memoryFields(use),
      open: this.openRequests(),
    });
  }
}
