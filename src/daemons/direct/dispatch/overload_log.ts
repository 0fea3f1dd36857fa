import type {Millis} from '../../../core/index.js';
import type {ShedReason, Waiting} from '../../../overload/index.js';
import type {Logger, Metrics} from '../../../observability/index.js';
import type {DispatchRequest, Unplaced} from './dispatch_request.js';

/** A request that was taken from a queue and rejected. */
export interface RejectedWaiting extends Waiting<DispatchRequest> {
  /** Why the queue shed it, or why it can't be placed and can't wait. */
  readonly reason: ShedReason | Unplaced;
  /** Number of requests that were ahead of it. */
  readonly ahead: number;
  readonly retryIn?: Millis | undefined;
}

/** Logs and counts the requests that a queue delays and sheds. */
export class OverloadLog {
  private readonly delays;
  private readonly sheds;

  /**
   * @param logger - writes a line for each of them
   * @param metrics - counts them
   */
  constructor(
    private readonly logger: Logger,
    metrics: Metrics,
  ) {
    this.delays = metrics.counter(
      'baobabspan_queue_delays_total',
      'Requests that were sent after they had waited, by priority and service',
      ['priority', 'service'],
    );
    this.sheds = metrics.counter(
      'baobabspan_queue_sheds_total',
      'Requests that the queue shed, by reason, priority and service',
      ['reason', 'priority', 'service'],
    );
  }

  /**
   * Records that a request is sent after it has waited.
   * @param now - current time
   * @param waiting - the request
   */
  recordDelayed(now: Millis, waiting: Waiting<DispatchRequest>): void {
    const {req} = waiting;
    const {priority, service} = req;
    this.delays.inc({priority, service});
    this.logger.info('request_delayed', {
      ...fieldsOf(now, waiting),
      ahead: waiting.aheadAtFirst,
      late: now > req.targetAt,
    });
  }

  /**
   * Records that a request was rejected after it had waited.
   * @param now - current time
   * @param shed - the request
   */
  recordShed(now: Millis, shed: RejectedWaiting): void {
    const {reason, ahead, retryIn, req} = shed;
    const {priority, service} = req;
    this.sheds.inc({reason, priority, service});
    this.logger.info('request_shed', {
      ...fieldsOf(now, shed),
      reason,
      ahead_at_first: shed.aheadAtFirst,
      ahead,
      left_ms: Math.round(req.expiresAt - now),
      retry_in_ms: retryIn && Math.round(retryIn),
    });
  }
}

function fieldsOf(now: Millis, waiting: Waiting<DispatchRequest>) {
  const {req, isRepeat, queuedAt} = waiting;
  return {
    id: req.id,
    service: req.service,
    priority: req.priority,
    organisation: req.organisation,
    repeated: isRepeat,
    waited_ms: Math.round(now - queuedAt),
  };
}
