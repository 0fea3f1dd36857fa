/** Choice of the upstream for a call. */
export * from './messages.js';
export * from './replica_policy.js';
export * from './types.js';
