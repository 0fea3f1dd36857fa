import {MINUTE, SECOND} from '../core/index.js';
import type {Chance, Millis, Offset} from '../core/index.js';

/** Longest time between checkpoints, even while the stream is idle. */
const CHECKPOINT_INTERVAL: Millis = 10 * MINUTE;
/** Random delay of writers, so that most see another's checkpoint first. */
const MAX_JITTER: Millis = 5 * SECOND;
/** Shortest outage that is followed by a checkpoint. */
const LONG_OUTAGE: Millis = MINUTE;
/** Shortest time between two attempts of one process. */
const MIN_ATTEMPT_INTERVAL: Millis = 10 * SECOND;
const BACKOFF_CAP: Millis = 2 * MINUTE;

/** Bounds of the log and of the fold of a writer. */
export interface CheckpointContext {
  readonly earliest: Offset;
  readonly next: Offset;
  readonly foldedTo: Offset;
}

/**
 * Decides when to append a checkpoint. Any number of processes may run it
 * concurrently: redundant checkpoints are harmless.
 */
export class CheckpointPolicy {
  private newest: {at: Offset; foldedTo: Offset} | undefined;
  private newestSeenAt: Millis | undefined;
  private dueAt: Millis | undefined;
  private attemptedAt = -Infinity;
  private failedAppends = 0;
  private isAfterOutage = false;

  /** @param chance - randomises the delay of writers */
  constructor(private readonly chance: Chance) {}

  /**
   * Records a checkpoint in the log, from any writer.
   * @param now - current time
   * @param at - its offset
   * @param foldedTo - greatest offset that it includes
   */
  onCheckpoint(now: Millis, at: Offset, foldedTo: Offset): void {
    // A checkpoint that includes less than the newest one is ignored.
    if (this.newest !== undefined && foldedTo < this.newest.foldedTo) return;
    this.newest = {at, foldedTo};
    this.newestSeenAt = now;
    this.failedAppends = 0;
    this.isAfterOutage = false;
    this.dueAt = undefined;
  }

  /**
   * Records the end of an outage of the log.
   * @param outage - duration, ms
   */
  onRecovered(outage: Millis): void {
    if (outage >= LONG_OUTAGE) this.isAfterOutage = true;
  }

  /** Records an append without a response; the log may still contain it. */
  onAppendFailed(): void {
    this.failedAppends += 1;
  }

  /**
   * Decides whether to append a checkpoint now.
   * @param now - current time
   * @param context - the log, all of it folded by this process
   */
  shouldAppend(now: Millis, context: CheckpointContext): boolean {
    if (!this.isNeeded(now, context)) {
      this.dueAt = undefined;
      return false;
    }
    this.dueAt ??= now + this.chance.fraction() * MAX_JITTER;
    const interval = Math.min(
      BACKOFF_CAP,
      MIN_ATTEMPT_INTERVAL * 2 ** this.failedAppends,
    );
    if (now < this.dueAt || now < this.attemptedAt + interval) return false;
    this.attemptedAt = now;
    this.dueAt = undefined;
    return true;
  }

  private isNeeded(now: Millis, {earliest, next}: CheckpointContext): boolean {
    const {newest, newestSeenAt} = this;
    if (newest === undefined || newestSeenAt === undefined) return true;
    if (newest.at < earliest || this.isAfterOutage) return true;
    if (now - newestSeenAt >= CHECKPOINT_INTERVAL) return true;
    // Half of the records that the log retained since then are deleted.
    return (newest.foldedTo + 1 - earliest) * 2 < next - 1 - earliest;
  }
}
