/** The daemon in front of callers. */
export * from './entry.js';
export type {EntrySettings} from './types.js';
