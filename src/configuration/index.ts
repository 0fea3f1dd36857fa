/** The configuration text, its checks and its history. */
export * from './history.js';
export * from './messages.js';
export * from './parse.js';
export * from './records.js';
export {PRIORITIES, SCHEMA_VERSION, configurationSchema} from './schema.js';
export * from './types.js';
