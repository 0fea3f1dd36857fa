/** Membership: which processes exist and which of them accept new work. */
export * from './departures.js';
export * from './dial_set.js';
export * from './member_table.js';
export * from './messages.js';
export * from './self_listing.js';
export * from './types.js';
