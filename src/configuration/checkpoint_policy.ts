import {MINUTE, SECOND} from '../core/index.js';
import type {Chance, Millis, Offset} from '../core/index.js';

/** A checkpoint is repeated this often, however quiet the stream is. */
const EVERY: Millis = 10 * MINUTE;
/** Writers wait up to this long, so that most see another's first. */
const SPREAD: Millis = 5 * SECOND;
/** An outage this long is followed by a checkpoint. */
const LONG_OUTAGE: Millis = MINUTE;
/** Least time between two tries of one process. */
const LEAST_BETWEEN: Millis = 10 * SECOND;
const BACKOFF_CAP: Millis = 2 * MINUTE;

/** What a writer knows of the log when it decides. */
export interface CheckpointView {
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
  private seenAt: Millis | undefined;
  private plannedFor: Millis | undefined;
  private triedAt = -Infinity;
  private failures = 0;
  private afterOutage = false;

  /** @param chance - spreads the writers */
  constructor(private readonly chance: Chance) {}

  /**
   * A checkpoint stands in the log, whoever wrote it.
   * @param now - present time
   * @param at - its offset
   * @param foldedTo - what it includes
   */
  seen(now: Millis, at: Offset, foldedTo: Offset): void {
    // One that does not include what the newest does brings nothing.
    if (this.newest !== undefined && foldedTo < this.newest.foldedTo) return;
    this.newest = {at, foldedTo};
    this.seenAt = now;
    this.failures = 0;
    this.afterOutage = false;
    this.plannedFor = undefined;
  }

  /**
   * The log answers again.
   * @param outage - how long it did not, ms
   */
  recovered(outage: Millis): void {
    if (outage >= LONG_OUTAGE) this.afterOutage = true;
  }

  /** An append brought no answer; it may be in the log all the same. */
  failed(): void {
    this.failures += 1;
  }

  /**
   * Decides whether to append a checkpoint now.
   * @param now - present time
   * @param view - the log, all of it folded by this process
   */
  due(now: Millis, view: CheckpointView): boolean {
    if (!this.isWanted(now, view)) {
      this.plannedFor = undefined;
      return false;
    }
    this.plannedFor ??= now + this.chance.fraction() * SPREAD;
    const between = Math.min(BACKOFF_CAP, LEAST_BETWEEN * 2 ** this.failures);
    if (now < this.plannedFor || now < this.triedAt + between) return false;
    this.triedAt = now;
    this.plannedFor = undefined;
    return true;
  }

  private isWanted(now: Millis, {earliest, next}: CheckpointView): boolean {
    const {newest, seenAt} = this;
    if (newest === undefined || seenAt === undefined) return true;
    if (newest.at < earliest || this.afterOutage) return true;
    if (now - seenAt >= EVERY) return true;
    // Half of what the log keeps since then is gone.
    return (newest.foldedTo + 1 - earliest) * 2 < next - 1 - earliest;
  }
}
