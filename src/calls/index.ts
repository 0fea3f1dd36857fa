/** Calls: their states, outcomes and messages. */
export * from './call_ledger.js';
export * from './claim_batcher.js';
export * from './claim_registry.js';
export * from './claim_records.js';
export * from './entry_call.js';
export * from './entry_messages.js';
export * from './replay_buffer.js';
export * from './keys.js';
export * from './ledger_entry.js';
export * from './messages.js';
export * from './not_run_proof.js';
export * from './resolve.js';
export * from './types.js';
