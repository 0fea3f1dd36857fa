/** Logging, metrics and the system clock. */
export * from './bounded_writer.js';
export * from './clock.js';
export * from './containment.js';
export * from './logger.js';
export * from './metrics.js';
export * from './process_end.js';
export * from './process_memory.js';
