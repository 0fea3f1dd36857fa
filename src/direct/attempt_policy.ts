import type {HealthOutcome} from './load_tracker.js';
import type {Route} from './types.js';

/** Failure of an attempt: it ended without a complete response. */
export type AttemptFailure =
  /** Nothing was sent, or the upstream reports that the request did not run. */
  | {readonly kind: 'not_run'; readonly reason: NotRunReason}
  /** The request may have run, or may still be running. */
  | {
      readonly kind: 'may_have_run';
      readonly reason: string;
      /** Whether the connection ended, rather than this entry's patience. */
      readonly isClosed?: boolean;
    }
  /** The upstream ran the request and responded with an error. */
  | {readonly kind: 'failed_answer'; readonly status: number};

export type NotRunReason =
  | 'unreachable'
  /** This process was held up until its connection came too late. */
  | 'held_up'
  /** The zone was evacuated while its connection was being opened. */
  | 'evacuated'
  | 'busy'
  | 'group_down'
  | 'wrong_upstream'
  | 'deadline_in_queue';

/** State of a request when an attempt has failed. */
export interface AttemptState {
  readonly route: Route;
  /** Number of upstreams that the request was sent to. */
  readonly attempts: number;
  /** Whether an attempt before the last one may have run. */
  readonly mayHaveRunBefore: boolean;
  /** Whether the caller has received part of the response. */
  readonly isStarted: boolean;
}

/** Action after a failed attempt. */
export type FailureAction =
  /** Retry on another upstream, if there is one and the budget allows. */
  | 'try_another'
  /** Forward the upstream's error response. */
  | 'pass_failure'
  /** Respond that the request has not run. */
  | 'refuse'
  /** Respond that the request may have run. */
  | 'fail';

/**
 * Decides the action after a failed attempt. An at-most-once request is retried
 * only on proof that it has not run; a stream only if it is resumable, or
 * before anything may have run.
 * @param state - state of the request
 * @param failure - how the last attempt ended
 */
export function actionAfterFailure(
  {route, attempts, mayHaveRunBefore, isStarted}: AttemptState,
  failure: AttemptFailure,
): FailureAction {
  const isRetryable =
    route.repeat === 'idempotent' ||
    (route.repeat === 'stream' && route.resumable);
  const hasNotRun = failure.kind === 'not_run' && !mayHaveRunBefore;
  if ((isRetryable || hasNotRun) && attempts < route.maxAttempts) {
    return 'try_another';
  }
  return finalAction({mayHaveRunBefore, isStarted}, failure);
}

/**
 * Returns the action when no further attempt is made.
 * @param state - state of the request
 * @param failure - how the last attempt ended
 */
export function finalAction(
  {
    mayHaveRunBefore,
    isStarted,
  }: Pick<AttemptState, 'mayHaveRunBefore' | 'isStarted'>,
  failure: AttemptFailure,
): Exclude<FailureAction, 'try_another'> {
  if (isStarted) return 'fail';
  if (failure.kind === 'failed_answer') return 'pass_failure';
  if (failure.kind === 'not_run' && !mayHaveRunBefore) return 'refuse';
  return 'fail';
}

/**
 * Returns the health outcome of a failed attempt for its upstream.
 * @param failure - how the attempt ended
 */
export function healthOutcomeOf(failure: AttemptFailure): HealthOutcome {
  switch (failure.kind) {
    case 'not_run':
      return failure.reason === 'unreachable' ? 'unreachable' : 'neutral';
    case 'may_have_run':
    case 'failed_answer':
      return 'bad';
  }
}
