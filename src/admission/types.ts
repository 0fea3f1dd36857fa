import type {Priority} from '../configuration/index.js';
import type {CallId, Millis, OrganisationName} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';

/** A call that requests to run at an upstream. */
export interface AdmissionRequest {
  readonly callId: CallId;
  readonly organisation: OrganisationName;
  readonly weight: number;
  readonly priority: Priority;
  /** Deadline of its answer. */
  readonly deadlineAt: Millis;
  /** Tokens that it may use; 1 if unknown. */
  readonly cost?: number | undefined;
  /** Prompt blocks to prefill; 1 if unknown. */
  readonly blocks?: number | undefined;
}

/** A queued call that was shed, with the reason for its rejection. */
export interface ShedCall {
  readonly callId: CallId;
  readonly reason: ErrorName;
  readonly retryAfterMs: Millis;
}

/** Decision on an admission request. */
export type AdmissionDecision =
  | {readonly decision: 'start'}
  | {readonly decision: 'wait'}
  | {
      readonly decision: 'refuse';
      readonly reason: ErrorName;
      readonly retryAfterMs: Millis;
    };
