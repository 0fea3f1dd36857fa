import {z} from 'zod';

import {offset, recordId, version} from '../core/index.js';

/** Name of the log stream that carries the configuration. */
export const CONFIGURATION_STREAM = 'configuration';

const publication = z.object({
  kind: z.literal('publication'),
  id: z.string().min(1).transform(recordId),
  base: z.int().nonnegative().transform(version),
  author: z.string(),
  text: z.string(),
});

const checkpoint = z.object({
  kind: z.literal('checkpoint'),
  id: z.string().min(1).transform(recordId),
  version: z.int().nonnegative().transform(version),
  text: z.string(),
  author: z.string().default(''),
  publicationId: z.string().default('').transform(recordId),
  foldedTo: z.int().min(-1).transform(offset),
});

/** A record of the configuration stream. */
export const configurationRecord = z.discriminatedUnion('kind', [
  publication,
  checkpoint,
]);
export type ConfigurationRecord = z.output<typeof configurationRecord>;
