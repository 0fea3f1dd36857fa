import type {Incarnation, Millis} from '../core/index.js';
import type {Claim} from './claim_records.js';
import {formatId} from './ledger_entry.js';
import type {AttemptId} from './ledger_entry.js';
import type {CallMessage, SettleMessage} from './messages.js';
import type {CallRequest} from './types.js';

/** Frames that a sidecar may send ahead of the caller. */
const CREDIT_WINDOW_FRAMES = 64;

/**
 * Creates the message that requests a sidecar to run a call.
 * @param now - present time
 * @param request - the call
 * @param attempt - the attempt
 * @param resumeFrom - events of a stream already delivered to the caller
 */
export function createCallMessage(
  now: Millis,
  request: CallRequest,
  attempt: number,
  resumeFrom: number | undefined,
): CallMessage {
  const {callId, service, organisation, weight, priority} = request;
  const {idempotent, method, path, headers, body} = request;
  const {prefix, cost} = request;
  return {
    type: 'call',
    callId,
    attempt,
    service,
    organisation,
    weight,
    priority,
    idempotent,
    remainingMs: request.deadlineAt - now,
    method,
    path,
    headers: {...headers},
    body: body as Uint8Array<ArrayBuffer>,
    ...(prefix && {prefix: [...prefix]}),
    ...(cost !== undefined && {cost}),
    credit: CREDIT_WINDOW_FRAMES,
    ...issuedKeyFields(request),
    ...(resumeFrom === undefined ? {} : {resumeFrom}),
  };
}

/**
 * Creates the message that queries the outcome of an attempt.
 * @param request - the call that queries
 * @param attempt - attempt under which the answer is expected
 * @param target - the queried attempt
 * @param from - first sequence number to send
 */
export function createSettleMessage(
  request: CallRequest,
  attempt: number,
  target: AttemptId,
  from: number,
): SettleMessage {
  const {callId} = request;
  const key = issuedKeyFields(request);
  return {type: 'settle', callId, attempt, target, from, ...key};
}

/**
 * Creates the claim of a call's key.
 * @param request - the call
 * @param attempt - the attempt that runs under it
 * @param sidecar - the sidecar that may run it
 */
export function createClaim(
  request: CallRequest,
  attempt: number,
  sidecar: Incarnation,
): Claim {
  const {callId, service, organisation, key} = request;
  const id = formatId({callId, attempt});
  const {value = '', digest = ''} = key ?? {};
  const scope = {service, organisation, key: value};
  return {id, callId, attempt, ...scope, digest, sidecar};
}

/**
 * Returns the VM that a process runs or ran on.
 * @param process - the process
 */
export function vmOf(process: Incarnation): string {
  return process.slice(0, process.lastIndexOf('/'));
}

function issuedKeyFields({key, organisation}: CallRequest) {
  if (key?.kind !== 'issued') return {};
  return {key: `${organisation}/${key.value}`, digest: key.digest};
}
