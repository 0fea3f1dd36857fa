/** Groups of ranks in lock-step and their expert maps. */
export * from './coordinator.js';
export * from './coordinator_types.js';
export * from './messages.js';
export * from './rank_member.js';
export * from './term_guard.js';
export * from './types.js';
