import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/**
 * Time between two reads while several connections wait for theirs, so that most of
 * the processor time is left for other connections.
 */
const SPACING: Millis = SECOND / 64;

/** Calls back in the next pass of the event loop, or after a delay. */
export type PassTimer = (callback: () => void, delay?: Millis) => void;

/**
 * Round-robin scheduler of the connections whose reads cost much processor time and
 * bring little: one of them is read at a time, and once. A connection that waits
 * alone is read in the next pass of the event loop.
 */
export class CostlyReads {
  private readonly waiting = new Set<() => void>();
  private isArmed = false;

  /** @param nextPass - schedules the next read */
  constructor(private readonly nextPass: PassTimer = scheduleRead) {}

  /**
   * Adds a connection that is not read until its turn.
   * @param read - reads it once
   */
  add(read: () => void): void {
    this.waiting.add(read);
    this.arm();
  }

  /**
   * Removes a connection that needs no further read.
   * @param read - what was added
   */
  remove(read: () => void): void {
    this.waiting.delete(read);
  }

  private arm(delay?: Millis): void {
    if (this.isArmed) return;
    this.isArmed = true;
    this.nextPass(() => this.onPass(), delay);
  }

  private onPass(): void {
    this.isArmed = false;
    const [read] = this.waiting;
    if (read === undefined) return;
    this.waiting.delete(read);
    if (this.waiting.size > 0) this.arm(SPACING);
    read();
  }
}

function scheduleRead(callback: () => void, delay?: Millis): void {
  if (delay === undefined) setImmediate(callback);
  else setTimeout(callback, delay);
}
