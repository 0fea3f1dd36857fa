import {z} from 'zod';

/** Blocks of each kind that one message about a cache tells. */
export const MAX_EVENT_BLOCKS = 512;

/** Hash of one block of a prompt with all that stands before it. */
export const blockHash = z.int().nonnegative().max(0xffff_ffff);

/** What a sidecar tells about its queue; rides on each of its answers. */
export const loadReport = z.strictObject({
  /** Calls that wait. */
  queued: z.int().nonnegative(),
  /** Calls that run. */
  running: z.int().nonnegative(),
  /** Calls that may run at a time. */
  concurrency: z.int().positive(),
  /** Calls that can finish a second; 0 when not known. */
  drainPerSecond: z.number().nonnegative(),
  /** Prompt blocks of its calls that are not prefilled yet. */
  pendingBlocks: z.int().nonnegative(),
  /** Time to prefill one block, ms; 0 when not known. */
  msPerBlock: z.number().nonnegative(),
  /** Time between two tokens of an answer, ms; 0 when not known. */
  msPerToken: z.number().nonnegative(),
});
export type LoadReport = z.output<typeof loadReport>;

const loadMessage = z.strictObject({type: z.literal('load'), load: loadReport});

/** What changed in the prefix cache of an engine. */
const cacheMessage = z.strictObject({
  type: z.literal('cache'),
  /** One more than that of the sender's message before. */
  seq: z.int().positive(),
  stored: z.array(blockHash).max(MAX_EVENT_BLOCKS),
  removed: z.array(blockHash).max(MAX_EVENT_BLOCKS),
});
export type CacheMessage = z.output<typeof cacheMessage>;

/** Messages about load between processes. */
export const routingMessages = [loadMessage, cacheMessage] as const;
export type RoutingMessage = z.output<(typeof routingMessages)[number]>;
