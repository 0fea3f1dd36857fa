import {z} from 'zod';

import {admissionMessages} from '../admission/index.js';
import {callMessages} from '../calls/index.js';
import {configurationMessages} from '../configuration/index.js';
import {cutoverMessages, groupMessages} from '../expert_groups/index.js';
import {identity, membershipMessages} from '../membership/index.js';
import {routingMessages} from '../routing/index.js';

/** Sent on an idle link, so that a missing heartbeat indicates a failure. */
const heartbeat = z.strictObject({type: z.literal('heartbeat')});

/** Any message of an open link. */
const linkMessage = z.discriminatedUnion('type', [
  heartbeat,
  ...admissionMessages,
  ...callMessages,
  ...configurationMessages,
  ...cutoverMessages,
  ...groupMessages,
  ...membershipMessages,
  ...routingMessages,
]);
export type LinkMessage = z.output<typeof linkMessage>;

const NONCE_BYTES = 16;
const MAC_BYTES = 32;
const nonce = z.instanceof(Uint8Array).refine(n => n.length === NONCE_BYTES);
const mac = z.instanceof(Uint8Array).refine(m => m.length === MAC_BYTES);

/** First message, sent by the accepting side. */
export const challenge = z.strictObject({
  type: z.literal('challenge'),
  nonce,
});

/** Answer of the dialling side: proves that it has the key. */
export const hello = z.strictObject({
  type: z.literal('hello'),
  identity,
  nonce,
  mac,
});

/** Answer of the accepting side: proves that it has the key, opens the link. */
export const welcome = z.strictObject({
  type: z.literal('welcome'),
  identity,
  mac,
});

export {linkMessage};
