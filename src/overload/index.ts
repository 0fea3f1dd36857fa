/** Policy of an entry's queue: who waits and who is rejected in overload. */
export {OverloadQueue, QUEUE_BOUNDS} from './overload_queue.js';
export {MIN_START_DELAY, canStartInTime} from './pending_request.js';
export type {
  PendingRequest,
  Shed,
  ShedReason,
  Waiting,
} from './pending_request.js';
export {PriorityIndex, hasUnequalPriorities} from './priority_rule.js';
export type {PriorityRules} from './priority_rule.js';
export {RepeatDetector} from './repeat_detector.js';
export {RetrySchedule} from './retry_schedule.js';
