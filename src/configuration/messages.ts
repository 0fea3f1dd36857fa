import {z} from 'zod';

import {offset, recordId, version} from '../core/index.js';

/** Largest deflated text that a message carries, bytes. */
const MAX_DEFLATED = 4 * 2 ** 20;
const deflated = z
  .instanceof(Uint8Array)
  .refine(bytes => bytes.length <= MAX_DEFLATED, 'too large');

const watermark = {
  version: z.int().nonnegative().transform(version),
  foldedTo: z.int().min(-1).transform(offset),
};

/** Author and publication of a version. */
const origin = {
  author: z.string(),
  publicationId: z.string().transform(recordId),
};

/** Encoded text of a version. */
const body = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('whole'), ...origin, deflated}),
  z.strictObject({
    kind: z.literal('delta'),
    ...origin,
    /** The version whose text the delta was made against. */
    base: z.int().positive().transform(version),
    /** SHA-256 of the whole text. */
    digest: z.string(),
    deflated,
  }),
]);
export type StateBody = z.output<typeof body>;

/**
 * Requests a peer's folded state if it is newer than the sender's, and
 * subscribes to later ones until the subscription expires.
 */
const pull = z.strictObject({
  type: z.literal('configuration_pull'),
  ...watermark,
  /** The sender follows the log itself: a watermark is enough. */
  reads: z.boolean(),
  /** The sender could not apply a delta. */
  whole: z.boolean(),
});

/** A folded state, without its text when the receiver needs none. */
const state = z.strictObject({
  type: z.literal('configuration_state'),
  ...watermark,
  /** Time since the sender or its source last contacted the log, ms. */
  logAge: z.number().nonnegative(),
  body: body.optional(),
});

/** Messages about the configuration between processes. */
export const configurationMessages = [pull, state] as const;
export type ConfigurationMessage = z.output<
  (typeof configurationMessages)[number]
>;
export type ConfigurationPull = z.output<typeof pull>;
export type ConfigurationState = z.output<typeof state>;
