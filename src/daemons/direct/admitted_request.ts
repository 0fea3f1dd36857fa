import type {Millis, OrganisationName, ServiceName} from '../../core/index.js';
import {requestFingerprint} from '../../direct/index.js';
import type {
  HeaderLines,
  PromptPartId,
  RequestMetadata,
  Route,
} from '../../direct/index.js';

import type {BufferedBody} from '../shared/buffered_body.js';
import type {DispatchRequest} from './dispatch/index.js';
import type {BufferedRequest} from './front_server.js';
import type {AllowedHead} from './head_decision.js';

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
 * Returns a request that the configuration in force allows.
 * @param received - the request as it was received
 * @param metadata - metadata of its head
 * @param head - the decision on its head
 * @param service - service that serves it
 */
export function admitRequest(
  {req, headers, body, arrivedAt}: BufferedRequest,
  metadata: RequestMetadata,
  {table, decision}: AllowedHead,
  service: ServiceName,
): AdmittedRequest {
  const {route, organisation, priority} = decision;
  const {method = 'GET', url: path = '/'} = req;
  const target = {method, path, organisation, body: body.bytes};
  const hasPrompt = metadata.ownPart !== undefined;
  return {
    metadata,
    fingerprint: hasPrompt ? undefined : requestFingerprint(target),
    ...{route, service, organisation, priority, headers, body, arrivedAt},
    version: table.configuration.version,
  };
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

/** What a dispatcher places and queues a request by. */
export type DispatchTerms = Pick<
  DispatchRequest,
  | 'id'
  | 'service'
  | 'route'
  | 'organisation'
  | 'promptTokens'
  | 'expectedTokens'
  | 'bytes'
  | 'priority'
  | 'target'
  | 'targetAt'
  | 'expiresAt'
  | 'deadlineAt'
  | 'callerTimeout'
  | 'mayWait'
>;

/**
 * Returns what a dispatcher places and queues a request by.
 * @param request - the request
 * @param lastDeliveryAt - time at which its caller last received an event
 */
export function dispatchTerms(
  request: AdmittedRequest,
  lastDeliveryAt: Millis,
): DispatchTerms {
  const {arrivedAt, metadata, priority, route, service} = request;
  const {id, promptTokens, expectedTokens, callerTimeout} = metadata;
  const {latencyTarget: target, repeat, silencePatience} = route;
  return {
    ...{id, service, priority, target, promptTokens, expectedTokens},
    route: route.name,
    organisation: request.organisation,
    bytes: request.body.size,
    callerTimeout,
    deadlineAt: arrivedAt + (callerTimeout ?? route.timeout),
    targetAt: arrivedAt + target,
    expiresAt: Math.min(lastDeliveryAt + silencePatience, deadlineOf(request)),
    mayWait: repeat === 'stream',
  };
}
