/** Who may run: organisations at the entry, calls at the upstream. */
export * from './admission_queue.js';
export * from './organisation_directory.js';
export * from './organisation_limits.js';
export * from './types.js';
