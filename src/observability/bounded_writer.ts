import type {Writable} from 'node:stream';

import type {Clock, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Lines per second that a process may write on average. */
const LINES_PER_SECOND = 200;
/** Lines that a process may write in a burst. */
const BURST_LINES = 1_000;
/** Lines of priority that a process may write in a burst, and per second after it. */
const PRIORITY_LINES = {burst: 20, perSecond: 1};
/** Time that the last line of a process may take to leave it. */
const FLUSH_TIMEOUT: Millis = 100;

/** Token bucket for lines. */
class LineBucket {
  private tokens: number;

  /**
   * @param burst - lines of a burst
   * @param perSecond - lines per second on average
   * @param refilledAt - current time
   */
  constructor(
    private readonly burst: number,
    private readonly perSecond: number,
    private refilledAt: Millis,
  ) {
    this.tokens = burst;
  }

  /**
   * Takes a token.
   * @param now - current time
   * @returns whether there was one
   */
  take(now: Millis): boolean {
    const earned = ((now - this.refilledAt) / SECOND) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + earned);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * Rate-limited line writer (token bucket) that never blocks. It drops lines
 * beyond the rate or while the output is blocked, and reports their number.
 */
export class BoundedWriter {
  private readonly bucket: LineBucket;
  private readonly priorityBucket: LineBucket;
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
    const now = clock.now();
    const {burst, perSecond} = PRIORITY_LINES;
    this.bucket = new LineBucket(BURST_LINES, LINES_PER_SECOND, now);
    this.priorityBucket = new LineBucket(burst, perSecond, now);
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
    this.writeWithin(this.bucket, line);
  }

  /**
   * Writes a line that tells of a danger to the process: it has a rate of its own,
   * as other lines may have used up theirs.
   * @param line - the line without a line break
   */
  writePriority(line: string): void {
    this.writeWithin(this.priorityBucket, line);
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

  private writeWithin(bucket: LineBucket, line: string): void {
    const isBlocked = this.out.writableNeedDrain || this.isClosed;
    if (isBlocked || !bucket.take(this.clock.now())) {
      this.dropped += 1;
      return;
    }
    this.reportDropped();
    this.out.write(`${line}\n`);
  }

  private reportDropped(): void {
    if (this.dropped === 0) return;
    this.out.write(`level=warn event=log_lines_dropped n=${this.dropped}\n`);
    this.dropped = 0;
  }
}
