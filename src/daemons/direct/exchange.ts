import type {IncomingMessage, ServerResponse} from 'node:http';

import {isSuccessStatus} from '../../core/index.js';
import type {Millis} from '../../core/index.js';
import {
  StreamDelivery,
  actionAfterFailure,
  healthOutcomeOf,
} from '../../direct/index.js';
import type {
  ResponseMetadata,
  AttemptFailure,
  GroupKey,
  HeaderLines,
  RejectionCause,
  Upstream,
  HealthOutcome,
} from '../../direct/index.js';
import {Fault} from '../../errors/index.js';
import type {ErrorName} from '../../errors/index.js';
import {deadlineOf, dispatchTerms} from './admitted_request.js';
import type {AdmittedRequest} from './admitted_request.js';
import {AttemptAccount} from './attempt_account.js';
import {Attempt, attemptRequest} from './attempt.js';
import {AttemptSequence, EVACUATED, HELD_UP} from './attempt_sequence.js';
import type {ResponseHead, WholeResponse} from './attempt.js';
import type {DirectContext} from './context.js';
import {rejectionCause} from './dispatch/index.js';
import type {DispatchRequest, DispatchState} from './dispatch/index.js';
import {RequestContainment} from './request_containment.js';
import {ResponseForwarder} from './response_forwarder.js';
import {ResponseWriter} from './response_writer.js';

/** Handles a caller's request from its admission to its final response. */
export class Exchange {
  private readonly response: ResponseWriter;
  private readonly deadlineAt: Millis;
  private readonly delivery: StreamDelivery;
  private readonly forwarder: ResponseForwarder;
  private attempt: Attempt | undefined;
  private pending: DispatchRequest | undefined;
  /** Account of the latest attempt; undefined before the first. */
  private account: AttemptAccount | undefined;
  private readonly attempts: AttemptSequence;
  private mayHaveRun = false;
  private failedResponse: WholeResponse | undefined;
  private isFinished = false;
  private cause: RejectionCause = 'busy';
  /** State of the dispatcher when it rejected the request. */
  private rejectedIn: DispatchState | undefined;
  private readonly timer: NodeJS.Timeout;
  private readonly containment: RequestContainment;

  /**
   * @param context - shared state of the entry's requests
   * @param request - the admitted request
   * @param req - the caller's HTTP request
   * @param res - the HTTP response
   * @param onFinished - called once, at the end of the request
   */
  constructor(
    private readonly context: DirectContext,
    private readonly request: AdmittedRequest,
    private readonly req: IncomingMessage,
    res: ServerResponse,
    private readonly onFinished: () => void,
  ) {
    const {metadata, arrivedAt, route} = request;
    this.response = new ResponseWriter(res, context.dialect, () =>
      context.closesAfter(res),
    );
    this.deadlineAt = deadlineOf(request);
    this.delivery = new StreamDelivery(metadata.resumedAfter, arrivedAt);
    this.forwarder = new ResponseForwarder(
      this.response,
      this.delivery,
      route,
      context.buffers,
    );
    this.attempts = new AttemptSequence(context.clock.now() - arrivedAt);
    this.containment = new RequestContainment(
      context.containment,
      metadata.id,
      [
        () => this.cancelAttempt(),
        () => this.recordOutcome('neutral'),
        () => this.giveUp('internal', 'internal_not_run'),
        () => this.finish('internal', 0),
      ],
    );
    const {containment} = this;
    const onClose = containment.wrap(() => this.onCallerClosed());
    res.on('close', onClose);
    const onDeadline = containment.wrap(() => this.onDeadline());
    this.timer = setTimeout(onDeadline, this.deadlineAt - context.clock.now());
    context.retries.recordRequest(arrivedAt, request.service);
  }

  /** Starts to serve the request; its end may come at once. */
  start(): void {
    const isExpired = this.context.clock.now() >= this.deadlineAt;
    this.containment.run(() =>
      isExpired ? this.onDeadline() : this.requestUpstream(),
    );
  }

  /** Refuses the request if its prompt was quarantined before it began to run. */
  applyQuarantine(): void {
    this.containment.run(() => this.endIfQuarantined());
  }

  private endIfQuarantined(): void {
    if (this.isFinished || this.account?.isRunning === true) return;
    if (this.context.quarantine.match(this.request) === undefined) return;
    this.cancelAttempt();
    this.respondError('prompt_quarantined');
  }

  /** Submits the request to the dispatcher for an untried upstream. */
  private requestUpstream(): void {
    const {request, context, containment} = this;
    this.pending = {
      ...dispatchTerms(request, this.delivery.lastDeliveryAt),
      triedIncarnations: this.attempts.triedIncarnations,
      trySpend: now =>
        this.attempts.sends === 0 || context.retries.trySpend(now, request),
      send: containment.wrap((now: Millis, upstream, group) =>
        this.send(now, upstream, group),
      ),
      reject: containment.wrap((cause, state) => {
        this.cause = rejectionCause(cause, state);
        this.rejectedIn = state;
        this.respondFinal(cause);
      }),
    };
    const now = context.clock.now();
    this.attempts.recordQueued(now);
    context.dispatcher.submit(now, this.pending);
  }

