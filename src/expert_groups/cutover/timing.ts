import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';

/**
 * Lead time of a hold; the first pass to begin after it is held. A hold and
 * the armings take up to 100 ms in groups of 24 ranks, and a later pass keeps
 * the old map in use for longer.
 */
export const HOLD_LEAD_TIME: Millis = 100;
/** Maximum lead time of a hold while orders are lost. */
export const MAX_HOLD_LEAD_TIME: Millis = SECOND / 2;
/**
 * Lead time of a hold for each unit of the loss rate: the more orders are lost,
 * the more often one has to be sent before the group waits for it.
 */
export const HOLD_LEAD_TIME_PER_LOSS: Millis = 1.8 * SECOND;
/** Pass time assumed until it has been measured; that of a busy group. */
export const DEFAULT_PASS_TIME: Millis = 60;
/** Maximum margin in passes, since an idle group may begin none for long. */
export const MAX_HOLD_MARGIN = 16;
/** Age from which a report is too stale to start a switch on. */
export const MAX_REPORT_AGE: Millis = 1.2 * SECOND;
/** A switch is cancelled unless all ranks have loaded the weights by then. */
export const PREPARE_TIMEOUT: Millis = 6 * SECOND;
/** Timeout of the hold, and again of arming all ranks once it is in place. */
export const ARM_TIMEOUT: Millis = 1.5 * SECOND;
/** A hold or an arming without a coordinator is cleared after this time. */
export const ORPHAN_TIMEOUT: Millis = SECOND / 2;
/** A coordinator that cannot reach all ranks resigns after this time. */
export const RECOVERY_TIMEOUT: Millis = 4 * SECOND;
/**
 * Retry interval of an unanswered order. Engines answer within some ten
 * milliseconds, and a group that waits for one order delays all its streams.
 */
export const ORDER_RETRY_INTERVAL: Millis = 30;
