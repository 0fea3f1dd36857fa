/** What a kind of error is: its message and what to do about it. */
export interface ErrorEntry {
  /** HTTP status towards a caller, where one sees it. */
  readonly status: number;
  /** One sentence for people. */
  readonly message: string;
  /** What the reader can do about it. */
  readonly hint: string;
}

const entry = (status: number, message: string, hint: string): ErrorEntry => ({
  status,
  message,
  hint,
});

/**
 * Every error that leaves the program, by name. The name is the `reason` of
 * problem bodies, counters and log lines.
 */
export const ERRORS = {
  // Towards callers.
  no_configuration: entry(
    503,
    'No configuration is in force at this entry yet.',
    'Come back after Retry-After; operators see /readyz for why.',
  ),
  not_found: entry(
    404,
    'No service has this path.',
    'Call /v1/chat/completions, /v1/completions or /services/<name>/<path>.',
  ),
  unknown_service: entry(
    404,
    'The configuration in force has no such service.',
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
    'See the detail for the place.',
  ),
  headers_too_large: entry(
    431,
    'The headers are larger than the system accepts.',
    'Send fewer or shorter headers.',
  ),
  request_timeout: entry(
    408,
    'The request did not arrive in time.',
    'Send it again, faster.',
  ),
  caller_gone: entry(
    499,
    'The caller went away before its request was whole.',
    'Nothing was run.',
  ),
  body_too_large: entry(
    413,
    'The body is larger than the service accepts.',
    'Send a smaller body, or have the limit raised.',
  ),
  organisation_over_limit: entry(
    429,
    'The organisation is over one of its limits.',
    'Come back after Retry-After.',
  ),
  overloaded: entry(
    503,
    'No upstream can take the request in time.',
    'Come back after Retry-After.',
  ),
  no_upstream: entry(
    503,
    'No upstream of the service is reachable.',
    'Come back after Retry-After; operators see /status for the members.',
  ),
  group_down: entry(
    503,
    'The group of ranks that serves the request is not whole.',
    'Come back after Retry-After; operators see the log for the rank.',
  ),
  dependency_over_limit: entry(
    503,
    'The share of this service that the caller may use is taken.',
    'Come back after Retry-After.',
  ),
  undeclared_dependency: entry(
    403,
    'The calling service does not declare that it depends on this one.',
    'Add the service to dependsOn of the caller, or drop the header.',
  ),
  deadline_passed: entry(
    504,
    'The deadline passed before the answer was there.',
    'Allow more time with Baobabspan-Deadline-Ms.',
  ),
  draining: entry(
    503,
    'This process is shutting down and takes no new work.',
    'Send the request again; it goes to another process.',
  ),
  upstream_lost: entry(
    502,
    'The upstream was lost while the call may have been running.',
    'Look up whether the call took effect before sending it again.',
  ),
  upstream_failed: entry(
    502,
    'The upstream did not give a whole answer.',
    'Look up whether the call took effect before sending it again.',
  ),
  engine_unreachable: entry(
    503,
    'The sidecar cannot connect to its upstream.',
    'Come back after Retry-After.',
  ),
  log_unavailable: entry(
    503,
    "The platform's log cannot be reached, and the key needs it.",
    'Come back after Retry-After, or use a key from /baobabspan/keys.',
  ),
  key_reused: entry(
    422,
    'The idempotency key was first used with another request.',
    'Use a new key for a new request.',
  ),
  key_expired: entry(
    410,
    'The idempotency key is older than keys are remembered.',
    'Look up whether the first call took effect; use a new key.',
  ),
  never_received: entry(
    503,
    'The sidecar never got the request and will not run it.',
    'Send the request again.',
  ),
  answer_expired: entry(
    410,
    'The call ran, but its answer is no longer kept.',
    'Look up what the call did; do not send it with a new key.',
  ),
  key_in_progress: entry(
    409,
    'The first call with this idempotency key is still running.',
    'Come back after Retry-After with the same key.',
  ),
  store_unavailable: entry(
    503,
    "The platform's store does not answer.",
    'The process goes on with what it knows; see the store when it lasts.',
  ),
  bad_registration: entry(
    422,
    'A registration names no upstream.',
    'See the detail for the field; another writer may have made it.',
  ),
  bad_declaration: entry(
    422,
    'A version of the configuration cannot be read.',
    'See the detail for the field; the version before stays in force.',
  ),
  weight_store_unavailable: entry(
    503,
    "The platform's weight store does not answer or is at its limit.",
    'Loading goes on by itself; see the store when it lasts.',
  ),
  // Between processes and inside them.
  link_closed: entry(502, 'The link to the peer closed.', 'See its log.'),
  link_silent: entry(
    502,
    'The peer was silent for too long.',
    'See whether it runs and whether the network between the two is whole.',
  ),
  link_overflow: entry(
    502,
    'The peer did not take what was sent to it.',
    'See whether it is short of processor time.',
  ),
  link_refused: entry(
    403,
    'The peer did not prove that it has the link key.',
    'Give all processes of the estate the same --link-key.',
  ),
  bad_frame: entry(
    400,
    'A frame on a link was malformed.',
    'Check that both programs are of compatible versions.',
  ),
  invalid_configuration: entry(
    422,
    'The configuration text has findings.',
    'Run `baobabspan check FILE`.',
  ),
  publication_refused: entry(
    409,
    'Another publication was accepted first.',
    'Fetch the version in force, merge, and publish on its number.',
  ),
  publication_unsettled: entry(
    504,
    'The log did not tell whether the publication was taken.',
    'Run the same command again: the same publication is not taken twice.',
  ),
  log_gap: entry(
    503,
    'The log no longer keeps all records, and holds no checkpoint for them.',
    'Wait for a checkpoint of a running process; see docs/OPERATIONS.md.',
  ),
  newer_schema: entry(
    422,
    'The log holds a text that only a newer program can judge.',
    'Publish with the newest program.',
  ),
  usage: entry(2, 'The command line or the settings are wrong.', 'See --help.'),
  internal: entry(
    500,
    'An unexpected fault in this process.',
    'Report it with the log line.',
  ),
} as const satisfies Record<string, ErrorEntry>;

/** Name of an error in the catalogue. */
export type ErrorName = keyof typeof ERRORS;
