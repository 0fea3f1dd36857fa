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
/** Counts the orders of one term; repeats of an order have its number. */
const seq = z.int().nonnegative();
/** An order names the life of the rank that it was decided with. */
const order = {...group, term, seq, to: rankIncarnation};
const bytes = z.instanceof(Uint8Array);

/** A decided change whose step has not come. */
const pending = z.strictObject({
  /** The map in use until then. */
  from: mapVersion,
  step,
});
export type PendingSwitch = z.output<typeof pending>;

/** Says which rank a sidecar is of. */
const hello = z.strictObject({type: z.literal('group_hello'), ...group, rank});

/** A coordinator asks a rank which map it runs on, and claims a term. */
const inquire = z.strictObject({
  type: z.literal('group_inquire'),
  ...group,
  term,
});

/** The answer of a rank's sidecar. */
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
  /** The set of engines that the rank's engine steps with. */
  communicator: z.string().max(100),
});

/** The rank knows a higher term, or another coordinator with this one. */
const stale = z.strictObject({
  type: z.literal('group_stale'),
  ...group,
  /** The term that was refused. */
  refused: term,
  /** The highest term known. */
  term,
});

/** Load the weights of a map, beside those in use. */
const stage = z.strictObject({
  type: z.literal('group_stage'),
  ...order,
  map: mapVersion,
});

/** Asks for the placement of a map. */
const fetchMap = z.strictObject({
  type: z.literal('group_fetch_map'),
  ...group,
  map: mapVersion,
});

/** The placement of a map. */
const mapContent = z.strictObject({
  type: z.literal('group_map'),
  ...group,
  map: mapVersion,
  slotsPerRank: z.int().positive(),
  /** Experts by rank and slot, two bytes each, one item per layer. */
  layers: z.array(bytes).max(MAX_LAYERS),
});

/** Do not start `step` before a decision. */
const prepare = z.strictObject({
  type: z.literal('group_prepare'),
  ...order,
  from: mapVersion,
  map: mapVersion,
  step,
});

/** From now on the rank runs on `map`, from its hold on if it has one. */
const decide = z.strictObject({
  type: z.literal('group_decide'),
  ...order,
  map: mapVersion,
  /** For a rank without a map that joins before the step of a change. */
  pending: pending.nullable(),
});

const answer = {
  ...group,
  term,
  /** The order that is answered. */
  seq,
  rank,
  incarnation: rankIncarnation,
  map: mapVersion,
  /** Latest step that the rank started; in a promise the step of the hold. */
  step,
};

/** The weights of the map are loaded. */
const staged = z.strictObject({type: z.literal('group_staged'), ...answer});

/** The engine holds at `step` until it hears the decision. */
const promised = z.strictObject({
  type: z.literal('group_promised'),
  ...answer,
});

/** Why a rank cannot do what it was asked. */
export const UNABLE_REASONS = [
  'step_passed',
  'other_map',
  'undecided',
  'inconsistent',
] as const;
export type UnableReason = (typeof UNABLE_REASONS)[number];

/** The rank cannot do what it was asked. */
const unable = z.strictObject({
  type: z.literal('group_unable'),
  ...answer,
  reason: z.enum(UNABLE_REASONS),
});

/** The engine runs on the decided map, or will from its hold on. */
const settled = z.strictObject({type: z.literal('group_settled'), ...answer});

/** What a rank's engine counted over some steps. */
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

/** What a coordinator tells a rank. */
export type RankOrder = Extract<
  GroupMessage,
  {type: 'group_inquire' | 'group_stage' | 'group_prepare' | 'group_decide'}
>;
/** What a rank tells a coordinator. */
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
