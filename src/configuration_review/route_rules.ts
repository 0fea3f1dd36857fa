import type {ServiceName} from '../core/index.js';
import type {DirectConfiguration, Route} from '../direct/index.js';
import type {Remark, ReviewContext} from './types.js';

const placeOf = ({name}: Route) => `route ${name}`;

/** Returns why a route matches no request whatever the others are. */
function mismatch({host, pathPrefix}: Route): string | undefined {
  if (!pathPrefix.startsWith('/'))
    return 'the path prefix has no leading slash';
  if (pathPrefix.includes('?')) return 'the path prefix includes a query';
  if (host === '') return 'the host is empty';
  // Requests are matched by their host without its port.
  return /:\d+$/.test(host) ? 'the host includes a port' : undefined;
}

/**
 * Finds routes that match no request: of those with the same host and prefix, the
 * first one gets all requests.
 * @param configuration - the configuration
 */
export function unreachableRoutes({routes}: DirectConfiguration): Remark[] {
  const first = new Map<string, Route>();
  return routes.flatMap(route => {
    const place = placeOf(route);
    const rule = 'unreachable-route';
    const reason = mismatch(route);
    if (reason !== undefined) {
      const message = `matches no request: ${reason}`;
      return [{severity: 'error', place, message, rule} as const];
    }
    const key = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    const earlier = first.get(key);
    if (earlier === undefined) {
      first.set(key, route);
      return [];
    }
    const message = `matches no request: ${placeOf(earlier)} has its host and prefix`;
    return [{severity: 'error', place, message, rule} as const];
  });
}

/**
 * Finds targets of routes that get no requests, or that do not exist.
 * @param configuration - the configuration
 */
export function ineffectiveTargets({
  routes,
  services,
}: DirectConfiguration): Remark[] {
  const known = new Set(services.map(({name}) => name));
  return routes.flatMap(route => {
    const place = placeOf(route);
    const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
    const found: Remark[] = [];
    for (const {service, weight} of route.targets) {
      if (!known.has(service)) {
        const message = `service ${service} is not declared`;
        found.push({
          severity: 'error',
          place,
          message,
          rule: 'unknown-service',
        });
      }
      if (weight < 0) {
        const message = `service ${service} has a negative weight`;
        found.push({severity: 'error', place, message, rule: 'bad-weight'});
      } else if (weight === 0 && total > 0) {
        const message = `service ${service} has weight 0 and gets no requests`;
        found.push({severity: 'warning', place, message, rule: 'zero-weight'});
      }
    }
    if (total <= 0 && route.targets.length > 1) {
      const message = 'all weights are 0: the first service gets all requests';
      found.push({severity: 'warning', place, message, rule: 'zero-weight'});
    }
    return found;
  });
}

/**
 * Returns the services that get requests of a route.
 * @param route - the route
 */
export function servicesOf({targets}: Route): ServiceName[] {
  const weighted = targets.filter(({weight}) => weight > 0);
  const chosen = weighted.length > 0 ? weighted : targets.slice(0, 1);
  return chosen.map(({service}) => service);
}

/**
 * Finds limits of routes that contradict each other or have no effect.
 * @param configuration - the configuration
 * @param context - the deployment
 */
export function contradictingRouteLimits(
  {routes}: DirectConfiguration,
  {upstreams}: ReviewContext,
): Remark[] {
  return routes.flatMap(route => {
    const place = placeOf(route);
    const {timeout, latencyTarget, gapTarget, maxAttempts, repeat} = route;
    const rule = 'contradicting-limits';
    const found: Remark[] = [];
    const add = (severity: Remark['severity'], message: string) =>
      found.push({severity, place, message, rule});
    if (timeout < latencyTarget)
      add(
        'error',
        `the time-out, ${timeout} ms, is below the latency target, ${latencyTarget} ms`,
      );
    else if (maxAttempts * latencyTarget > timeout)
      add(
        'warning',
        `${maxAttempts} attempts of ${latencyTarget} ms each exceed the time-out, ${timeout} ms`,
      );
    if (gapTarget !== undefined && gapTarget <= 0)
      add('error', `no stream meets a gap target of ${gapTarget} ms`);
    if (gapTarget !== undefined && gapTarget >= timeout)
      add(
        'error',
        `the gap target, ${gapTarget} ms, is not below the time-out, ${timeout} ms`,
      );
    if (gapTarget !== undefined && repeat !== 'stream')
      add('warning', 'a gap target has no effect on a route without streams');
    if (route.resumable && repeat !== 'stream')
      add('warning', 'only streams can be resumed');
    const counts = servicesOf(route).map(name => upstreams?.get(name) ?? 0);
    const most = Math.max(0, ...counts);
    if (upstreams !== undefined && most === 0)
      add('warning', 'no upstream of its services is registered');
    else if (upstreams !== undefined && maxAttempts > most)
      add(
        'warning',
        `${maxAttempts} attempts at different upstreams, and ${most} are registered`,
      );
    return found;
  });
}
