import type {Chance, OrganisationName, ServiceName} from '../core/index.js';
import type {DirectConfiguration, Route, ServiceProfile} from './types.js';

/** Result of matching a request to a route and checking its key. */
export type RouteDecision =
  | {
      readonly kind: 'allowed';
      readonly route: Route;
      /** Undefined if the route needs no key and none was presented. */
      readonly organisation: OrganisationName | undefined;
      /** The organisation's priority; defaults to the route's. */
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
   * @param host - host of the request, with or without a port
   * @param path - path, including the query
   * @param key - API key of the caller, if any
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

  /**
   * Returns the profile of a service.
   * @param service - the service
   */
  profileOf(service: ServiceName): ServiceProfile | undefined {
    return this.configuration.services.find(({name}) => name === service);
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
 * Picks the service of a request at random by the weights of its route.
 * @param route - the route
 * @param chance - source of randomness
 */
export function pickService(route: Route, chance: Chance): ServiceName {
  const {targets} = route;
  const [only] = targets;
  if (only === undefined) throw new RangeError('route has no targets');
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  if (targets.length === 1 || total <= 0) return only.service;
  let remaining = chance.fraction() * total;
  for (const {service, weight} of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return only.service;
}

/** Holds the newest version seen; an older one never replaces it. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  /** Table of the version in force; undefined before the first version. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /**
   * Returns whether the upstreams of a service run model engines.
   * @param service - the service
   */
  hasEngines(service: ServiceName): boolean {
    const services = this.table?.configuration.services ?? [];
    return services.some(
      ({name, hasEngines}) => hasEngines && name === service,
    );
  }

  /**
   * Puts a version in force if it is newer than the current one.
   * @param configuration - the version
   * @returns whether the version was newer
   */
  offer(configuration: DirectConfiguration): boolean {
    const known = this.table?.configuration.version;
    if (known !== undefined && configuration.version <= known) return false;
    this.table = new RouteTable(configuration);
    return true;
  }
}
