/** Two-phase switch of expert maps by orders that engines may execute late. */
export * from './choice_samples.js';
export * from './coordinator.js';
export * from './expert_lists.js';
export * from './map_patch.js';
export * from './messages.js';
export * from './popularity_estimator.js';
export {isOlderReport} from './rank_reports.js';
export * from './succession_timer.js';
export {ORDER_RETRY_INTERVAL} from './timing.js';
export * from './tokens.js';
export * from './types.js';
export type {MapLookup} from './version_fence.js';
