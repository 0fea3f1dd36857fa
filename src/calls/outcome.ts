import type {Millis} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {NotRunProof} from './not_run_proof.js';
import type {CallRequest, FailedOutcome} from './types.js';

/**
 * Returns the outcome of a call without a complete answer.
 * @param request - the call
 * @param proof - proof that the call did not run, if there is one
 * @param reason - why there is no answer
 * @param retryAfterMs - Retry-After for the caller, ms
 */
export function failedOutcome(
  {key}: CallRequest,
  proof: NotRunProof | undefined,
  reason: ErrorName,
  retryAfterMs: Millis,
): FailedOutcome {
  // Only the key's sidecar can prove that no earlier request with it ran.
  const isConclusive =
    key?.kind !== 'issued' || proof?.evidence === 'sidecar_refused';
  if (proof === undefined || !isConclusive) {
    return {kind: 'unknown', reason, retryAfterMs};
  }
  return {kind: 'not-run', reason, proof, retryAfterMs};
}
