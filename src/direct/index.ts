/** Policies of an entry that sends requests directly to the upstreams. */
export * from './attempt_policy.js';
export * from './dialect.js';
export * from './event_frames.js';
export * from './stream_delivery.js';
export * from './group_circuit_breaker.js';
export * from './keyed_table.js';
export * from './load_tracker.js';
export * from './placement.js';
export * from './shared_retry_budget.js';
export * from './relay_buffer.js';
export * from './route_table.js';
export * from './concurrency_limiter.js';
export * from './stream_limiter.js';
export * from './types.js';
export * from './upstream_table.js';
export * from './pending_queue.js';
export * from './zone_reader_selector.js';
