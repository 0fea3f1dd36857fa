import {z} from 'zod';

import {groupName, mapVersion, rank} from '../types.js';
import {cutoverOrder, orderOutcome, rankReport} from './types.js';

const group = {group: groupName};
const token = z.int().nonnegative();

/** A coordinator's heartbeat, which requests the reports of a rank. */
const watch = z.strictObject({
  type: z.literal('cutover_watch'),
  ...group,
  token,
  /** Ranks whose experts on the current map the coordinator does not know. */
  unplaced: z.array(rank).max(1_024),
  /** Ranks to sample expert selections from; others send only reports. */
  counting: z.array(rank).max(1_024),
});

/** Report of a rank, and its expert selections since the last message. */
const report = z.strictObject({
  type: z.literal('cutover_report'),
  ...group,
  rank,
  /** Null between two full reads, when only selections were read. */
  report: rankReport.nullable(),
  chosen: z.array(z.int().nonnegative()).max(65_536),
  /** Selections that one count of `chosen` stands for. */
  unit: z.int().positive(),
  /** The rank's experts by set on a map, if the coordinator needs them. */
  placed: z
    .strictObject({
      map: mapVersion,
      experts: z.array(z.array(z.int().nonnegative())),
    })
    .nullable(),
});
export type RankPlacement = NonNullable<z.output<typeof report>['placed']>;

/** Fields that identify an order. */
const orderFields = {
  ...group,
  rank,
  token,
  epoch: z.int().nonnegative(),
  order: cutoverOrder,
};

/** An order that a sidecar passes to its local rank. */
const order = z.strictObject({
  type: z.literal('cutover_order'),
  ...orderFields,
  /** For a prepare order without experts: changes to an earlier map. */
  patch: z
    .strictObject({
      base: mapVersion,
      /** Flat, see `ListChanges`: one or two bytes per number. */
      changes: z.array(z.int().min(-1).max(65_534)).max(65_536),
    })
    .optional(),
});
export type MapPatch = NonNullable<z.output<typeof order>['patch']>;

/** Requests a rank's state after the coordinator sent an order directly. */
const look = z.strictObject({
  type: z.literal('cutover_look'),
  ...orderFields,
  /** Outcome by the engine's answer. */
  outcome: orderOutcome,
});

/** Outcome of an order, and the state of the rank after it. */
const ack = z.strictObject({
  type: z.literal('cutover_ack'),
  ...orderFields,
  outcome: orderOutcome,
  report: rankReport.nullable(),
});

/** Rejects a coordinator, because the rank has seen a higher token. */
const outdated = z.strictObject({
  type: z.literal('cutover_outdated'),
  ...group,
  /** The highest token known. */
  token,
});

/** Messages of map switches, which use orders to the ranks' engines. */
export const cutoverMessages = [
  watch,
  report,
  order,
  look,
  ack,
  outdated,
] as const;
export type CutoverMessage = z.output<(typeof cutoverMessages)[number]>;
