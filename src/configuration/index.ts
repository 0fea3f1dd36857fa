/** The configuration text, its checks and its history. */
export * from './history.js';
export {configurationJsonSchema} from './json_schema.js';
export * from './messages.js';
export * from './parse.js';
export * from './records.js';
export {
  MAX_BODY_BYTES,
  PRIORITIES,
  SCHEMA_VERSION,
  configurationSchema,
} from './schema.js';
export * from './types.js';
