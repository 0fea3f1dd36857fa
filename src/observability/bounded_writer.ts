import type {Writable} from 'node:stream';

import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Lines that a process may write in a second, on average. */
const LINES_PER_SECOND = 200;
/** Lines that it may write at once. */
const BURST_LINES = 1_000;

/**
 * Writes lines without ever waiting: beyond a rate, or while the reader of
 * the output does not take them, lines are dropped and their number is told.
 */
export class BoundedWriter {
  private tokens = BURST_LINES;
  private refilledAt: Millis;
  private dropped = 0;

  /**
   * @param out - where lines go
   * @param clock - tells the time
   */
  constructor(
    private readonly out: Writable,
    private readonly clock: Clock,
  ) {
    this.refilledAt = clock.now();
  }

  /**
   * Writes a line, or drops it.
   * @param line - the line without its end
   */
  write(line: string): void {
    const now = this.clock.now();
    const earned = ((now - this.refilledAt) / SECOND) * LINES_PER_SECOND;
    this.tokens = Math.min(BURST_LINES, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens < 1 || this.out.writableNeedDrain) {
      this.dropped += 1;
      return;
    }
    this.tokens -= 1;
    if (this.dropped > 0) {
      this.out.write(`level=warn event=log_lines_dropped n=${this.dropped}\n`);
      this.dropped = 0;
    }
    this.out.write(`${line}\n`);
  }
}