  private send(now: Millis, upstream: Upstream, group: GroupKey): void {
    const {request, context, containment} = this;
    this.attempt = undefined;
    this.account = new AttemptAccount(now, context, request, upstream, group);
    this.forwarder.startRun();
    this.attempts.begin(now, upstream.incarnation, this.deadlineAt - now);
    this.attempt = new Attempt(
      upstream,
      attemptRequest(this.req, request),
      context.connectionsFor(request.route),
      context.dialect,
      {
        onConnect: containment.wrap(write => this.onConnect(write)),
        onRequestSent: containment.wrap(() => this.onRequestSent()),
        onHead: containment.wrap((...args) => this.onHead(...args)),
        onData: containment.wrap(chunk => this.onData(chunk)),
        onExtraResponse: containment.wrap(extra =>
          context.log.recordExtraResponse(request, upstream, extra),
        ),
        onEnd: containment.wrap(() => this.onEnd()),
        onFailure: containment.wrap(failure => this.onFailure(failure)),
      },
    );
    // An exception in the first callback has ended the request before.
    if (this.isFinished) this.attempt.cancel();
  }

  /** Sends the request, unless the connection came too late for its upstream. */
  private onConnect(write: (lines: HeaderLines) => void): void {
    const {request, context, account, containment} = this;
    if (account === undefined) return;
    const isEvacuated = context.evacuation.isEvacuated(account.upstream);
    const attempt = this.attempts.connect(context.clock.now(), isEvacuated);
    if (attempt === undefined) {
      // The caller may have left meanwhile, which is read first.
      const failure = isEvacuated ? EVACUATED : HELD_UP;
      const end = () => account.isOpen && this.abortAttempt(failure);
      setImmediate(containment.wrap(end));
      return;
    }
    const {id: expectedUpstream} = account.upstream.registration;
    context.log.recordAttempt(request, expectedUpstream, attempt);
    const {timeLeft} = attempt;
    const {organisation, headers} = request;
    const {resumeAfter} = this.delivery;
    const forwarding = {timeLeft, organisation, expectedUpstream, resumeAfter};
    write(context.dialect.toUpstream(headers, forwarding));
  }

  /** Releases the body unless another attempt can follow. */
  private onRequestSent(): void {
    const {body, route} = this.request;
    if (this.attempts.sends + 1 >= route.maxAttempts) body.release();
  }

  private onHead(head: ResponseHead, metadata: ResponseMetadata): void {
    const {status} = head;
    if (this.account === undefined) return;
    const {upstream, progress} = this.account;
    this.context.applyResponseMetadata(upstream, progress.sentAt, metadata);
    if (metadata.isWrongUpstream) {
      this.context.markReplaced(upstream);
      this.abortAttempt({kind: 'not_run', reason: 'wrong_upstream'});
      return;
    }
    if (metadata.isNotRun) {
      const {culprit} = metadata;
      const isGroupDown =
        culprit !== undefined && culprit !== upstream.registration.id;
      if (isGroupDown) {
        const now = this.context.clock.now();
        this.context.dispatcher.markGroupUnavailable(now, upstream, culprit);
      }
      const reason = isGroupDown ? 'group_down' : 'busy';
      this.abortAttempt({kind: 'not_run', reason});
      return;
    }
    const isSuccess = isSuccessStatus(status);
    if (isSuccess && !metadata.isSealed) {
      this.abortAttempt({
        kind: 'may_have_run',
        reason: 'response without seal',
      });
      return;
    }
    if (this.response.isStarted && !isSuccess) {
      this.abortAttempt({kind: 'failed_answer', status});
      return;
    }
    if (isSuccess) this.account.recordStart(this.context.clock.now());
    this.forwarder.begin(head);
  }

  private onData(chunk: Buffer): void {
    const now = this.context.clock.now();
    const events = this.forwarder.push(now, chunk, this.attempt);
    if (!this.forwarder.canContinue) this.request.body.release();
    if (!this.forwarder.isEventStream) return;
    this.account?.recordEvents(now, events?.count ?? 0, events?.gap);
    const {defect} = this.delivery;
    if (defect !== undefined)
      this.abortAttempt({kind: 'may_have_run', reason: defect});
  }

  private onEnd(): void {
    const {forwarder} = this;
    const {head} = forwarder;
    if (head === undefined) return;
    if (forwarder.isEventStream && this.delivery.isWithinEvent) {
      this.onFailure({kind: 'may_have_run', reason: 'ended within an event'});
      return;
    }
    const body = forwarder.takeBody();
    const {status} = head;
    if (status >= 500 && !this.response.isStarted) {
      this.failedResponse = {...head, body};
      this.onFailure({kind: 'failed_answer', status});
      return;
    }
    forwarder.end(head, body);
    this.recordOutcome(status >= 500 ? 'bad' : 'good');
    if (isSuccessStatus(status))
      this.context.quarantine.recordAnswer(this.request);
    this.finish('answered', status);
  }

