/** Bound on the requests of all entries together to cold upstreams. */
export {ColdStartBound} from './cold_start_bound.js';
export type {ColdCause, ColdPhase} from './cold_start_bound.js';
export type {EntryView, SharePhase} from './permit_owners.js';
export {DEFAULT_COLD_RATE_BOUND} from './permit_timing.js';
export type {ColdRateBound} from './permit_timing.js';
