import type {ServiceName} from '../../../core/index.js';
import type {DirectConfiguration} from '../../../direct/index.js';
import {PriorityIndex} from '../../../overload/index.js';

/** What the configuration in force says of services. */
export class ServiceView {
  private readonly priorities = new PriorityIndex();

  /** @param configuration - returns the configuration in force */
  constructor(
    private readonly configuration: () => DirectConfiguration | undefined,
  ) {}

  /**
   * Returns whether the upstreams of a service run model engines.
   * @param service - the service
   */
  hasEngines(service: ServiceName): boolean {
    const services = this.configuration()?.services ?? [];
    return services.some(
      ({name, hasEngines}) => hasEngines && name === service,
    );
  }

  /**
   * Returns whether the requests of a service differ in priority.
   * @param service - the service
   */
  isByPriority(service: ServiceName): boolean {
    return this.priorities.isUnequal(this.configuration(), service);
  }
}
