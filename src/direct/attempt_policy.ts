import type {HealthOutcome} from './load_tracker.js';
import type {Route} from './types.js';

/** How an attempt at an upstream ended without a whole answer. */
export type AttemptFailure =
  /** Nothing left this process, or the upstream says that it did not run. */
  | {readonly kind: 'not_run'; readonly reason: NotRunReason}
  /** It may have run, or still be running. */
  | {readonly kind: 'may_have_run'; readonly reason: string}
  /** The upstream answered that it ran the request and failed. */
  | {readonly kind: 'failed_answer'; readonly status: number};

export type NotRunReason =
  | 'unreachable'
  | 'busy'
  | 'group_down'
  | 'wrong_upstream'
  | 'deadline_in_queue';

/** What this entry knows when an attempt has failed. */
export interface AttemptState {
  readonly route: Route;
  /** Upstreams that the request was sent to. */
  readonly attempts: number;
  /** Whether some attempt may have run, the last one aside. */
  readonly mayHaveRunBefore: boolean;
  /** Whether the caller has got a part of the answer. */
  readonly isStarted: boolean;
}

/** What is to be done after a failed attempt. */
export type FailureAction =
  /** Send it to another upstream, if there is one and the budget allows. */
  | 'try_another'
  /** Pass the upstream's own failure on. */
  | 'pass_failure'
  /** Tell the caller that it has not run. */
  | 'refuse'
  /** Tell the caller that it may have run. */
  | 'fail';

/**
 * Decides what follows a failed attempt. A request that may run once at most
 * is sent again only on proof that it has not run; a stream only where it may
 * be resumed, or before anything may have run.
 * @param situation - the request so far
 * @param failure - how the last attempt ended
 */
export function actionAfterFailure(
  {route, attempts, mayHaveRunBefore, isStarted: started}: AttemptState,
  failure: AttemptFailure,
): FailureAction {
  const isRepeatable =
    route.repeat === 'idempotent' ||
    (route.repeat === 'stream' && route.resumable);
  const isSafe = failure.kind === 'not_run' && !mayHaveRunBefore;
  if ((isRepeatable || isSafe) && attempts < route.maxAttempts) {
    return 'try_another';
  }
  return finalAction({mayHaveRunBefore, isStarted: started}, failure);
}

/**
 * What to tell the caller when no further attempt is made.
 * @param situation - the request so far
 * @param failure - how the last attempt ended
 */
export function finalAction(
  {
    mayHaveRunBefore,
    isStarted: started,
  }: Pick<AttemptState, 'mayHaveRunBefore' | 'isStarted'>,
  failure: AttemptFailure,
): Exclude<FailureAction, 'try_another'> {
  if (started) return 'fail';
  if (failure.kind === 'failed_answer') return 'pass_failure';
  if (failure.kind === 'not_run' && !mayHaveRunBefore) return 'refuse';
  return 'fail';
}

/**
 * What a failed attempt tells of its upstream.
 * @param failure - how it ended
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
