import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {
  Configuration,
  Priority,
  Route,
  Service,
} from '../configuration/index.js';
import {serviceName} from '../core/index.js';
import type {Millis, ServiceName} from '../core/index.js';
import {Fault} from '../errors/index.js';

const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'];
const SERVICE_PATH = /^\/services\/([^/?]+)(\/.*)?$/;

/** A request's service and settings from the configuration. */
export interface ResolvedRequest {
  readonly name: ServiceName;
  readonly service: Service;
  readonly idempotent: boolean;
  readonly deadline: Millis;
  readonly priority: Priority;
  /** Path and query at the upstream. */
  readonly path: string;
}

/**
 * Returns whether a path is a completion, whose body names the service.
 * @param path - path of the request
 */
export function isCompletion(path: string): boolean {
  return COMPLETION_PATHS.includes(stripQuery(path));
}

/**
 * Finds the service of a completion.
 * @param cfg - the configuration in force
 * @param path - path of the request
 * @param model - the `model` field of its body
 * @returns the resolved request, or `unknown_service`
 */
export function resolveCompletion(
  cfg: Configuration,
  path: string,
  model: string,
): Result<ResolvedRequest, Fault> {
  for (const [name, service] of Object.entries(cfg.services)) {
    if (service.kind !== 'model' || (service.model ?? name) !== model) continue;
    const {deadline, priority} = service;
    const found = {name: serviceName(name), service, deadline, priority, path};
    return ok({...found, idempotent: true});
  }
  return err(new Fault('unknown_service', `no service has model ${model}`));
}

/**
 * Finds the service and route of a call to a plain service.
 * @param cfg - the configuration in force
 * @param method - HTTP method of the request
 * @param path - path of the request
 * @returns the resolved request, or `not_found`, `unknown_service` or
 *   `unknown_route`
 */
export function resolvePlain(
  cfg: Configuration,
  method: string,
  path: string,
): Result<ResolvedRequest, Fault> {
  const [, requested, rest = '/'] = SERVICE_PATH.exec(path) ?? [];
  if (requested === undefined) return err(new Fault('not_found'));
  const name = serviceName(requested);
  const service = Object.hasOwn(cfg.services, name)
    ? cfg.services[name]
    : undefined;
  if (service?.kind !== 'plain') {
    return err(new Fault('unknown_service', `no plain service ${requested}`));
  }
  const route = service.routes.find(candidate =>
    matchesRoute(candidate, method, stripQuery(rest)),
  );
  if (route === undefined) {
    return err(new Fault('unknown_route', `${method} ${rest}`));
  }
  return ok({
    name,
    service,
    idempotent: route.idempotent,
    deadline: route.deadline ?? service.deadline,
    priority: route.priority ?? service.priority,
    path: rest,
  });
}

function stripQuery(path: string): string {
  return path.split('?', 1)[0] ?? path;
}

function matchesRoute(route: Route, method: string, path: string): boolean {
  if (route.method !== method) return false;
  if (!route.path.endsWith('*')) return route.path === path;
  return path.startsWith(route.path.slice(0, -1));
}
