import type {Chance} from '../../../core/index.js';
import {ConcurrencyLimiter, StreamLimiter} from '../../../direct/index.js';
import type {GroupKey} from '../../../direct/index.js';

/** Limits on the requests of this entry at one group. */
export interface GroupLimiter {
  /** On requests that have not started. */
  readonly starts: ConcurrencyLimiter;
  /** On all requests. */
  readonly streams: StreamLimiter;
}

/** Limits on the requests of this entry, per group. */
export class GroupLimiters {
  private readonly limiters = new Map<GroupKey, GroupLimiter>();

  /**
   * @param entryCount - returns the number of entries that send to a group
   * @param chance - rounds limits
   */
  constructor(
    private readonly entryCount: () => number,
    private readonly chance: Chance,
  ) {}

  /**
   * Returns the limits at a group, which are created on first use.
   * @param group - the group
   */
  of(group: GroupKey): GroupLimiter {
    let limiter = this.limiters.get(group);
    if (limiter === undefined) {
      limiter = {
        starts: new ConcurrencyLimiter(this.entryCount),
        streams: new StreamLimiter(this.chance),
      };
      this.limiters.set(group, limiter);
    }
    return limiter;
  }

  /**
   * Returns the limits at a group if it has been used.
   * @param group - the group
   */
  find(group: GroupKey): GroupLimiter | undefined {
    return this.limiters.get(group);
  }

  /** Returns all groups that have been used. */
  entries(): Iterable<[GroupKey, GroupLimiter]> {
    return this.limiters.entries();
  }
}
