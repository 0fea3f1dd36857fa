import {z} from 'zod';

/** What a sidecar tells about its queue; rides on each of its answers. */
export const loadReport = z.strictObject({
  /** Calls that wait. */
  queued: z.int().nonnegative(),
  /** Calls that run. */
  running: z.int().nonnegative(),
  /** Calls that may run at a time. */
  concurrency: z.int().positive(),
  /** Calls that finished a second, lately; 0 when not known. */
  drainPerSecond: z.number().nonnegative(),
});
export type LoadReport = z.output<typeof loadReport>;

const load = z.strictObject({type: z.literal('load'), load: loadReport});

/** Messages about load between processes. */
export const routingMessages = [load] as const;
export type RoutingMessage = z.output<(typeof routingMessages)[number]>;
