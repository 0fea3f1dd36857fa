import {MINUTE, SECOND} from '../core/index.js';
import type {Chance, Millis, Offset} from '../core/index.js';

/** A checkpoint is repeated this often, however quiet the stream is. */
const CHECKPOINT_INTERVAL: Millis = 10 * MINUTE;
/** Writers wait up to this long, so that most see another's first. */
const MAX_JITTER: Millis = 5 * SECOND;
/** An outage this long is followed by a checkpoint. */
const LONG_OUTAGE: Millis = MINUTE;
/** Least time between two tries of one process. */
const MIN_ATTEMPT_INTERVAL: Millis = 10 * SECOND;
const BACKOFF_CAP: Millis = 2 * MINUTE;

/** What a writer knows of the log when it decides. */
export interface CheckpointContext {
  readonly earliest: Offset;
  readonly next: Offset;
  readonly foldedTo: Offset;
}

/**
 * Decides when to append a checkpoint. Any number of processes may follow it
 * at once: a checkpoint too many does no harm.
 */
export class CheckpointPolicy {
  private newest: {at: Offset; foldedTo: Offset} | undefined;
  private newestSeenAt: Millis | undefined;
  private dueAt: Millis | undefined;
  private attemptedAt = -Infinity;
  private failedAppends = 0;
  private isAfterOutage = false;

  /** @param chance - spreads the writers */
  constructor(private readonly chance: Chance) {}

  /**
   * A checkpoint stands in the log, whoever wrote it.
   * @param now - present time
   * @param at - its offset
   * @param foldedTo - what it includes
   */
  onCheckpoint(now: Millis, at: Offset, foldedTo: Offset): void {
    // One that does not include what the newest does brings nothing.
    if (this.newest !== undefined && foldedTo < this.newest.foldedTo) return;
    this.newest = {at, foldedTo};
    this.newestSeenAt = now;
    this.failedAppends = 0;
    this.isAfterOutage = false;
    this.dueAt = undefined;
  }

  /**
   * The log answers again.
   * @param outage - how long it did not, ms
   */
  onRecovered(outage: Millis): void {
    if (outage >= LONG_OUTAGE) this.isAfterOutage = true;
  }

  /** An append brought no answer; it may be in the log all the same. */
  onAppendFailed(): void {
    this.failedAppends += 1;
  }

  /**
   * Decides whether to append a checkpoint now.
   * @param now - present time
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
    // Half of what the log keeps since then is gone.
    return (newest.foldedTo + 1 - earliest) * 2 < next - 1 - earliest;
  }
}
