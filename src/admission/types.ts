import type {Priority} from '../configuration/index.js';
import type {CallId, Millis, OrganisationName} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';

/** A call that asks to run at an upstream. */
export interface AdmissionRequest {
  readonly callId: CallId;
  readonly organisation: OrganisationName;
  readonly weight: number;
  readonly priority: Priority;
  /** When its answer must be there. */
  readonly deadlineAt: Millis;
  /** Tokens that it may take; 1 when not known. */
  readonly cost?: number | undefined;
  /** Prompt blocks to prefill; 1 when not known. */
  readonly blocks?: number | undefined;
}

/** A call that is refused although it was let wait before. */
export interface ShedCall {
  readonly callId: CallId;
  readonly reason: ErrorName;
  readonly retryAfterMs: Millis;
}

/** What becomes of an applicant. */
export type AdmissionDecision =
  | {readonly decision: 'start'}
  | {readonly decision: 'wait'}
  | {
      readonly decision: 'refuse';
      readonly reason: ErrorName;
      readonly retryAfterMs: Millis;
    };
