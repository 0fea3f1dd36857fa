import type {ServiceName} from '../../../core/index.js';
import type {RouteTable} from '../../../direct/index.js';
import {PriorityIndex} from '../../../overload/index.js';

/**
 * Returns a function that tells whether the requests of a service differ in
 * priority.
 * @param table - returns the routes in force
 */
export function priorityLookup(
  table: () => RouteTable | undefined,
): (service: ServiceName) => boolean {
  const index = new PriorityIndex();
  return service => index.isUnequal(table()?.configuration, service);
}
