import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/**
 * The pass that is held is the first to begin after this time: a hold and the
 * armings take up to 100 ms in groups of 24 ranks, and a later pass keeps the
 * old map longer.
 */
export const HOLD_LEAD_TIME: Millis = 100;
/**
 * The same while orders go unanswered, as a time: each order can be given some
 * eight times before the group has to wait for it.
 */
export const LOSSY_HOLD_LEAD_TIME: Millis = SECOND / 2;
/** A pass of a busy group, where it was not seen yet. */
export const DEFAULT_PASS_TIME: Millis = 60;
/** Passes of an idle group are not due at any time; no more than these. */
export const MAX_HOLD_MARGIN = 16;
/** A report older than this says nothing of now. */
export const MAX_REPORT_AGE: Millis = 1.2 * SECOND;
/** Weights have to be there within this time, or the change is given up. */
export const PREPARE_TIMEOUT: Millis = 6 * SECOND;
/** All ranks must be armed within this time of the hold. */
export const ARM_TIMEOUT: Millis = 1.5 * SECOND;
/** A hold or an arming that nobody knows of is cleared after this time. */
export const ORPHAN_TIMEOUT: Millis = SECOND / 2;
/** A coordinator that cannot reach all ranks steps down after this time. */
export const RECOVERY_TIMEOUT: Millis = 4 * SECOND;
