import {z} from 'zod';

import {offset, version} from '../core/index.js';

const watermark = {
  version: z.int().nonnegative().transform(version),
  foldedTo: z.int().min(-1).transform(offset),
};

/** Asks a peer for its folded state if it is ahead of the asker's. */
const pull = z.strictObject({
  type: z.literal('configuration_pull'),
  ...watermark,
});

/** The answer to a pull. The text is left out when the asker has it. */
const state = z.strictObject({
  type: z.literal('configuration_state'),
  ...watermark,
  author: z.string(),
  text: z.string().optional(),
});

/** Messages about the configuration between processes. */
export const configurationMessages = [pull, state] as const;
export type ConfigurationMessage = z.output<
  (typeof configurationMessages)[number]
>;
