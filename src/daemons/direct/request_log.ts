import type {Clock, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ExtraResponse, RequestId, Upstream} from '../../direct/index.js';
import type {ErrorName} from '../../errors/index.js';
import type {Fields, Logger, Metrics} from '../../observability/index.js';
import type {CutReason} from '../shared/connection_events.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {BegunAttempt} from './attempt_sequence.js';
import type {ExchangeResult, FailedAttempt} from './context.js';

/** Logs and counts what becomes of requests and their attempts. */
export class RequestLog {
  private readonly attemptFailures;
  private readonly extraResponses;
  private readonly attempts;
  private readonly throttled;

  /**
   * @param clock - the clock
   * @param logger - writes the lines
   * @param metrics - counts the outcomes
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly metrics: Metrics,
  ) {
    this.attemptFailures = metrics.counter(
      'baobabspan_attempt_failures_total',
      'Attempts at an upstream without a whole good answer, by reason',
      ['reason', 'service'],
    );
    this.attempts = metrics.counter(
      'baobabspan_attempts_total',
      'Attempts at upstreams, by what they were charged to',
      ['charge', 'service'],
    );
    this.throttled = metrics.counter(
      'baobabspan_callers_throttled_total',
      'Connections that are read in turns since their chunks are very small',
    );
    this.extraResponses = metrics.counter(
      'baobabspan_extra_responses_total',
      'Responses found within the body of another one, by result',
      ['result', 'service'],
    );
  }

  /**
   * Counts an attempt, and logs it unless it is the first one.
   * @param request - its request
   * @param upstream - id of the upstream
   * @param attempt - the attempt
   */
  recordAttempt(
    {metadata, route, service}: AdmittedRequest,
    upstream: string,
    attempt: BegunAttempt,
  ): void {
    this.attempts.inc({charge: attempt.charge, service});
    if (attempt.charge === 'first') return;
    this.logger.info('attempt_repeated', {
      id: metadata.id,
      service,
      upstream,
      attempt: attempt.number,
      tries: attempt.tries,
      max_attempts: route.maxAttempts,
      charge: attempt.charge,
      after: attempt.after,
      left_ms: Math.floor(attempt.timeLeft),
      caller_ms: metadata.callerTimeout,
      since_first_ms: Math.round(attempt.sinceFirst),
    });
  }

  /**
   * Records a failed attempt.
   * @param now - current time
   * @param request - its request
   * @param attempt - the attempt
   */
  recordFailure(
    now: Millis,
    {metadata, service}: AdmittedRequest,
    {upstream, progress, failure, body, latest}: FailedAttempt,
  ): void {
    this.attemptFailures.inc({
      reason: failure.kind === 'not_run' ? failure.reason : failure.kind,
      service,
    });
    const detail =
      failure.kind === 'failed_answer' ? failure.status : failure.reason;
    const idle = progress.idleTime(now);
    this.logger.info('attempt_failed', {
      id: metadata.id,
      upstream: upstream.registration.id,
      kind: failure.kind,
      detail,
      attempt: latest?.number,
      charge: latest?.charge,
      left_ms: latest && Math.floor(latest.timeLeft),
      ms: Math.round(now - progress.sentAt),
      started: progress.hasStarted,
      events: progress.events,
      idle_ms: idle && Math.round(idle),
      body_bytes: body?.bytes,
      framing: body?.framing,
      parts: metadata.sharedParts.join(',') || undefined,
    });
  }

  /**
   * Records that an upstream sent another response within the body of one.
   * @param request - the request of the body
   * @param upstream - the upstream
   * @param extra - the other response
   */
  recordExtraResponse(
    {metadata, service}: AdmittedRequest,
    {registration}: Upstream,
    extra: ExtraResponse,
  ): void {
    const result = extra.isBodyWhole ? 'cut_off' : 'attempt_failed';
    this.extraResponses.inc({result, service});
    this.logger.warn('extra_response', {
      id: metadata.id,
      upstream: registration.id,
      result,
      extra_id: extra.id,
      extra_status: extra.status,
      body_bytes: extra.bodyBytes,
    });
  }

