import type {Millis, OrganisationName} from '../core/index.js';

/** A request in the queue. */
export interface PendingRequest {
  /** Latest start that is within the latency target. */
  readonly targetAt: Millis;
  /** Time at which its caller disconnects unless the request has started. */
  readonly expiresAt: Millis;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Latency target of its route; undefined if it does not matter. */
  readonly target?: Millis | undefined;
  /** Time up to which its caller may repeat it; defaults to `expiresAt`. */
  readonly deadlineAt?: Millis | undefined;
  readonly organisation?: OrganisationName | undefined;
  /** Name of its route, whose requests are compared by work. */
  readonly route?: string | undefined;
  readonly promptTokens?: number | undefined;
  /** The caller's estimate of the output, tokens. */
  readonly expectedTokens?: number | undefined;
  /** Time that the caller named as left when it sent the request. */
  readonly callerTimeout?: Millis | undefined;
  /** Bytes of its body. */
  readonly bytes?: number | undefined;
}

/** Why a request is shed from a queue. */
export type ShedReason =
  /** It can't start before its caller leaves. */
  | 'expired'
  /** Its turn would come after its caller has left. */
  | 'unreachable'
  /** The queue is full of requests whose rejection costs as much or more. */
  | 'queue_full';

/** A queued request, and what is known of its wait. */
export interface Waiting<T> {
  readonly req: T;
  readonly queuedAt: Millis;
  /** Number of requests that were ahead of it when it was queued. */
  readonly aheadAtFirst: number;
  /** Whether it repeats an attempt that was rejected. */
  readonly isRepeat: boolean;
}

/** A request that was shed. */
export interface Shed<T> extends Waiting<T> {
  readonly reason: ShedReason;
  /** Number of requests that were ahead of it. */
  readonly ahead: number;
  /** Delay until its caller may come back; undefined for the usual one. */
  readonly retryIn: Millis | undefined;
}

/** Minimum time from sending a request to its start. */
export const MIN_START_DELAY: Millis = 150;

/**
 * Returns whether a request sent now can start before it expires.
 * @param now - current time
 * @param req - the request
 */
export function canStartInTime(
  now: Millis,
  {expiresAt}: PendingRequest,
): boolean {
  return now + MIN_START_DELAY < expiresAt;
}
