import type {Priority} from '../configuration/index.js';
import type {
  CallId,
  Incarnation,
  Millis,
  OrganisationName,
  ServiceName,
} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {Claim} from './claim_records.js';
import type {RequestMessage} from './messages.js';
import type {NotRunProof} from './not_run_proof.js';

/** The idempotency key of a call that is not idempotent by itself. */
export type CallKey =
  | {
      /** Created by the caller: claimed in the log. */
      readonly kind: 'caller';
      readonly value: string;
      readonly digest: string;
      /** Creation time, if the key contains it, ms since 1970. */
      readonly createdAt: number | undefined;
    }
  | {
      /** Issued by the system: stored by the sidecar that it names. */
      readonly kind: 'issued';
      readonly value: string;
      readonly digest: string;
      readonly sidecar: Incarnation;
    };

/** Result of claiming a key. */
export type ClaimResult =
  | {readonly kind: 'won'}
  | {readonly kind: 'lost'; readonly holder: Claim}
  /** A duplicate released the key before this entry read its own claim. */
  | {readonly kind: 'released'}
  | {readonly kind: 'unavailable'; readonly retryAfterMs: Millis};
/**
 * Names the service that an upstream runs. Sidecars add it to requests to the
 * upstream, which forwards it with the calls that it makes itself.
 */
export const CALLER_SERVICE_HEADER = 'baobabspan-caller-service';

/** A caller's request once it is parsed and its organisation is known. */
export interface CallRequest {
  readonly callId: CallId;
  readonly service: ServiceName;
  readonly organisation: OrganisationName;
  readonly weight: number;
  readonly priority: Priority;
  readonly idempotent: boolean;
  /** Time by which the answer must be complete. */
  readonly deadlineAt: Millis;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly key?: CallKey | undefined;
  /** The service that makes the call, if one does. */
  readonly callerService?: ServiceName | undefined;
  /** Hashes of the prompt's leading blocks, if it has a prompt. */
  readonly prefix?: readonly number[] | undefined;
  /** Estimated tokens of the call. */
  readonly cost?: number | undefined;
}

/** Outcome of a call as reported to its caller. */
export type Outcome =
  | {readonly kind: 'done'}
  | {
      readonly kind: 'not-run';
      readonly reason: ErrorName;
      readonly proof: NotRunProof;
      readonly retryAfterMs: Millis;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: ErrorName;
      readonly retryAfterMs: Millis;
    };

/** Outcome of a call without a complete answer. */
export type FailedOutcome = Exclude<Outcome, {kind: 'done'}>;

/** An action that the entry carries out for a call. */
export type EntryEffect =
  | {
      readonly type: 'choose';
      /** Upstreams that already had an attempt. */
      readonly exclude: readonly Incarnation[];
      /** Why this is not the first attempt. */
      readonly retryOf: ErrorName | undefined;
    }
  /** Looks up the claim that holds the call's key. */
  | {readonly type: 'look_up'}
  /** Claims the key, after releasing claims that never ran. */
  | {
      readonly type: 'claim';
      readonly claim: Claim;
      readonly releases: readonly string[];
    }
  /** Releases the key from claims that never ran. */
  | {readonly type: 'release'; readonly releases: readonly string[]}
  | {
      readonly type: 'send';
      readonly to: Incarnation;
      readonly message: RequestMessage;
    }
  | {
      readonly type: 'head';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  | {readonly type: 'body'; readonly bytes: Uint8Array}
  /** A piece was buffered at the entry instead of being delivered. */
  | {readonly type: 'held'}
  /** The whole answer was delivered. */
  | {readonly type: 'end'}
  /** Nothing was delivered yet: report the outcome. */
  | {readonly type: 'finish'; readonly outcome: FailedOutcome}
  /** Part was delivered: abort so that the caller sees the rest is missing. */
  | {readonly type: 'abort'; readonly outcome: FailedOutcome}
  | {readonly type: 'drop'; readonly why: 'late' | 'repeated' | 'settled'};
