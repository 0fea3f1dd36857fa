/** State of a request, as far as it affects its value. */
export type Standing =
  /** It can still start within its latency target. */
  | 'in_time'
  /** It can't, but its caller still takes a late answer. */
  | 'late'
  /** The same, and its caller was rejected before. */
  | 'repeated';

/**
 * Value of a late answer, as a fraction of that of one in time: the deployments
 * name 0.3 to 0.5.
 */
export const LATE_VALUE = 0.4;
/**
 * Assumed fraction of the callers that come back after a rejection and are
 * served late; the others are lost. In trials of the replays it was 0.2 to 0.9.
 */
const RETURN_SUCCESS = 0.5;
/** Factor between the weights of two successive priorities. */
const WEIGHT_RATIO = 2;
/** Less than one, so that repeated requests come after those in time. */
const REPEATED_CAP = 0.99;

/**
 * Returns the weight of a priority.
 * @param priority - the priority; 0 is the most urgent
 */
export const weightOf = (priority: number) => WEIGHT_RATIO ** -priority;

/** What the order of a queue and the choice of shed requests follow. */
export abstract class ValueModel {
  /** Whether the queue sheds by value, and names its own Retry-After. */
  abstract readonly isByPriority: boolean;

  /**
   * Returns the value of a start now, by which the queue is ordered.
   * @param standing - state of the request
   * @param priority - its priority
   * @param leastUrgent - the least urgent priority that is known
   */
  abstract startValue(
    standing: Standing,
    priority: number,
    leastUrgent: number,
  ): number;

  /**
   * Returns what the rejection of a request costs its caller.
   * @param standing - state of the request
   * @param priority - its priority
   */
  rejectionCost(standing: Standing, priority: number): number {
    const weight = weightOf(priority);
    if (standing === 'repeated') return weight * LATE_VALUE;
    const value = standing === 'in_time' ? 1 : LATE_VALUE;
    return weight * (value - RETURN_SUCCESS * LATE_VALUE);
  }
}

/** Value of services whose routes or organisations differ in priority. */
export class PriorityValueModel extends ValueModel {
  readonly isByPriority = true;

  startValue(
    standing: Standing,
    priority: number,
    leastUrgent: number,
  ): number {
    const weight = weightOf(priority);
    if (standing === 'in_time') return weight;
    const value = weight * LATE_VALUE;
    if (standing === 'late') return value;
    return Math.min(value, weightOf(leastUrgent) * REPEATED_CAP);
  }
}

/** Value of all other services: requests in time precede late ones. */
export class EqualValueModel extends ValueModel {
  readonly isByPriority = false;

  startValue(standing: Standing, priority: number): number {
    const weight = weightOf(priority);
    return standing === 'in_time' ? 1 + weight : weight / (1 + weight);
  }
}
