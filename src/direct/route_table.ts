import type {Chance, OrganisationName, ServiceName} from '../core/index.js';
import type {DirectConfiguration, Route} from './types.js';

/** What a caller's request is allowed to be. */
export type RouteDecision =
  | {
      readonly kind: 'allowed';
      readonly route: Route;
      /** Nothing on routes that need no key, when none was given. */
      readonly organisation: OrganisationName | undefined;
      /** The organisation's priority, or else the route's. */
      readonly priority: number;
    }
  | {readonly kind: 'unknown_route'}
  | {readonly kind: 'unauthorized'};

interface KeyOwner {
  readonly name: OrganisationName;
  readonly priority: number | undefined;
}

/** One version of the configuration, indexed for requests. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();
  private readonly ownersByKey = new Map<string, KeyOwner>();

  /** @param configuration - the version to index */
  constructor(readonly configuration: DirectConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? [];
      routes.push(route);
      this.byHost.set(host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const {name, keys, priority} of configuration.organisations) {
      for (const key of keys) this.ownersByKey.set(key, {name, priority});
    }
  }

  /**
   * Finds the route of a request and checks its key.
   * @param host - host that the request names, with or without a port
   * @param path - path with its query
   * @param key - key that the caller presented, if any
   */
  decide(host: string, path: string, key: string | undefined): RouteDecision {
    const route = this.match(host, path);
    if (route === undefined) return {kind: 'unknown_route'};
    const holder = key === undefined ? undefined : this.ownersByKey.get(key);
    const {organisations} = this.configuration;
    const isRequired = route.needsKey && organisations.length > 0;
    if (holder === undefined && isRequired) return {kind: 'unauthorized'};
    return {
      kind: 'allowed',
      route,
      organisation: holder?.name,
      priority: holder?.priority ?? route.priority,
    };
  }

  private match(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    const [plain = ''] = path.split('?', 1);
    return this.byHost
      .get(name)
      ?.find(({pathPrefix}) => plain.startsWith(pathPrefix));
  }
}

/**
 * Draws the service of a request by the weights of its route.
 * @param route - the route
 * @param chance - draws
 */
export function pickService(route: Route, chance: Chance): ServiceName {
  const {targets} = route;
  const [only] = targets;
  if (only === undefined) throw new RangeError('a route without a target');
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  if (targets.length === 1 || total <= 0) return only.service;
  let left = chance.fraction() * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return only.service;
}

/** Keeps the newest version that was seen; an older one never replaces it. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  /** The table in force, once there is one. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /**
   * Offers a version.
   * @param configuration - the version
   * @returns whether it is in force now
   */
  offer(configuration: DirectConfiguration): boolean {
    const known = this.table?.configuration.version;
    if (known !== undefined && configuration.version <= known) return false;
    this.table = new RouteTable(configuration);
    return true;
  }
}
