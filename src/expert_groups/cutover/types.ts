import {z} from 'zod';

import {mapVersion, rank, step} from '../types.js';
import type {MapVersion} from '../types.js';

/** State that a rank's engine reports of itself and its group. */
export const rankReport = z.strictObject({
  group: z.string().min(1).max(100),
  rank,
  /** Number of ranks in the group. */
  size: z.int().positive().max(1_024),
  /** Number of times the group has formed. */
  epoch: z.int().nonnegative(),
  /** Whether the group runs; false while a rank is missing. */
  isOpen: z.boolean(),
  /** Latest pass that has begun. */
  step,
  /** The map in use. */
  map: mapVersion,
  /** The other map whose weights are fully loaded, if any. */
  prepared: mapVersion.nullable(),
  /** The map that the rank switches to at a later pass, if armed. */
  armed: mapVersion.nullable(),
  /** The pass that the group is held at and does not begin. */
  heldAt: step.nullable(),
  running: z.int().nonnegative(),
  queued: z.int().nonnegative(),
  /** Slowdown factor: duration of its work relative to a healthy engine. */
  pace: z.number().positive(),
  /** Start time of the engine, Unix ms. */
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
  /** Switch to a prepared map as a pass begins. */
  z.strictObject({kind: z.literal('arm'), map: mapVersion, step}),
  /** Cancel an arming. */
  z.strictObject({kind: z.literal('disarm'), map: mapVersion}),
  /** Hold the group: a pass does not begin until it is released. */
  z.strictObject({kind: z.literal('hold'), step}),
  z.strictObject({kind: z.literal('release'), step}),
]);
export type CutoverOrder = z.output<typeof cutoverOrder>;

/** Outcome of an order. */
export const orderOutcome = z.enum([
  /** The order was started or executed, or was already in effect. */
  'accepted',
  /** The order conflicts with the rank's state. */
  'refused',
  /** The rank has seen an order with a higher fencing token. */
  'fenced',
  /** Another engine answered at the address. */
  'replaced',
  /** No answer: the order may be executed, now or much later. */
  'unanswered',
  /** The sidecar could not build the order, so the engine never got it. */
  'not_given',
]);
export type OrderOutcome = z.output<typeof orderOutcome>;

/** Channel by which an order reaches a rank's engine. */
export type OrderChannel =
  /** Through the rank's own sidecar, which is free and reads fresh reports. */
  | 'beside'
  /** Directly from the coordinator's VM. */
  | 'direct';

/** An order as issued to one rank, with its fencing token. */
export interface IssuedOrder {
  readonly rank: number;
  readonly order: CutoverOrder;
  readonly token: number;
  readonly epoch: number;
  readonly channel: OrderChannel;
}

/** Phase of a cutover coordinator. */
export type CutoverPhase =
  /** Finds and clears holds and armings of an earlier coordinator. */
  | 'recovering'
  | 'idle'
  | 'preparing'
  | 'holding'
  | 'arming'
  | 'releasing'
  | 'switching'
  /** Another coordinator has taken over, or ranks are unreachable. */
  | 'resigned';

/**
 * Returns whether the group may be waiting for an order.
 * @param phase - phase of its coordinator
 */
export function isHoldingPhase(phase: CutoverPhase): boolean {
  return phase === 'holding' || phase === 'arming' || phase === 'releasing';
}

/** An event of a cutover, for logs and counters. */
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
