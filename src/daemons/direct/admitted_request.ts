import type {Millis, OrganisationName, ServiceName} from '../../core/index.js';
import type {
  HeaderLines,
  PromptPartId,
  RequestMetadata,
  Route,
} from '../../direct/index.js';

import type {BufferedBody} from '../shared/buffered_body.js';

/** Time before the caller's timeout at which the final response is due. */
const RESPONSE_MARGIN: Millis = 25;

/** A request that passed authorization and routing. */
export interface AdmittedRequest {
  readonly metadata: RequestMetadata;
  /** The same in all repeats of the request; undefined if it has a prompt. */
  readonly fingerprint: PromptPartId | undefined;
  readonly route: Route;
  readonly service: ServiceName;
  readonly organisation: OrganisationName | undefined;
  readonly priority: number;
  readonly headers: HeaderLines;
  /** Released when no further attempt needs it. */
  readonly body: BufferedBody;
  readonly arrivedAt: Millis;
  /** Version of the configuration that admitted it. */
  readonly version: number;
}

/**
 * Returns the time at which the final response is due.
 * @param request - the request
 */
export function deadlineOf({
  metadata,
  route,
  arrivedAt,
}: AdmittedRequest): Millis {
  const callerLimit = (metadata.callerTimeout ?? Infinity) - RESPONSE_MARGIN;
  return arrivedAt + Math.min(callerLimit, route.timeout);
}
