import {z} from 'zod';

/** The sender takes no new work from now on. */
const leaving = z.strictObject({type: z.literal('leaving')});

/** Messages about membership between processes. */
export const membershipMessages = [leaving] as const;
export type MembershipMessage = z.output<(typeof membershipMessages)[number]>;
