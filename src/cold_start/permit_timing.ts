import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {RequestRate} from '../direct/index.js';

/** Bound on the requests to a cold upstream, relative to its rate. */
export interface ColdRateBound {
  /** Factor of the rate that the upstream takes. */
  readonly factor: number;
  /** Number of requests beyond that in any second. */
  readonly slack: number;
}

/** Bound of an estate that names none: the rate itself. */
export const DEFAULT_COLD_RATE_BOUND: ColdRateBound = {factor: 1, slack: 0};

/** Begin and validity of the permits of one upstream. */
export interface PermitTiming {
  /** Time between the begins of two permits; Infinity if there are none. */
  readonly spacing: Millis;
  /** Time for which a permit may be used. */
  readonly validity: Millis;
}

/** Window in which the bound holds. */
const WINDOW: Millis = SECOND;
/** Spread of the entries' clocks, and of the times in which requests arrive. */
const TIMING_SPREAD: Millis = 200;
/** Part of the bound that is left for entries that know different entries. */
const VIEW_MARGIN = 1.2;
/** Requests are sent on events of the process, and by a timer of 50 ms. */
const MIN_VALIDITY: Millis = 100;
const MAX_VALIDITY: Millis = 500;
/** Bounds the search for the next own permit, whatever rate is configured. */
const MIN_SPACING: Millis = 1;

/**
 * Derives the timing of permits. Permits that overlap with a window, widened by
 * the spread of times, stay within the bound.
 * @param rate - rate that the upstream takes
 * @param bound - bound on the requests of all entries in a second
 */
export function permitTiming(
  rate: RequestRate,
  {factor, slack}: ColdRateBound,
): PermitTiming {
  const most = Math.floor(rate * factor + slack);
  if (!(rate > 0) || most < 1) return {spacing: Infinity, validity: 0};
  const usable = most / VIEW_MARGIN;
  const narrowest = (WINDOW + MIN_VALIDITY + TIMING_SPREAD) / usable;
  const spacing = Math.max(MIN_SPACING, SECOND / rate, narrowest);
  const validity = usable * spacing - WINDOW - TIMING_SPREAD;
  return {spacing, validity: Math.min(MAX_VALIDITY, validity)};
}
