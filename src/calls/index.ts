/** Calls: their states, outcomes and messages. */
export * from './call_ledger.js';
export * from './entry_call.js';
export * from './messages.js';
export * from './not_run_proof.js';
export * from './resolve.js';
export * from './types.js';
