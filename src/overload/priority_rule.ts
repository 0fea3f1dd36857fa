import type {ServiceName} from '../core/index.js';

/** What decides whether a service has requests of several priorities. */
export interface PriorityRules {
  readonly routes: readonly {
    readonly priority: number;
    readonly needsKey: boolean;
    readonly targets: readonly {readonly service: ServiceName}[];
  }[];
  readonly organisations: readonly {
    /** Replaces the priority of the routes. */
    readonly priority: number | undefined;
  }[];
}

/**
 * Returns whether the requests of a service differ in priority.
 * @param rules - the configuration in force
 * @param service - the service
 */
export function hasUnequalPriorities(
  {routes, organisations}: PriorityRules,
  service: ServiceName,
): boolean {
  const priorities = new Set<number>();
  for (const {priority, needsKey, targets} of routes) {
    if (!targets.some(target => target.service === service)) continue;
    for (const one of organisations) priorities.add(one.priority ?? priority);
    if (organisations.length === 0 || !needsKey) priorities.add(priority);
  }
  return priorities.size > 1;
}

/** Keeps the services with unequal priorities of one configuration. */
export class PriorityIndex {
  private rules: PriorityRules | undefined;
  private readonly known = new Map<ServiceName, boolean>();

  /**
   * Returns whether the requests of a service differ in priority.
   * @param rules - the configuration in force, if there is one
   * @param service - the service
   */
  isUnequal(rules: PriorityRules | undefined, service: ServiceName): boolean {
    if (rules !== this.rules) this.known.clear();
    this.rules = rules;
    if (rules === undefined) return false;
    let isUnequal = this.known.get(service);
    if (isUnequal === undefined) {
      isUnequal = hasUnequalPriorities(rules, service);
      this.known.set(service, isUnequal);
    }
    return isUnequal;
  }
}
