/** Entry of the error catalogue. */
export interface ErrorEntry {
  /** HTTP status of the response, for errors that reach a caller. */
  readonly status: number;
  /** One human-readable sentence. */
  readonly message: string;
  /** How to resolve the error. */
  readonly hint: string;
}

const entry = (status: number, message: string, hint: string): ErrorEntry => ({
  status,
  message,
  hint,
});

/**
 * All errors that leave the process, by name. The name is the `reason` in
 * problem bodies, metrics and log lines.
 */
export const ERRORS = {
  // Returned to callers.
  no_configuration: entry(
    503,
    'No configuration is in force at this entry yet.',
    'Retry after the time in Retry-After; operators find the cause at /readyz.',
  ),
  not_found: entry(
    404,
    'No service exists at this path.',
    'Call /v1/chat/completions, /v1/completions or /services/<name>/<path>.',
  ),
  unknown_service: entry(
    404,
    'The configuration in force does not define this service.',
    'Check the name of the model or service.',
  ),
  unknown_route: entry(
    404,
    'The service declares no route with this method and path.',
    'Check the routes of the service in the configuration.',
  ),
  unauthorized: entry(
    401,
    'The token belongs to no organisation.',
    'Send Authorization: Bearer with a token of your organisation.',
  ),
  bad_request: entry(
    400,
    'The request is malformed.',
    'See the detail for the cause.',
  ),
  headers_too_large: entry(
    431,
    'The headers exceed the size limit.',
    'Send fewer or shorter headers.',
  ),
  request_timeout: entry(
    408,
    'The request was not received in full before the timeout.',
    'Send the request again over a faster connection.',
  ),
  caller_gone: entry(
    499,
    'The caller disconnected before its request was complete.',
    'The request was not run.',
  ),
  body_too_large: entry(
    413,
    'The body exceeds the size limit of the service.',
    'Send a smaller body, or ask an operator to raise the limit.',
  ),
  memory_exhausted: entry(
    503,
    'This process has no memory for the body of the request at present.',
    'Retry after the time in Retry-After.',
  ),
  organisation_over_limit: entry(
    429,
    'The organisation has exceeded one of its limits.',
    'Retry after the time in Retry-After.',
  ),
  overloaded: entry(
    503,
    'No upstream has capacity for the request in time.',
    'Retry after the time in Retry-After.',
  ),
  no_upstream: entry(
    503,
    'No upstream of the service is reachable.',
    'Retry after the time in Retry-After; operators find the members at /status.',
  ),
  group_down: entry(
    503,
    'The group of ranks that serves the request is incomplete.',
    'Retry after the time in Retry-After; operators find the rank in the log.',
  ),
  prompt_quarantined: entry(
    422,
    'A part of the prompt has crashed several upstreams and is quarantined.',
    'Leave the part out; operators find its crashes at /status and can lift it.',
  ),
  dependency_over_limit: entry(
    503,
    'The calling service has used up its share of this service.',
    'Retry after the time in Retry-After.',
  ),
  undeclared_dependency: entry(
    403,
    'The calling service does not declare a dependency on this service.',
    'Add the service to dependsOn of the caller, or omit the header.',
  ),
  deadline_passed: entry(
    504,
    'The deadline passed before the answer was ready.',
    'Set a longer deadline with Baobabspan-Deadline-Ms.',
  ),
  draining: entry(
    503,
    'This process is shutting down and accepts no new requests.',
    'Send the request again; another process will serve it.',
  ),
  shut_down: entry(
    502,
    'This process had to stop while the call may have been running.',
    'Check whether the call took effect before sending it again.',
  ),
  upstream_lost: entry(
    502,
    'The upstream became unreachable while the call may have been running.',
    'Check whether the call took effect before sending it again.',
  ),
  upstream_failed: entry(
    502,
    'The upstream did not return a complete answer.',
    'Check whether the call took effect before sending it again.',
  ),
  engine_unreachable: entry(
    503,
    'The sidecar cannot connect to its upstream.',
    'Retry after the time in Retry-After.',
  ),
  log_unavailable: entry(
    503,
    "The platform's log, which this idempotency key needs, is unreachable.",
    'Retry after the time in Retry-After, or use a key from /baobabspan/keys.',
  ),
  key_reused: entry(
    422,
    'The idempotency key was already used with a different request.',
    'Use a new key for each new request.',
  ),
  key_expired: entry(
    410,
    'The idempotency key is past its retention time.',
    'Check whether the first call took effect; use a new key.',
  ),
  never_received: entry(
    503,
    'The sidecar never received the request and will not run it.',
    'Send the request again.',
  ),
  answer_expired: entry(
    410,
    'The call ran, but its answer is no longer stored.',
    'Check the effects of the call; do not send it with a new key.',
  ),
  key_in_progress: entry(
    409,
    'The first call with this idempotency key is still running.',
    'Retry with the same key after the time in Retry-After.',
  ),
  store_unavailable: entry(
    503,
    "The platform's store does not respond.",
    'The process continues with its last known state; check the store.',
  ),
  bad_registration: entry(
    422,
    'A registration does not describe a valid upstream.',
    'See the detail for the field; another program may have written it.',
  ),
  bad_declaration: entry(
    422,
    'A version of the configuration cannot be read.',
    'See the detail for the field; the previous version stays in force.',
  ),
  weight_store_unavailable: entry(
    503,
    "The platform's weight store does not respond or is at its rate limit.",
    'Loading is retried automatically; if this persists, check the store.',
  ),
  // Between processes or internal.
  link_closed: entry(
    502,
    'The link to the peer closed.',
    'See the log of the peer.',
  ),
  link_silent: entry(
    502,
    'The peer sent nothing before the timeout.',
    'Check that the peer runs and that the network between the two works.',
  ),
  link_overflow: entry(
    502,
    'The send buffer of the link is full: the peer reads too slowly.',
    'Check whether the peer is short of CPU time.',
  ),
  link_refused: entry(
    403,
    'The peer did not authenticate with the link key.',
    'Start all processes of the estate with the same --link-key.',
  ),
  bad_frame: entry(
    400,
    'A frame on a link was malformed.',
    'Check that both processes run compatible versions.',
  ),
  invalid_configuration: entry(
    422,
    'The configuration is invalid.',
    'Run `baobabspan check FILE`.',
  ),
  publication_refused: entry(
    409,
    'Another publication was accepted first.',
    'Fetch the version in force, merge, and publish based on its number.',
  ),
  publication_unsettled: entry(
    504,
    'The log did not confirm whether the publication was accepted.',
    'Run the same command again; the same publication is never accepted twice.',
  ),
  log_gap: entry(
    503,
    'The log has discarded records that no checkpoint covers.',
    'Wait until a running process writes a checkpoint; see docs/OPERATIONS.md.',
  ),
  newer_schema: entry(
    422,
    'The log contains a configuration that needs a newer program version.',
    'Publish with the newest version of the program.',
  ),
  usage: entry(
    2,
    'The command line or the settings are invalid.',
    'See --help.',
  ),
  internal_not_run: entry(
    503,
    'This process hit an unexpected error before it sent the request on.',
    'Send the request again; report it together with the log line.',
  ),
  internal: entry(
    500,
    'This process hit an unexpected error.',
    'Report it together with the log line.',
  ),
} as const satisfies Record<string, ErrorEntry>;

/** Name of an error in the catalogue. */
export type ErrorName = keyof typeof ERRORS;
