/**
 * baobabspan as a library: the daemons, and the aggregates that decide.
 * @packageDocumentation
 */
export * from './admission/index.js';
export * from './calls/index.js';
export * from './configuration/index.js';
export * from './core/index.js';
export * from './daemons/entry/index.js';
export * from './daemons/sidecar/index.js';
export * from './errors/index.js';
export * from './expert_groups/index.js';
export * from './membership/index.js';
export * from './observability/index.js';
export * from './clients/index.js';
export * from './routing/index.js';
export {PROGRAM_VERSION} from './version.js';
