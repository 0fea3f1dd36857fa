/** Which processes are there and which of them take new work. */
export * from './departures.js';
export * from './dial_set.js';
export * from './member_table.js';
export * from './messages.js';
export * from './self_listing.js';
export * from './types.js';
