import type {Millis, ServiceName} from '../../core/index.js';
import {SharedRetryBudget} from '../../direct/index.js';
import type {
  EntryHistory,
  KnownEntries,
  RetryBound,
  RetryBudgetState,
  Upstream,
} from '../../direct/index.js';
import type {Logger, Metrics} from '../../observability/index.js';
import type {AdmittedRequest} from './admitted_request.js';

/** Charges retries to the budget of this entry; logs and counts them. */
export class RetryAccounting {
  private readonly budget: SharedRetryBudget;
  private readonly decisions;
  private phase: RetryBudgetState['phase'] | undefined;
  private entryCount: number | undefined;

  /**
   * @param bound - bound on the retries of all entries
   * @param knownEntries - returns the entries that share it
   * @param logger - logs decisions, and changes of what they depend on
   * @param metrics - counts decisions
   */
  constructor(
    bound: RetryBound,
    knownEntries: () => KnownEntries,
    private readonly logger: Logger,
    metrics: Metrics,
  ) {
    this.budget = new SharedRetryBudget(bound, knownEntries);
    this.decisions = metrics.counter(
      'baobabspan_retry_decisions_total',
      'Retries that the budget allowed and refused, by result and service',
      ['result', 'service'],
    );
  }

  /**
   * Replaces the bound.
   * @param bound - the bound of all entries
   */
  setBound(bound: RetryBound): void {
    this.budget.setBound(bound);
  }

  /**
   * Records that requests are accepted.
   * @param now - current time
   */
  startServing(now: Millis): void {
    this.budget.startServing(now);
  }

  /**
   * Records that the other entries can read of this one.
   * @param now - current time
   * @param history - how its place in the estate began
   */
  join(now: Millis, history: EntryHistory): void {
    this.budget.join(now, history);
    this.logger.info('joined', {history});
  }

  /**
   * Records a caller's request for a service.
   * @param now - current time
   * @param service - the service
   */
  recordRequest(now: Millis, service: ServiceName): void {
    this.budget.recordRequest(now, service);
  }

  /**
   * Charges a retry if the budget allows it.
   * @param now - current time
   * @param request - the request
   * @returns whether the retry may be sent
   */
  trySpend(now: Millis, request: AdmittedRequest): boolean {
    const {service, metadata} = request;
    const state = this.budget.stateOf(now, service);
    this.logChange(state);
    const isSpent = this.budget.trySpend(now, service, request);
    const result = isSpent ? 'spent' : 'refused';
    this.decisions.inc({result, service});
    this.logger.info(`retry_${result}`, {
      id: metadata.id,
      service,
      retries: state.retries,
      open: state.openRetries,
      requests: state.requests,
      allowed: round(state.allowance),
      share: round(state.share),
      entries: state.entryCount,
      phase: state.phase,
      age_ms: state.age && Math.round(state.age),
    });
    return isSpent;
  }

  /**
   * Records that a request's retry, if there is one, has arrived or will not.
   * @param now - current time
   * @param request - the request
   */
  settle(now: Millis, request: AdmittedRequest): void {
    this.budget.settle(now, request.service, request);
  }

  /**
   * Records that the open attempt of a request was given up.
   * @param now - current time
   * @param request - the request
   * @param upstream - the upstream
   */
  abandon(now: Millis, request: AdmittedRequest, upstream: Upstream): void {
    const {incarnation} = upstream;
    this.budget.abandon(now, request.service, request, incarnation);
  }

  /**
   * Records a response of an upstream.
   * @param now - current time
   * @param upstream - the upstream
   * @param sentAt - time at which its request was sent
   */
  recordResponse(now: Millis, upstream: Upstream, sentAt: Millis): void {
    const {incarnation, registration} = upstream;
    this.budget.recordResponse(now, registration.service, incarnation, sentAt);
  }

  private logChange({phase, entryCount, share}: RetryBudgetState): void {
    if (phase === this.phase && entryCount === this.entryCount) return;
    this.logger.info('retry_share', {
      phase,
      phase_before: this.phase,
      entries: entryCount,
      entries_before: this.entryCount,
      share: round(share),
    });
    [this.phase, this.entryCount] = [phase, entryCount];
  }
}

const round = (retries: number) => Number(retries.toFixed(2));
