import type {Millis} from '../core/index.js';
import type {AttemptFailure} from './attempt_policy.js';
import type {AttemptProgress} from './attempt_progress.js';

/** Events after which a run counts as unharmed by its prompt. */
const PROGRESS_EVENTS = 2;
/**
 * Longest time from the last bytes of a run to the crash that it causes. Ranks
 * that only lose another rank of their group stall for longer than that.
 */
const MAX_CRASH_DELAY: Millis = 500;

/**
 * Returns whether a run that had begun broke off without a stall.
 * @param now - current time
 * @param progress - progress of the run
 * @param failure - how the attempt ended
 */
export function isBrokenOff(
  now: Millis,
  progress: AttemptProgress,
  failure: AttemptFailure,
): boolean {
  const idle = progress.idleTime(now);
  return (
    failure.kind === 'may_have_run' &&
    idle !== undefined &&
    idle <= MAX_CRASH_DELAY
  );
}

/**
 * Returns whether the connection of a run ended before the run made progress,
 * as it does when its upstream crashes.
 * @param progress - progress of the run
 * @param failure - how the attempt ended
 */
export function isConnectionLost(
  progress: AttemptProgress,
  failure: AttemptFailure,
): boolean {
  const isClosed = failure.kind === 'may_have_run' && failure.isClosed === true;
  return isClosed && !hasProgressed(progress);
}

/**
 * Returns whether a run has progressed far enough to clear its prompt.
 * @param progress - progress of the run
 */
export function hasProgressed(progress: AttemptProgress): boolean {
  return progress.events >= PROGRESS_EVENTS;
}

/**
 * Returns whether a failed attempt looks like a crash that the request caused:
 * the run broke off before it made progress.
 * @param now - current time
 * @param progress - progress of the run
 * @param failure - how the attempt ended
 */
export function isCrashAtStart(
  now: Millis,
  progress: AttemptProgress,
  failure: AttemptFailure,
): boolean {
  return isBrokenOff(now, progress, failure) && !hasProgressed(progress);
}
