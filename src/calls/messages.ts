import {z} from 'zod';

import {PRIORITIES} from '../configuration/index.js';
import {callId, organisationName, serviceName} from '../core/index.js';
import {ERRORS} from '../errors/index.js';
import type {ErrorName} from '../errors/index.js';
import {MAX_PREFIX_BLOCKS, blockHash, loadReport} from '../routing/index.js';

const MAX_HEADERS = 100;
const MAX_CALL_ID = 200;
const MAX_KEY = 500;
const MAX_DIGEST = 100;

const bytes = z.instanceof(Uint8Array);
const count = z.int().nonnegative();
const headers = z
  .record(z.string().max(200), z.string().max(16_384))
  .refine(record => Object.keys(record).length <= MAX_HEADERS);
const reason = z.enum(Object.keys(ERRORS) as [ErrorName, ...ErrorName[]]);

/** Identifies one attempt of one call. */
const attempt = {
  callId: z.string().min(1).max(MAX_CALL_ID).transform(callId),
  attempt: z.int().positive(),
};

/** An issued key and the digest of the request that first used it. */
const keyFields = {
  key: z.string().min(1).max(MAX_KEY).optional(),
  /** SHA-256 of method, path and body. */
  digest: z.string().max(MAX_DIGEST).optional(),
};

/** Requests that the sidecar run a call. */
const call = z.strictObject({
  type: z.literal('call'),
  ...attempt,
  service: z.string().transform(serviceName),
  organisation: z.string().transform(organisationName),
  /** Share of the organisation in a contended queue. */
  weight: z.number().positive(),
  priority: z.enum(PRIORITIES),
  idempotent: z.boolean(),
  /** Time left of the deadline when the message was sent, ms. */
  remainingMs: z.number(),
  method: z.string().max(10),
  path: z.string().max(8_192),
  headers,
  body: bytes,
  /** Hashes of the prompt's leading blocks, if it has a prompt. */
  prefix: z.array(blockHash).max(MAX_PREFIX_BLOCKS).optional(),
  /** Estimated tokens of the call. */
  cost: z.number().positive().optional(),
  /** Frames that the sidecar may send before it needs more credit. */
  credit: count,
  ...keyFields,
  /** Events already delivered to the caller; the answer resumes after them. */
  resumeFrom: count.optional(),
});

/** The sidecar rejected the call before anything reached the upstream. */
const refused = z.strictObject({
  type: z.literal('refused'),
  ...attempt,
  reason,
  retryAfterMs: count,
  load: loadReport,
});

/** Start of the upstream's answer. */
const head = z.strictObject({
  type: z.literal('head'),
  ...attempt,
  seq: z.literal(0),
  status: z.int().min(100).max(599),
  headers,
  /** Index of the first event, when the answer is split into its events. */
  firstEvent: count.optional(),
  load: loadReport,
});

/** A piece of the upstream's answer. */
const data = z.strictObject({
  type: z.literal('data'),
  ...attempt,
  seq: z.int().positive(),
  body: bytes,
  /** Index of this event in the whole stream. */
  event: count.optional(),
});

/** End of the upstream's answer, with its frame and byte counts. */
const end = z.strictObject({
  type: z.literal('end'),
  ...attempt,
  /** Data frames of the answer. */
  frames: count,
  /** Bytes of the answer's body. */
  bytes: count,
  load: loadReport,
});

/** The upstream gave no complete answer; the call may have run. */
const failed = z.strictObject({
  type: z.literal('failed'),
  ...attempt,
  reason,
  load: loadReport,
});

/** The caller disconnected or was answered: stop the work. */
const cancel = z.strictObject({type: z.literal('cancel'), ...attempt});

/** Lets the sidecar send more frames. */
const credit = z.strictObject({
  type: z.literal('credit'),
  ...attempt,
  frames: z.int().positive(),
});

/**
 * Queries the outcome of an attempt. A sidecar that does not know the attempt
 * never runs it from then on.
 */
const settle = z.strictObject({
  type: z.literal('settle'),
  ...attempt,
  /** The queried attempt: the sender's own or an earlier call's. */
  target: z.strictObject(attempt),
  /** First sequence number that the sender lacks. */
  from: count,
  ...keyFields,
});

/** The queried attempt is queued or running; its answer follows. */
const pending = z.strictObject({
  type: z.literal('pending'),
  ...attempt,
  load: loadReport,
});

/** Messages about calls between an entry and a sidecar. */
export const callMessages = [
  call,
  refused,
  head,
  data,
  end,
  failed,
  cancel,
  credit,
  settle,
  pending,
] as const;

export type CallMessage = z.output<typeof call>;
export type RefusedMessage = z.output<typeof refused>;
/** Messages that a sidecar sends about a call. */
export type AnswerMessage =
  | RefusedMessage
  | z.output<typeof head>
  | z.output<typeof data>
  | z.output<typeof end>
  | z.output<typeof failed>
  | z.output<typeof pending>;
export type SettleMessage = z.output<typeof settle>;
/** Messages that an entry sends about a call. */
export type RequestMessage =
  | CallMessage
  | SettleMessage
  | z.output<typeof cancel>
  | z.output<typeof credit>;
