import type {CallId, Incarnation, Millis} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {ReplayBuffer} from './replay_buffer.js';
import type {AnswerMessage} from './messages.js';

type WithoutLoad<T> = T extends {load: unknown} ? Omit<T, 'load'> : T;
/** A sidecar's message before its load report is added. */
export type Answer = WithoutLoad<AnswerMessage>;

/** A message and the process that it goes to. */
export interface Reply {
  readonly to: Incarnation;
  readonly message: Answer;
}

/** One attempt of one call. */
export interface AttemptId {
  readonly callId: CallId;
  readonly attempt: number;
}

/** Who wants the answer, and under which name. */
export interface Listener extends AttemptId {
  readonly to: Incarnation;
}

/** Why an attempt did not run, or failed. */
interface Rejection {
  readonly reason: ErrorName;
  readonly retryAfterMs: Millis;
}

/**
 * `queued` and `running` are open; `not-run` is definite, for good; `whole`
 * has its whole answer; `failed` may have run.
 */
export type LedgerState = 'queued' | 'running' | 'not-run' | 'whole' | 'failed';

/** What a ledger knows of one attempt. */
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

/** What is said of an attempt that never came. */
export const NEVER_RECEIVED: Rejection = {
  reason: 'never_received',
  retryAfterMs: 0,
};

type WithoutAttemptId<T> = T extends AttemptId ? Omit<T, keyof AttemptId> : T;
/** An answer that is not addressed yet. */
export type UnaddressedAnswer = WithoutAttemptId<Answer>;

/**
 * Names an attempt as text.
 * @param name - the attempt
 */
export function formatId({callId, attempt}: AttemptId): string {
  return `${callId}#${attempt}`;
}

/**
 * Who is to get the answer to a message.
 * @param to - the process that sent it
 * @param id - the attempt that it names
 */
export function listenerOf(to: Incarnation, id: AttemptId): Listener {
  return {to, callId: id.callId, attempt: id.attempt};
}

/**
 * Addresses an answer.
 * @param listener - who gets it
 * @param message - the answer
 */
export function address(
  {to, callId, attempt}: Listener,
  message: UnaddressedAnswer,
): Reply {
  return {to, message: {...message, callId, attempt} as Answer};
}

/**
 * Tells that an attempt is certain not to have run.
 * @param entry - the attempt
 * @param listener - who gets it
 */
export function rejections(
  {rejection}: LedgerEntry,
  listener: Listener,
): Reply[] {
  return [address(listener, {type: 'refused', ...rejection})];
}
