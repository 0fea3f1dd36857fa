import type {Millis} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import type {NotRunProof} from './not_run_proof.js';
import type {CallRequest, OutcomeNotDone} from './types.js';

/**
 * What a caller is told when there is no whole answer.
 * @param request - the call
 * @param proof - why it is certain that it did not run, if it is
 * @param reason - why there is no answer
 * @param retryAfterMs - when coming back makes sense, ms
 */
export function notDone(
  {key}: CallRequest,
  proof: NotRunProof | undefined,
  reason: ErrorName,
  retryAfterMs: Millis,
): OutcomeNotDone {
  // Whether an earlier request ran with an issued key, only its sidecar knows.
  const isTold =
    key?.kind !== 'issued' || proof?.evidence === 'sidecar_refused';
  if (proof === undefined || !isTold) {
    return {kind: 'unknown', reason, retryAfterMs};
  }
  return {kind: 'not-run', reason, proof, retryAfterMs};
}
