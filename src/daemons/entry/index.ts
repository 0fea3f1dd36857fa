/** The entry daemon: accepts requests and forwards them to upstreams. */
export * from './entry.js';
export type {EntrySettings} from './types.js';
