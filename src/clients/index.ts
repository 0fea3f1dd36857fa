/** Clients of the platform's services and of the rank engines. */
export * from './bounded_body.js';
export * from './log_client.js';
export * from './text_compression.js';
export * from './vm_list_client.js';
export * from './rank_engine_client.js';
export * from './weight_store_client.js';
export * from './keyed_store.js';
export * from './rank_client.js';
export * from './time_limit.js';
