import type {Millis} from '../../../core/index.js';
import type {Upstream} from '../../../direct/index.js';
import type {Logger} from '../../../observability/index.js';
import type {DispatchRequest} from '../dispatch/dispatch_request.js';

/** What became of a request for which only cold upstreams were left. */
export type KeptOutcome = 'waits' | 'rejected';

/** Numbers of requests, since the process started. */
export interface ColdRequestCounts {
  sent: number;
  waits: number;
  rejected: number;
}

/** Logs and counts the requests that cold upstreams get or are spared. */
export class ColdRequestLog {
  readonly counts: ColdRequestCounts = {sent: 0, waits: 0, rejected: 0};
  /** Requests whose wait was logged; they are tried on each pass of the queue. */
  private readonly waiting = new WeakSet<DispatchRequest>();

  /** @param logger - writes the lines */
  constructor(private readonly logger: Logger) {}

  /**
   * Records a request that used a permit.
   * @param req - the request
   * @param upstream - the cold upstream
   */
  recordSent({id, service}: DispatchRequest, upstream: Upstream): void {
    this.counts.sent += 1;
    const {id: receiver} = upstream.registration;
    this.logger.info('cold_request', {id, service, upstream: receiver});
  }

  /**
   * Records a request that no cold upstream may get now.
   * @param now - current time
   * @param req - the request
   * @param nextAt - time of the next permit, or of the end of the cold phase
   * @param outcome - what becomes of it
   */
  recordKept(
    now: Millis,
    req: DispatchRequest,
    nextAt: Millis,
    outcome: KeptOutcome,
  ): void {
    if (outcome === 'waits') {
      if (this.waiting.has(req)) return;
      this.waiting.add(req);
    }
    this.counts[outcome] += 1;
    this.logger.info('cold_request_kept', {
      id: req.id,
      service: req.service,
      outcome,
      next_ms: Math.round(nextAt - now),
    });
  }
}
