import type {DirectConfiguration} from '../direct/index.js';
import {contradictingEdgeLimits, ineffectiveKeys} from './caller_rules.js';
import {
  contradictingRouteLimits,
  ineffectiveTargets,
  servicesOf,
  unreachableRoutes,
} from './route_rules.js';
import type {Remark, ReviewContext} from './types.js';

/** Finds names that stand twice, of which lines and logs don't tell which. */
function duplicateNames({
  routes,
  services,
  organisations,
}: DirectConfiguration): Remark[] {
  const kinds = {route: routes, service: services, organisation: organisations};
  return Object.entries(kinds).flatMap(([kind, named]) => {
    const names = named.map(({name}): string => name);
    const repeated = names.filter((name, i) => names.indexOf(name) < i);
    return [...new Set(repeated)].map(name => ({
      severity: kind === 'route' ? ('warning' as const) : ('error' as const),
      place: `${kind} ${name}`,
      message: 'is declared more than once',
      rule: 'duplicate-name',
    }));
  });
}

/** Finds services without requests, and engines without an expert layout. */
function ineffectiveServices({
  routes,
  services,
}: DirectConfiguration): Remark[] {
  const used = new Set(routes.flatMap(servicesOf));
  return services.flatMap(({name, hasEngines, experts}) => {
    const found: Remark[] = [];
    const add = (message: string, rule: string) =>
      found.push({
        severity: 'warning',
        place: `service ${name}`,
        message,
        rule,
      });
    if (!used.has(name)) add('gets requests of no route', 'unused-service');
    if (hasEngines && experts === undefined)
      add(
        'the expert layout of its engines is incomplete; maps stay as they are',
        'no-expert-layout',
      );
    return found;
  });
}

function staleVersion(
  {version}: DirectConfiguration,
  {versionInForce}: ReviewContext,
): Remark[] {
  if (versionInForce === undefined || version > versionInForce) return [];
  const message = `is not above version ${versionInForce}, which stays in force`;
  const place = `version ${version}`;
  return [{severity: 'error', place, message, rule: 'stale-version'}];
}

/**
 * Reviews a configuration before it is sent: errors, parts that never take effect,
 * and limits that contradict each other.
 * @param configuration - the configuration
 * @param context - the deployment, as far as it is known
 * @returns the remarks, errors first
 */
export function reviewConfiguration(
  configuration: DirectConfiguration,
  context: ReviewContext = {},
): Remark[] {
  const remarks = [
    ...staleVersion(configuration, context),
    ...duplicateNames(configuration),
    ...unreachableRoutes(configuration),
    ...ineffectiveTargets(configuration),
    ...contradictingRouteLimits(configuration, context),
    ...contradictingEdgeLimits(configuration),
    ...ineffectiveServices(configuration),
    ...ineffectiveKeys(configuration),
  ];
  const isError = ({severity}: Remark) => severity === 'error';
  return [...remarks.filter(isError), ...remarks.filter(r => !isError(r))];
}
