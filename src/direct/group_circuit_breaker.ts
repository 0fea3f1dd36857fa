import type {Chance, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/**
 * A request is let through to a fallen group this often, to find out whether
 * it has formed again. All entries do so, so the group hears it more often.
 */
const PROBE_INTERVAL: Millis = 0.4 * SECOND;

/** Ranks that step together, or a service whose groups are not known. */
export type GroupKey = string;

interface Outage {
  readonly since: Millis;
  probedAt: Millis;
}

/**
 * Circuit breaker by group. All ranks of a group fail and recover together, so
 * one rejection that blames another rank opens it for all of them; probes close
 * it again. Load that it answers: a rank is partitioned, and every request
 * would go to a rank that can only reject it.
 */
export class GroupCircuitBreaker {
  private readonly outages = new Map<GroupKey, Outage>();

  /**
   * A rank refused because another one is missing, or stalled.
   * @param now - present time
   * @param group - its group
   * @returns whether that was news
   */
  markUnavailable(now: Millis, group: GroupKey): boolean {
    const known = this.outages.get(group);
    if (known !== undefined) return false;
    this.outages.set(group, {since: now, probedAt: now});
    return true;
  }

  /**
   * A rank began to answer a request that was sent after the fall.
   * @param group - its group
   * @param sentAt - when that request was sent
   * @returns whether that was news
   */
  markAvailable(group: GroupKey, sentAt: Millis): boolean {
    const known = this.outages.get(group);
    if (known === undefined || sentAt < known.since) return false;
    return this.outages.delete(group);
  }

  /**
   * Whether a request may be sent to a group: always while it runs, and as a
   * probe now and then while it does not.
   * @param now - present time
   * @param group - the group
   */
  allowsRequest(now: Millis, group: GroupKey): boolean {
    const fall = this.outages.get(group);
    return fall === undefined || now - fall.probedAt >= PROBE_INTERVAL;
  }

  /**
   * A request is sent to a group.
   * @param now - present time
   * @param group - the group
   */
  recordRequest(now: Millis, group: GroupKey): void {
    const fall = this.outages.get(group);
    if (fall !== undefined) fall.probedAt = now;
  }

  /**
   * Whether a group is down.
   * @param group - the group
   */
  isUnavailable(group: GroupKey): boolean {
    return this.outages.has(group);
  }

  /**
   * How long a group has been down.
   * @param now - present time
   * @param group - the group
   */
  downtime(now: Millis, group: GroupKey): Millis {
    const fall = this.outages.get(group);
    return fall === undefined ? 0 : now - fall.since;
  }
}

/** Callers honour a time to come back up to this part of what they have. */
const RETRY_AFTER_FRACTION = 1 / 3;
/** An upstream that is full has room again after about this time. */
const BUSY_RETRY_AFTER: Millis = 0.4 * SECOND;
/** Callers come back spread over this part of the time that they are told. */
const JITTER_FRACTION = 0.4;

/** Why a request was refused, as far as coming back goes. */
export type RejectionCause = 'busy' | 'group_down' | 'not_ready';

/**
 * Retry-After for a rejected request, with jitter and within what callers
 * honour. A group needs seconds to recover, so its callers get the latest time
 * that they honour.
 * @param cause - why it was rejected
 * @param timeLeft - time until the caller's deadline
 * @param chance - jitter
 * @param earliest - time before which no upstream takes requests, if known
 */
export function retryAfter(
  cause: RejectionCause,
  timeLeft: Millis,
  chance: Chance,
  earliest: Millis = 0,
): Millis {
  const latest = Math.max(0, timeLeft) * RETRY_AFTER_FRACTION;
  const usual = cause === 'busy' ? Math.min(BUSY_RETRY_AFTER, latest) : latest;
  const spread = JITTER_FRACTION * chance.fraction();
  return Math.max(usual * (1 - spread), earliest * (1 + spread));
}