  /**
   * Records the result of a request.
   * @param request - the request
   * @param result - its result
   */
  recordFinished(request: AdmittedRequest, result: ExchangeResult): void {
    const now = this.clock.now();
    const {arrivedAt, service, route} = request;
    const since = (at: Millis | undefined) =>
      at === undefined ? undefined : Math.round(at - arrivedAt);
    const {attempts} = result;
    const {metrics} = this;
    metrics.outcomes.inc({outcome: result.outcome, service});
    if (result.retryAfter !== undefined) {
      metrics.refusals.inc({reason: result.outcome, service});
    }
    const answeredAt = result.firstByteAt ?? now;
    if (result.outcome === 'answered') {
      metrics.firstByteSeconds.observe(
        {service},
        (answeredAt - arrivedAt) / SECOND,
      );
    }
    this.logger.info('request', {
      id: request.metadata.id,
      route: route.name,
      service,
      priority: request.priority,
      organisation: request.organisation,
      version: request.version,
      upstream: result.upstream,
      sends: attempts.sends + (result.outcome === 'answered' ? 1 : 0),
      tries: attempts.latest?.tries ?? 0,
      given_up: attempts.givenUp,
      caller_ms: request.metadata.callerTimeout,
      left_ms: attempts.timeLeft && Math.floor(attempts.timeLeft),
      read_ms: Math.round(attempts.readTime),
      connect_ms: attempts.connectTime && Math.round(attempts.connectTime),
      outcome: result.outcome,
      status: result.status,
      events: result.deliveredEvents,
      body_bytes: result.body?.bytes,
      framing: result.body?.framing,
      first_ms: since(result.firstByteAt),
      waited_ms: Math.round(attempts.queueTime),
      ms: since(now),
      unplaced: result.rejectedIn?.reason,
      evacuated: result.rejectedIn?.evacuatedZones,
      shed: result.rejectedIn?.shed,
      queued: result.rejectedIn?.queueLength,
      down_ms: result.rejectedIn && Math.round(result.rejectedIn.downtime),
      retry_after_ms: result.retryAfter && Math.round(result.retryAfter),
    });
  }

  /**
   * Records a request that was refused before it was admitted.
   * @param id - id of the request
   * @param reason - the error
   * @param arrivedAt - time of its arrival
   * @param fields - what the decision depended on
   */
  recordRejected(
    id: RequestId | undefined,
    reason: ErrorName,
    arrivedAt: Millis,
    fields: Fields,
  ): void {
    this.metrics.refusals.inc({reason, service: ''});
    const ms = Math.round(this.clock.now() - arrivedAt);
    this.logger.info('refused', {id, reason, ms, ...fields});
  }

  /**
   * Records a complete response that was cut before all of it was sent.
   * @param id - id of the request
   * @param reason - why it was cut
   * @param unsentBytes - bytes that have not left the process
   */
  recordCut(
    id: RequestId | undefined,
    reason: CutReason,
    unsentBytes: number,
  ): void {
    this.metrics.cutResponses.inc({reason});
    this.logger.info('response_cut', {id, reason, unsent_bytes: unsentBytes});
  }

  /**
   * Records a connection that was closed for the memory that it held.
   * @param heldBytes - the memory, bytes
   * @param open - number of its open requests
   * @param ids - ids of some of them
   */
  recordOverBudget(heldBytes: number, open: number, ids: string): void {
    this.metrics.closedCallers.inc({reason: 'over_budget'});
    this.logger.warn('caller_closed', {
      reason: 'over_budget',
      held_bytes: heldBytes,
      open,
      open_ids: ids,
    });
  }

  /**
   * Records a connection that is read in turns, since its chunks are very small.
   * @param id - id of the request that it sends
   */
  recordThrottled(id: RequestId | undefined): void {
    this.throttled.inc();
    this.logger.info('caller_throttled', {id});
  }
}
