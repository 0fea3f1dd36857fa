import type {CallId, Incarnation, Millis} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {ReplayBuffer} from './replay_buffer.js';
import type {AnswerMessage} from './messages.js';

type WithoutLoad<T> = T extends {load: unknown} ? Omit<T, 'load'> : T;
/** A sidecar's message without its load report. */
export type Answer = WithoutLoad<AnswerMessage>;

/** A message and its destination process. */
export interface Reply {
  readonly to: Incarnation;
  readonly message: Answer;
}

/** Identifies one attempt of one call. */
export interface AttemptId {
  readonly callId: CallId;
  readonly attempt: number;
}

/** A process that awaits the answer, under its own attempt id. */
export interface Listener extends AttemptId {
  readonly to: Incarnation;
}

/** Why an attempt did not run, or failed. */
interface Rejection {
  readonly reason: ErrorName;
  readonly retryAfterMs: Millis;
}

/**
 * `queued` and `running` are open; `not-run` never ran and never will; `whole`
 * has its complete answer; `failed` may have run.
 */
export type LedgerState = 'queued' | 'running' | 'not-run' | 'whole' | 'failed';

/** Ledger record of one attempt. */
export interface LedgerEntry {
  readonly id: AttemptId;
  readonly idempotent: boolean;
  readonly key: string | undefined;
  readonly digest: string | undefined;
  readonly deadlineAt: Millis;
  state: LedgerState;
  rejection: Rejection;
  readonly answer: ReplayBuffer;
  listeners: Listener[];
  endedAt: Millis | undefined;
}

/** Rejection of an attempt that was never received. */
export const NEVER_RECEIVED: Rejection = {
  reason: 'never_received',
  retryAfterMs: 0,
};

type WithoutAttemptId<T> = T extends AttemptId ? Omit<T, keyof AttemptId> : T;
/** An answer without its attempt id and destination. */
export type UnaddressedAnswer = WithoutAttemptId<Answer>;

/**
 * Formats an attempt id as text.
 * @param name - the attempt
 */
export function formatId({callId, attempt}: AttemptId): string {
  return `${callId}#${attempt}`;
}

/**
 * Returns the listener for the answer to a message.
 * @param to - the process that sent the message
 * @param id - the attempt that it names
 */
export function listenerOf(to: Incarnation, id: AttemptId): Listener {
  return {to, callId: id.callId, attempt: id.attempt};
}

/**
 * Addresses an answer to a listener.
 * @param listener - the recipient
 * @param message - the answer
 */
export function address(
  {to, callId, attempt}: Listener,
  message: UnaddressedAnswer,
): Reply {
  return {to, message: {...message, callId, attempt} as Answer};
}

/**
 * Returns the replies that reject an attempt, which never ran.
 * @param entry - the attempt
 * @param listener - the recipient
 */
export function rejections(
  {rejection}: LedgerEntry,
  listener: Listener,
): Reply[] {
  return [address(listener, {type: 'refused', ...rejection})];
}
