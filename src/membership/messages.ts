import {z} from 'zod';

import {incarnation} from '../core/index.js';

/** Processes that one message names. */
export const MAX_DEPARTURES = 256;

/** The sender takes no new work from now on. */
const leaving = z.strictObject({type: z.literal('leaving')});

/** Processes that someone has first-hand evidence of leaving. */
const departures = z.strictObject({
  type: z.literal('departures'),
  incarnations: z
    .array(z.string().min(1).max(200).transform(incarnation))
    .max(MAX_DEPARTURES),
});

/** Messages about membership between processes. */
export const membershipMessages = [leaving, departures] as const;
export type MembershipMessage = z.output<(typeof membershipMessages)[number]>;
