import type {Writable} from 'node:stream';

import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Lines per second that a process may write on average. */
const LINES_PER_SECOND = 200;
/** Lines that a process may write in a burst. */
const BURST_LINES = 1_000;
/** Time that the last line of a process may take to leave it. */
const FLUSH_TIMEOUT: Millis = 200;

/**
 * Rate-limited line writer (token bucket) that never blocks. It drops lines
 * beyond the rate or while the output is blocked, and reports their number.
 */
export class BoundedWriter {
  private tokens = BURST_LINES;
  private refilledAt: Millis;
  private dropped = 0;
  /** Whether nothing reads the output any more, for example a closed pipe. */
  private isClosed = false;

  /**
   * @param out - output stream
   * @param clock - clock for the token bucket
   */
  constructor(
    private readonly out: Writable,
    private readonly clock: Clock,
  ) {
    this.refilledAt = clock.now();
    // Without a listener the error would end the process with its requests.
    out.on('error', () => {
      this.isClosed = true;
    });
  }

  /**
   * Writes a line, or drops it.
   * @param line - the line without a line break
   */
  write(line: string): void {
    const now = this.clock.now();
    const earned = ((now - this.refilledAt) / SECOND) * LINES_PER_SECOND;
    this.tokens = Math.min(BURST_LINES, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens < 1 || this.out.writableNeedDrain || this.isClosed) {
      this.dropped += 1;
      return;
    }
    this.tokens -= 1;
    this.reportDropped();
    this.out.write(`${line}\n`);
  }

  /**
   * Writes the last line of the process, which is never dropped.
   * @param line - the line without a line break
   * @returns a promise that resolves once the output has taken the line, after
   * the flush timeout at the latest
   */
  async writeLast(line: string): Promise<void> {
    if (this.isClosed) return;
    this.reportDropped();
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, FLUSH_TIMEOUT);
      this.out.write(`${line}\n`, () => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private reportDropped(): void {
    if (this.dropped === 0) return;
    this.out.write(`level=warn event=log_lines_dropped n=${this.dropped}\n`);
    this.dropped = 0;
  }
}
