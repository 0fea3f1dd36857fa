import {z} from 'zod';

/** Maximum stored, and removed, blocks per cache message. */
export const MAX_EVENT_BLOCKS = 512;

/** Hash of a prompt up to the end of a block. */
export const blockHash = z.int().nonnegative().max(0xffff_ffff);

/** Load of a sidecar's queue; sent with each of its answers. */
export const loadReport = z.strictObject({
  /** Calls in the queue. */
  queued: z.int().nonnegative(),
  /** Running calls. */
  running: z.int().nonnegative(),
  /** Maximum running calls. */
  concurrency: z.int().positive(),
  /** Calls that can finish per second; 0 if unknown. */
  drainPerSecond: z.number().nonnegative(),
  /** Prompt blocks still to be prefilled. */
  pendingBlocks: z.int().nonnegative(),
  /** Prefill time per block, ms; 0 if unknown. */
  msPerBlock: z.number().nonnegative(),
  /** Time between two tokens of an answer, ms; 0 if unknown. */
  msPerToken: z.number().nonnegative(),
});
export type LoadReport = z.output<typeof loadReport>;

const loadMessage = z.strictObject({type: z.literal('load'), load: loadReport});

/** Changes in the prefix cache of an engine. */
const cacheMessage = z.strictObject({
  type: z.literal('cache'),
  /** One more than in the sender's previous message. */
  seq: z.int().positive(),
  stored: z.array(blockHash).max(MAX_EVENT_BLOCKS),
  removed: z.array(blockHash).max(MAX_EVENT_BLOCKS),
});
export type CacheMessage = z.output<typeof cacheMessage>;

/** Link messages about load and caches. */
export const routingMessages = [loadMessage, cacheMessage] as const;
export type RoutingMessage = z.output<(typeof routingMessages)[number]>;
