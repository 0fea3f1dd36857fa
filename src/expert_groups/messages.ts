import {z} from 'zod';

import {
  groupName,
  mapVersion,
  rank,
  rankIncarnation,
  step,
  term,
} from './types.js';

const MAX_LAYERS = 512;
const group = {group: groupName};
/** Sequence number of an order in its term; retries keep it. */
const seq = z.int().nonnegative();
/** Fields of an order; `to` is the rank incarnation that it is meant for. */
const order = {...group, term, seq, to: rankIncarnation};
const bytes = z.instanceof(Uint8Array);

/** A decided map switch whose step has not been reached. */
const pending = z.strictObject({
  /** The map in use until that step. */
  from: mapVersion,
  step,
});
export type PendingSwitch = z.output<typeof pending>;

/** Announces the rank of a sidecar. */
const hello = z.strictObject({type: z.literal('group_hello'), ...group, rank});

/** Claims a term and requests a report from a rank. */
const inquire = z.strictObject({
  type: z.literal('group_inquire'),
  ...group,
  term,
});

/** Report of a rank's sidecar, in answer to an inquiry. */
const report = z.strictObject({
  type: z.literal('group_report'),
  ...group,
  term,
  rank,
  incarnation: rankIncarnation,
  /** The map in use, or the one decided on; null when it has none. */
  map: mapVersion.nullable(),
  step,
  pending: pending.nullable(),
  /** The set of engines that run steps with the rank's engine. */
  communicator: z.string().max(100),
});

/** Rejects an order: the term is outdated or owned by another coordinator. */
const stale = z.strictObject({
  type: z.literal('group_stale'),
  ...group,
  /** The rejected term. */
  refused: term,
  /** The highest term accepted by the rank. */
  term,
});

/** Orders a rank to load the weights of a map in addition to those in use. */
const stage = z.strictObject({
  type: z.literal('group_stage'),
  ...order,
  map: mapVersion,
});

/** Requests the placement of a map. */
const fetchMap = z.strictObject({
  type: z.literal('group_fetch_map'),
  ...group,
  map: mapVersion,
});

/** Placement of a map. */
const mapContent = z.strictObject({
  type: z.literal('group_map'),
  ...group,
  map: mapVersion,
  slotsPerRank: z.int().positive(),
  /** Experts by rank and slot, two bytes each, one item per layer. */
  layers: z.array(bytes).max(MAX_LAYERS),
});

/** Orders a rank to hold before `step` until a decision (prepare phase). */
const prepare = z.strictObject({
  type: z.literal('group_prepare'),
  ...order,
  from: mapVersion,
  map: mapVersion,
  step,
});

/** Decision: the rank uses `map`, from its hold on if it has one. */
const decide = z.strictObject({
  type: z.literal('group_decide'),
  ...order,
  map: mapVersion,
  /** For a rank without a map that joins before the step of a switch. */
  pending: pending.nullable(),
});

const answer = {
  ...group,
  term,
  /** Sequence number of the answered order. */
  seq,
  rank,
  incarnation: rankIncarnation,
  map: mapVersion,
  /** Latest started step; in a promise, the step of the hold. */
  step,
};

/** The weights of the map are loaded. */
const staged = z.strictObject({type: z.literal('group_staged'), ...answer});

/** The engine holds at `step` until it receives the decision. */
const promised = z.strictObject({
  type: z.literal('group_promised'),
  ...answer,
});

/** Reasons for which a rank cannot execute an order. */
export const UNABLE_REASONS = [
  'step_passed',
  'other_map',
  'undecided',
  'inconsistent',
] as const;
export type UnableReason = (typeof UNABLE_REASONS)[number];

/** The rank cannot execute the order. */
const unable = z.strictObject({
  type: z.literal('group_unable'),
  ...answer,
  reason: z.enum(UNABLE_REASONS),
});

/** The engine uses the decided map, or will from its hold on. */
const settled = z.strictObject({type: z.literal('group_settled'), ...answer});

/** Load counted by a rank's engine over a range of steps. */
const load = z.strictObject({
  type: z.literal('group_load'),
  ...group,
  rank,
  fromStep: step,
  toStep: step,
  busyMs: z.number().nonnegative(),
  /** Tokens of each slot, four bytes each (float), one item per layer. */
  tokens: z.array(bytes).max(MAX_LAYERS),
});

/** Messages between the sidecars of a group of ranks. */
export const groupMessages = [
  hello,
  load,
  inquire,
  report,
  stale,
  stage,
  fetchMap,
  mapContent,
  prepare,
  decide,
  staged,
  promised,
  unable,
  settled,
] as const;
export type GroupMessage = z.output<(typeof groupMessages)[number]>;

/** Orders from a coordinator to a rank. */
export type RankOrder = Extract<
  GroupMessage,
  {type: 'group_inquire' | 'group_stage' | 'group_prepare' | 'group_decide'}
>;
/** Answers from a rank to a coordinator. */
export type RankAnswer = Extract<
  GroupMessage,
  {
    type:
      | 'group_report'
      | 'group_stale'
      | 'group_staged'
      | 'group_promised'
      | 'group_unable'
      | 'group_settled';
  }
>;
