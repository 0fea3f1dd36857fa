/** The configuration text, its checks and its history. */
export * from './checkpoint_policy.js';
export * from './configuration_node.js';
export * from './delta.js';
export * from './history.js';
export {configurationJsonSchema} from './json_schema.js';
export * from './log_follower.js';
export * from './messages.js';
export * from './node_types.js';
export * from './parse.js';
export * from './records.js';
export {
  MAX_BODY_BYTES,
  PRIORITIES,
  SCHEMA_VERSION,
  configurationSchema,
} from './schema.js';
export * from './relay_topology.js';
export * from './state_codec.js';
export * from './text_parser.js';
export * from './types.js';
