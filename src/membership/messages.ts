import {z} from 'zod';

import {incarnation} from '../core/index.js';

/** Most processes that one message lists. */
export const MAX_DEPARTURES = 256;

/** The sender accepts no new work from now on. */
const leaving = z.strictObject({type: z.literal('leaving')});

/** Processes of whose leaving a process has first-hand evidence. */
const departures = z.strictObject({
  type: z.literal('departures'),
  incarnations: z
    .array(z.string().min(1).max(200).transform(incarnation))
    .max(MAX_DEPARTURES),
});

/** Messages between processes about membership. */
export const membershipMessages = [leaving, departures] as const;
export type MembershipMessage = z.output<(typeof membershipMessages)[number]>;
