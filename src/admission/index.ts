/** Admission control: organisation limits at entries, queues at upstreams. */
export * from './adaptive_concurrency.js';
export * from './admission_queue.js';
export * from './body_admission.js';
export * from './caller_memory.js';
export * from './chunk_meter.js';
export * from './drain_rate.js';
export * from './fair_queue.js';
export * from './incoming_body.js';
export * from './open_calls.js';
export * from './organisation_directory.js';
export * from './limit_types.js';
export * from './messages.js';
export * from './shared_limits.js';
export * from './prefill_estimate.js';
export * from './types.js';
