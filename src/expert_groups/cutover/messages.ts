import {z} from 'zod';

import {groupName, mapVersion, rank} from '../types.js';
import {cutoverOrder, orderOutcome, rankReport} from './types.js';

const group = {group: groupName};
const token = z.int().nonnegative();

/** A coordinator is there and wants the reports of a rank. */
const watch = z.strictObject({
  type: z.literal('cutover_watch'),
  ...group,
  token,
  /** Ranks whose experts on the present map it does not know. */
  unplaced: z.array(rank).max(1_024),
  /** Ranks whose choices it wants; the others tell only their reports. */
  counting: z.array(rank).max(1_024),
});

/** What a rank says of itself, and the choices of experts since last time. */
const report = z.strictObject({
  type: z.literal('cutover_report'),
  ...group,
  rank,
  /** Nothing between two full looks, when only choices were read. */
  report: rankReport.nullable(),
  chosen: z.array(z.int().nonnegative()).max(65_536),
  /** Choices that one count of `chosen` stands for. */
  unit: z.int().positive(),
  /** The rank's experts by set on a map, when the coordinator lacks them. */
  placed: z
    .strictObject({
      map: mapVersion,
      experts: z.array(z.array(z.int().nonnegative())),
    })
    .nullable(),
});
export type RankPlacement = NonNullable<z.output<typeof report>['placed']>;

/** Which order is spoken of. */
const orderFields = {
  ...group,
  rank,
  token,
  epoch: z.int().nonnegative(),
  order: cutoverOrder,
};

/** An order for the rank beside the sidecar. */
const order = z.strictObject({
  type: z.literal('cutover_order'),
  ...orderFields,
  /** Of a prepare order without experts: what to change in an earlier map. */
  patch: z
    .strictObject({
      base: mapVersion,
      /** Flat, see `ListChanges`: a byte or two for each number. */
      changes: z.array(z.int().min(-1).max(65_534)).max(65_536),
    })
    .optional(),
});
export type MapPatch = NonNullable<z.output<typeof order>['patch']>;

/** The coordinator has given an order itself: what has it done? */
const look = z.strictObject({
  type: z.literal('cutover_look'),
  ...orderFields,
  /** What the engine answered. */
  outcome: orderOutcome,
});

/** What became of an order, and the state of the rank after it. */
const ack = z.strictObject({
  type: z.literal('cutover_ack'),
  ...orderFields,
  outcome: orderOutcome,
  report: rankReport.nullable(),
});

/** The rank knows a coordinator with a higher token. */
const outdated = z.strictObject({
  type: z.literal('cutover_outdated'),
  ...group,
  /** The highest token known. */
  token,
});

/** Messages about changes of maps by orders to the ranks' engines. */
export const cutoverMessages = [
  watch,
  report,
  order,
  look,
  ack,
  outdated,
] as const;
export type CutoverMessage = z.output<(typeof cutoverMessages)[number]>;
