/** Who may run: organisations at the entry, calls at the upstream. */
export * from './adaptive_concurrency.js';
export * from './admission_queue.js';
export * from './drain_rate.js';
export * from './fair_queue.js';
export * from './organisation_directory.js';
export * from './messages.js';
export * from './shared_limits.js';
export * from './prefill_estimate.js';
export * from './types.js';