  private abortAttempt(failure: AttemptFailure): void {
    this.attempt?.cancel();
    this.onFailure(failure);
  }

  private onFailure(failure: AttemptFailure): void {
    const {request, context, account} = this;
    const now = context.clock.now();
    if (account === undefined) return;
    this.recordOutcome(healthOutcomeOf(failure));
    const {upstream, progress} = account;
    const body = this.attempt?.receivedBody;
    const latest = this.attempts.recordFailure(failure);
    const attempt = {upstream, progress, failure, body, latest};
    context.log.recordFailure(now, request, attempt);
    const isSuspect = context.quarantine.recordFailure(now, request, attempt);
    const action = actionAfterFailure(
      {
        route: request.route,
        attempts: this.attempts.sends,
        mayHaveRunBefore: this.mayHaveRun,
        isStarted: this.response.isStarted,
      },
      failure,
    );
    if (failure.kind !== 'not_run') this.mayHaveRun = true;
    if (action === 'try_another' && this.forwarder.canContinue) {
      const {quarantine} = context;
      if (!isSuspect) this.requestUpstream();
      else quarantine.awaitVerdict(request, upstream, this.applyVerdict);
      return;
    }
    const reason = failure.kind === 'not_run' ? failure.reason : undefined;
    if (reason === 'group_down') this.cause = reason;
    this.respondFinal(reason === 'group_down' ? reason : 'overloaded');
  }

  /** Retries a request that may have crashed its upstream if it has not. */
  private readonly applyVerdict = (isSuspected: boolean): void => {
    if (this.isFinished) return;
    this.containment.run(() => {
      if (isSuspected) this.respondFinal('overloaded');
      else this.requestUpstream();
    });
  };

  /**
   * Sends the final response, after which no attempt follows.
   * @param rejection - error if the request has not run
   */
  private respondFinal(rejection: ErrorName): void {
    if (this.response.isStarted) this.respondError('upstream_lost');
    else if (this.failedResponse !== undefined) {
      const {failedResponse: failed} = this;
      this.response.sendWhole(failed, failed.body);
      this.finish('upstream_error', failed.status);
    } else if (this.mayHaveRun) this.respondError('upstream_failed');
    else this.respondError(rejection);
  }

  private respondError(reason: ErrorName): void {
    const fault = new Fault(reason);
    const {context, request, cause, rejectedIn} = this;
    const now = context.clock.now();
    const retryAfter = context.retryAfter(now, request, cause, rejectedIn);
    this.response.sendError(fault, retryAfter);
    this.finish(reason, fault.status, retryAfter);
  }

  /** Ends the request because this process stops. */
  shutDown(): void {
    this.containment.run(() => this.giveUp('shut_down', 'draining'));
  }

  /** Ends the request at the deadline of the caller or its route. */
  private onDeadline(): void {
    this.giveUp('deadline_passed', 'overloaded');
  }

  /**
   * Ends the request without a response of an upstream.
   * @param sent - error if the request may have run
   * @param unsent - error if it has not run
   */
  private giveUp(sent: ErrorName, unsent: ErrorName): void {
    if (this.isFinished) return;
    const wasSent = this.attempt?.mayHaveBeenSent === true || this.mayHaveRun;
    this.cancelAttempt();
    this.respondError(wasSent ? sent : unsent);
  }

  private onCallerClosed(): void {
    if (this.isFinished) return;
    this.cancelAttempt();
    this.finish('caller_gone', 0);
  }

  private cancelAttempt(): void {
    if (!this.account?.isOpen) return;
    this.attempts.recordGivenUp(this.attempt?.mayHaveBeenSent === true);
    const {clock, retries} = this.context;
    this.attempt?.cancel();
    retries.abandon(clock.now(), this.request, this.account.upstream);
    this.recordOutcome('neutral');
  }

  /** Records the outcome of the current attempt. */
  private recordOutcome(outcome: HealthOutcome): void {
    this.account?.close(this.context.clock.now(), outcome);
  }

  private finish(outcome: string, status: number, retryAfter?: Millis): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.timer);
    const {context, request} = this;
    if (this.pending !== undefined) context.dispatcher.withdraw(this.pending);
    context.retries.settle(context.clock.now(), request);
    request.body.release();
    this.onFinished();
    context.log.recordFinished(request, {
      outcome,
      status,
      retryAfter,
      rejectedIn: this.rejectedIn,
      upstream: this.account?.upstream.registration.id,
      firstByteAt: this.delivery.firstDeliveryAt,
      deliveredEvents: this.delivery.delivered,
      body: this.attempt?.receivedBody,
      attempts: this.attempts,
    });
  }
}
