import type {Chance, Millis, ServiceName} from '../../../core/index.js';
import {OverloadQueue} from '../../../overload/index.js';
import type {DispatchRequest, UpstreamDirectory} from './dispatch_request.js';

/** Queues of the requests beyond the capacity, one per service. */
export class ServiceQueues {
  private readonly queues = new Map<
    ServiceName,
    OverloadQueue<DispatchRequest>
  >();

  /**
   * @param directory - tells which services order their requests by priority
   * @param chance - spreads the returns of rejected requests
   */
  constructor(
    private readonly directory: Pick<UpstreamDirectory, 'isByPriority'>,
    private readonly chance: Chance,
  ) {}

  /** Number of queued requests. */
  get length(): number {
    let length = 0;
    for (const queue of this.queues.values()) length += queue.length;
    return length;
  }

  /**
   * Returns the queue of a service, in its present order.
   * @param now - current time
   * @param service - the service
   */
  of(now: Millis, service: ServiceName): OverloadQueue<DispatchRequest> {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      queue = new OverloadQueue(this.chance);
      this.queues.set(service, queue);
    }
    queue.setByPriority(now, this.directory.isByPriority(service));
    return queue;
  }

  /**
   * Returns the queue of a service if it has been used.
   * @param service - the service
   */
  find(service: ServiceName): OverloadQueue<DispatchRequest> | undefined {
    return this.queues.get(service);
  }

  /**
   * Returns all queues, in their present order.
   * @param now - current time
   */
  all(now: Millis): OverloadQueue<DispatchRequest>[] {
    return [...this.queues.keys()].map(service => this.of(now, service));
  }

  /**
   * Returns the fields of `/status`.
   * @param now - current time
   */
  statusAt(now: Millis): object[] {
    return [...this.queues].map(([service, queue]) => ({
      service,
      ...queue.statusAt(now),
    }));
  }
}
