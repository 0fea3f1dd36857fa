import type {Millis} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {NotRunProof} from './not_run_proof.js';
import type {CallRequest, FailedOutcome} from './types.js';

/**
 * What a caller is told when there is no whole answer.
 * @param request - the call
 * @param proof - why it is certain that it did not run, if it is
 * @param reason - why there is no answer
 * @param retryAfterMs - when coming back makes sense, ms
 */
export function failedOutcome(
  {key}: CallRequest,
  proof: NotRunProof | undefined,
  reason: ErrorName,
  retryAfterMs: Millis,
): FailedOutcome {
  // Whether an earlier request ran with an issued key, only its sidecar knows.
  const isConclusive =
    key?.kind !== 'issued' || proof?.evidence === 'sidecar_refused';
  if (proof === undefined || !isConclusive) {
    return {kind: 'unknown', reason, retryAfterMs};
  }
  return {kind: 'not-run', reason, proof, retryAfterMs};
}
