/** Groups of ranks in lock-step and their expert maps. */
export * from './messages.js';
export * from './term_guard.js';
export * from './types.js';
