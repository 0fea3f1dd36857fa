import type {Chance, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/**
 * Minimum time between two probes of an unavailable group. Each entry probes
 * independently; a group that recovers waits this long for its requests.
 */
const PROBE_INTERVAL: Millis = 0.1 * SECOND;
/** A probe without an outcome for this long no longer prevents the next. */
const PROBE_TIMEOUT: Millis = 0.4 * SECOND;

/** Group of ranks that step together, or a service whose groups are unknown. */
export type GroupKey = string;

interface Outage {
  readonly since: Millis;
  probedAt: Millis;
  isProbing: boolean;
  /** Whether probes remain without an outcome, as at stalled ranks. */
  isSilent: boolean;
}

/**
 * Circuit breaker per group. All ranks of a group fail and recover together, so
 * one rejection that blames another rank opens the circuit for all of them;
 * successful probes close it. Without it, a partitioned rank would make every
 * request go to a rank that can only reject it.
 */
export class GroupCircuitBreaker {
  private readonly outages = new Map<GroupKey, Outage>();

  /**
   * Opens the circuit: a rank rejected a request because another one is missing
   * or stalled.
   * @param now - current time
   * @param group - group of the rank
   * @returns whether the group was available before
   */
  markUnavailable(now: Millis, group: GroupKey): boolean {
    const known = this.outages.get(group);
    if (known !== undefined) {
      known.isProbing = false;
      known.isSilent = false;
      return false;
    }
    const probe = {probedAt: now, isProbing: false, isSilent: false};
    this.outages.set(group, {since: now, ...probe});
    return true;
  }

  /**
   * Closes the circuit if a rank responded to a request that was sent after the
   * group became unavailable.
   * @param group - group of the rank
   * @param sentAt - time at which that request was sent
   * @returns whether the group was unavailable before
   */
  markAvailable(group: GroupKey, sentAt: Millis): boolean {
    const known = this.outages.get(group);
    if (known === undefined || sentAt < known.since) return false;
    return this.outages.delete(group);
  }

  /**
   * Returns whether a request may be sent to a group: always while the circuit
   * is closed, and as the only probe while it is open.
   * @param now - current time
   * @param group - the group
   */
  allowsRequest(now: Millis, group: GroupKey): boolean {
    const outage = this.outages.get(group);
    if (outage === undefined) return true;
    const elapsed = now - outage.probedAt;
    return elapsed >= (outage.isProbing ? PROBE_TIMEOUT : PROBE_INTERVAL);
  }

  /**
   * Returns whether a group is about to recover: it rejected the last probe but
   * has not rejected the present one, while rejections take a few milliseconds.
   * Requests wait for the outcome meanwhile.
   * @param now - current time
   * @param group - the group
   */
  isRecovering(now: Millis, group: GroupKey): boolean {
    const outage = this.outages.get(group);
    return (
      outage !== undefined &&
      outage.isProbing &&
      !outage.isSilent &&
      now - outage.probedAt < PROBE_TIMEOUT
    );
  }

  /**
   * Records that a request is sent to a group; it is a probe if the circuit is
   * open.
   * @param now - current time
   * @param group - the group
   */
  recordRequest(now: Millis, group: GroupKey): void {
    const outage = this.outages.get(group);
    if (outage === undefined) return;
    outage.isSilent ||= outage.isProbing;
    outage.isProbing = true;
    outage.probedAt = now;
  }

  /**
   * Records that a request to a group ended before it started.
   * @param group - the group
   */
  recordEndedUnstarted(group: GroupKey): void {
    const outage = this.outages.get(group);
    if (outage !== undefined) outage.isProbing = false;
  }

  /**
   * Returns whether the circuit of a group is open.
   * @param group - the group
   */
  isUnavailable(group: GroupKey): boolean {
    return this.outages.has(group);
  }

  /**
   * Returns how long a group has been unavailable; 0 if it is available.
   * @param now - current time
   * @param group - the group
   */
  downtime(now: Millis, group: GroupKey): Millis {
    const outage = this.outages.get(group);
    return outage === undefined ? 0 : now - outage.since;
  }
}

/** Callers honour a Retry-After up to this fraction of their remaining time. */
const RETRY_AFTER_FRACTION = 1 / 3;
/** A full upstream usually has capacity again after this time. */
const BUSY_RETRY_AFTER: Millis = 0.4 * SECOND;
/** Fraction of Retry-After over which retries to busy upstreams are spread. */
const BUSY_JITTER = 0.4;
/**
 * The same for a group that is down. Its callers are rejected as they arrive,
 * so their retries are spread already, and an early one misses the recovery.
 */
const GROUP_DOWN_JITTER = 0.1;

/** Reason for a rejection, as far as it affects Retry-After. */
export type RejectionCause = 'busy' | 'group_down' | 'not_ready';

/**
 * Returns the Retry-After of a rejected request, with jitter and within what
 * callers honour. A group needs seconds to recover, so its callers get the
 * longest delay that they honour.
 * @param cause - reason for the rejection
 * @param timeLeft - time until the caller's deadline
 * @param chance - source of the jitter
 * @param earliest - delay before any upstream accepts requests, if known
 */
export function retryAfter(
  cause: RejectionCause,
  timeLeft: Millis,
  chance: Chance,
  earliest: Millis = 0,
): Millis {
  const latest = Math.max(0, timeLeft) * RETRY_AFTER_FRACTION;
  const usual = cause === 'busy' ? Math.min(BUSY_RETRY_AFTER, latest) : latest;
  const jitter = cause === 'group_down' ? GROUP_DOWN_JITTER : BUSY_JITTER;
  const spread = jitter * chance.fraction();
  return Math.max(usual * (1 - spread), earliest * (1 + spread));
}
