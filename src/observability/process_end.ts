import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {describeError} from '../errors/index.js';
import type {LogLevel} from './logger.js';
import {createLogger} from './logger.js';
import {memoryFields, readMemoryUse} from './process_memory.js';
import type {MemoryUse} from './process_memory.js';

/** Why a process ends. */
export type EndReason =
  /** The start failed. */
  | 'start_failed'
  /** A termination signal, and all accepted requests have ended. */
  | 'drained'
  /** A second termination signal, which cuts the accepted requests. */
  | 'stopped'
  /** A termination signal, and an exception of the drain. */
  | 'drain_failed'
  /** The process exited outside of the cases above. */
  | 'exited';

/** What the end of a process depends on. */
export interface ProcessEndParts {
  readonly clock: Clock;
  /** Writes the last line, see `BoundedWriter.writeLast`. */
  writeLast(line: string): Promise<void>;
  /** Returns the number of requests that end with the process. */
  openRequests(): number;
  /** Ends the process with a code. */
  exit(code: number): void;
  readonly readMemoryUse?: () => MemoryUse;
}

/** Logs why the process ends, in one last line, and ends it. */
export class ProcessEnd {
  private readonly startedAt: Millis;
  private hasEnded = false;

  /** @param parts - clock, output and the process */
  constructor(private readonly parts: ProcessEndParts) {
    this.startedAt = parts.clock.now();
  }

  /**
   * Logs the reason and ends the process. Only the first call has an effect.
   * @param reason - why it ends
   * @param code - its exit code
   * @param thrown - the exception that ends it
   */
  async end(reason: EndReason, code: number, thrown?: unknown): Promise<void> {
    if (this.hasEnded) return;
    try {
      await this.log(reason, code, thrown);
    } finally {
      // Reading the memory fails in a process without descriptors.
      this.parts.exit(code);
    }
  }

  /**
   * Logs an exit that `end` did not cause.
   * @param code - exit code
   */
  recordExit(code: number): void {
    if (!this.hasEnded) void this.log('exited', code);
  }

  private async log(
    reason: EndReason,
    code: number,
    thrown?: unknown,
  ): Promise<void> {
    this.hasEnded = true;
    const {clock, openRequests, readMemoryUse: readUse} = this.parts;
    let written = Promise.resolve();
    const logger = createLogger('info', line => {
      written = this.parts.writeLast(line);
    });
    const level: LogLevel = code === 0 ? 'info' : 'error';
    logger[level]('process_ended', {
      reason,
      code,
      err: thrown === undefined ? undefined : describeError(thrown),
      uptime_s: Math.round((clock.now() - this.startedAt) / SECOND),
      open: openRequests(),
      ...memoryFields((readUse ?? readMemoryUse)()),
    });
    await written;
  }
}
