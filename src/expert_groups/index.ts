/** Lock-step groups of ranks and their expert maps. */
export * from './coordinator.js';
export * from './coordinator_types.js';
export * from './cutover/index.js';
export * from './expert_map.js';
export * from './layer_plan.js';
export * from './load_estimator.js';
export * from './messages.js';
export * from './planner.js';
export * from './staged_planner.js';
export * from './rank_member.js';
export * from './term_guard.js';
export * from './types.js';
