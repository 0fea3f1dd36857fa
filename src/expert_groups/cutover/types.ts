import {z} from 'zod';

import {mapVersion, rank, step} from '../types.js';
import type {MapVersion} from '../types.js';

/** What a rank's engine says of itself and its group. */
export const rankReport = z.strictObject({
  group: z.string().min(1).max(100),
  rank,
  /** Ranks of the group. */
  size: z.int().positive().max(1_024),
  /** Counts how often the group has formed. */
  epoch: z.int().nonnegative(),
  /** Whether the group runs; false while a rank is missing. */
  isOpen: z.boolean(),
  /** Latest pass that was begun. */
  step,
  /** The map in use. */
  map: mapVersion,
  /** The map whose weights are all there, besides the one in use. */
  prepared: mapVersion.nullable(),
  /** The map that it changes to at a pass to come. */
  armed: mapVersion.nullable(),
  /** The pass that the group does not begin. */
  heldAt: step.nullable(),
  running: z.int().nonnegative(),
  queued: z.int().nonnegative(),
  /** How long its work takes, against an engine in good health. */
  pace: z.number().positive(),
  /** Start of the engine, Unix ms. */
  bornAt: z.number().nonnegative(),
});
export type RankReport = z.output<typeof rankReport>;

const experts = z.array(z.array(z.array(z.int().nonnegative().max(65_534))));

/** An order to a rank's engine. */
export const cutoverOrder = z.discriminatedUnion('kind', [
  /** Load the weights of a map; `ranks[set][rank]` lists experts. */
  z.strictObject({
    kind: z.literal('prepare'),
    map: mapVersion,
    experts,
  }),
  /** Change to a prepared map as a pass begins. */
  z.strictObject({kind: z.literal('arm'), map: mapVersion, step}),
  /** Take an arming back. */
  z.strictObject({kind: z.literal('disarm'), map: mapVersion}),
  /** The group does not begin a pass until it is released. */
  z.strictObject({kind: z.literal('hold'), step}),
  z.strictObject({kind: z.literal('release'), step}),
]);
export type CutoverOrder = z.output<typeof cutoverOrder>;

/** What became of an order. */
export const orderOutcome = z.enum([
  /** Begun, done, or already so. */
  'accepted',
  /** It does not fit the state of the rank. */
  'refused',
  /** A coordinator with a higher token has given orders. */
  'fenced',
  /** Another engine answers at the address. */
  'replaced',
  /** No answer: it may be carried out, now or much later. */
  'unanswered',
  /** The sidecar could not make the order and has not given it to the engine. */
  'not_given',
]);
export type OrderOutcome = z.output<typeof orderOutcome>;

/** Who gives an order to a rank's engine. */
export type OrderChannel =
  /** The sidecar beside the rank, which is free and reads fresh reports. */
  | 'beside'
  /** The coordinator's own VM. */
  | 'direct';

/** An order for one rank. */
export interface IssuedOrder {
  readonly rank: number;
  readonly order: CutoverOrder;
  readonly token: number;
  readonly epoch: number;
  readonly channel: OrderChannel;
}

/** What a coordinator is at. */
export type CutoverPhase =
  /** Learns what an earlier coordinator left, and clears it. */
  | 'recovering'
  | 'idle'
  | 'preparing'
  | 'holding'
  | 'arming'
  | 'releasing'
  | 'switching'
  /** Another coordinator has taken over, or ranks cannot be reached. */
  | 'resigned';

/** What happened, for logs and counters. */
export interface CutoverEvent {
  readonly event:
    | 'waiting'
    | 'prepared'
    | 'held'
    | 'armed'
    | 'released'
    | 'switched'
    | 'cancelled';
  readonly map: MapVersion;
  readonly detail?: string;
}
