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
      /** The caller made it: claimed in the log. */
      readonly kind: 'caller';
      readonly value: string;
      readonly digest: string;
      /** When it was made, if it tells: ms since 1970. */
      readonly createdAt: number | undefined;
    }
  | {
      /** The system issued it: kept by the sidecar that it names. */
      readonly kind: 'issued';
      readonly value: string;
      readonly digest: string;
      readonly sidecar: Incarnation;
    };

/** What became of a wish to claim a key. */
export type ClaimResult =
  | {readonly kind: 'won'}
  | {readonly kind: 'lost'; readonly holder: Claim}
  /** A repeat freed the key before this entry saw its own claim. */
  | {readonly kind: 'released'}
  | {readonly kind: 'unavailable'; readonly retryAfterMs: Millis};
/**
 * Names the service that an upstream runs. Sidecars add it to what they send
 * to the upstream, which passes it on with the calls that it makes itself.
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
  /** When the answer must be there. */
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
  /** Tokens that it may take. */
  readonly cost?: number | undefined;
}

/** What a caller is told of a call. */
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

/** What a caller is told when there is no whole answer. */
export type FailedOutcome = Exclude<Outcome, {kind: 'done'}>;

/** What the entry has to do next for a call. */
export type EntryEffect =
  | {
      readonly type: 'choose';
      /** Upstreams that were tried already. */
      readonly exclude: readonly Incarnation[];
      /** Why this is not the first attempt. */
      readonly retryOf: ErrorName | undefined;
    }
  /** Asks for the standing claim of the call's key. */
  | {readonly type: 'look_up'}
  /** Claims the key, after freeing it of a claim that never ran. */
  | {
      readonly type: 'claim';
      readonly claim: Claim;
      readonly releases: readonly string[];
    }
  /** Frees the key of claims that never ran. */
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
  /** A piece is held back: it waits here, not at the caller. */
  | {readonly type: 'held'}
  /** The whole answer was delivered. */
  | {readonly type: 'end'}
  /** Nothing was delivered yet: tell the outcome. */
  | {readonly type: 'finish'; readonly outcome: FailedOutcome}
  /** Part was delivered: make the caller see that the rest is missing. */
  | {readonly type: 'abort'; readonly outcome: FailedOutcome}
  | {readonly type: 'drop'; readonly why: 'late' | 'repeated' | 'settled'};
