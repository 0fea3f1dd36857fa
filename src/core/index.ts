/** Identifiers, time and randomness that all other folders use. */
export * from './address.js';
export * from './chance.js';
export * from './hop_by_hop.js';
export * from './http_fields.js';
export * from './ids.js';
export * from './log.js';
export * from './log_position.js';
export * from './rendezvous.js';
export * from './segmented_buffer.js';
export * from './time.js';
