/** Load balancing: selects the upstream of each call. */
export * from './affinity_policy.js';
export * from './bulkhead.js';
export * from './cache_event_batcher.js';
export * from './first_token_policy.js';
export * from './messages.js';
export * from './outlier_detector.js';
export * from './prefix_index.js';
export * from './prompt_prefix.js';
export * from './replica_tracker.js';
export * from './replica_policy.js';
export * from './retry_budget.js';
export * from './router.js';
export * from './types.js';
