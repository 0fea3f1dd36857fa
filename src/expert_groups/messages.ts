import {z} from 'zod';

import {mapVersion, term} from './types.js';

/** Asks a rank's sidecar which map its rank runs on. */
const inquire = z.strictObject({
  type: z.literal('group_inquire'),
  group: z.string().max(100),
  term,
});

/** The answer of a rank's sidecar. */
const report = z.strictObject({
  type: z.literal('group_report'),
  group: z.string().max(100),
  rank: z.int().nonnegative(),
  term,
  map: mapVersion,
  step: z.int().nonnegative(),
});

/** Messages between the sidecars of a group of ranks. */
export const groupMessages = [inquire, report] as const;
export type GroupMessage = z.output<(typeof groupMessages)[number]>;
