import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Millis} from '../../core/index.js';
import {
  EventFramer,
  StreamProgress,
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
import type {AdmittedRequest} from './admitted_request.js';
import {Attempt} from './attempt.js';
import type {AnswerHead} from './attempt.js';
import type {DirectContext} from './context.js';
import type {Dispatch} from './dispatcher.js';
import {Reply} from './reply.js';

/** Answers are sent this long before the caller stops waiting. */
const ANSWER_MARGIN: Millis = 25;
/** A body that is not a stream is held until whole up to this size. */
const MAX_HELD_BYTES = 2 ** 20;

/** One request of a caller, from its admission to its final answer. */
export class Exchange {
  private readonly reply: Reply;
  private readonly deadlineAt: Millis;
  private readonly progress: StreamProgress;
  private readonly tried = new Set<string>();
  private attempt: Attempt | undefined;
  private upstream: Upstream | undefined;
  private lastUpstream: Upstream | undefined;
  /** Group of the upstream that it was sent to. */
  private group: GroupKey | undefined;
  private hasStarted = false;
  private turn: Dispatch | undefined;
  /** When the caller last got something, or came. */
  private silentSince: Millis;
  private askedAt: Millis;
  private waited: Millis = 0;
  private sentAt: Millis = 0;
  private firstByteAt: Millis | undefined;
  /** Upstreams that got the request. */
  private sends = 0;
  private mayHaveRun = false;
  private head: AnswerHead | undefined;
  private held: Buffer[] = [];
  private heldBytes = 0;
  private framer = new EventFramer();
  private failure: (AnswerHead & {readonly body: Buffer}) | undefined;
  private isOver = false;
  private cause: RejectionCause = 'busy';
  /** When an upstream takes requests again, where all asked for a pause. */
  private roomAt: Millis | undefined;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param context - what the entry's requests share
   * @param ask - the request
   * @param req - the caller's HTTP request
   * @param res - the HTTP response
   * @param ended - called once when it is over
   */
  constructor(
    private readonly context: DirectContext,
    private readonly ask: AdmittedRequest,
    private readonly req: IncomingMessage,
    res: ServerResponse,
    private readonly ended: () => void,
  ) {
    const {facts, route, arrivedAt} = ask;
    this.reply = new Reply(res, context.dialect, () => context.isClosing());
    const patience = (facts.callerTimeout ?? Infinity) - ANSWER_MARGIN;
    this.deadlineAt = arrivedAt + Math.min(patience, route.timeout);
    this.progress = new StreamProgress(facts.resumedAfter);
    this.silentSince = this.askedAt = arrivedAt;
    res.on('close', () => this.callerClosed());
    const left = this.deadlineAt - context.clock.now();
    this.timer = setTimeout(() => this.expire(), Math.max(0, left));
    context.retries.recordRequest(arrivedAt, ask.service);
    this.place();
  }

  private get isStream(): boolean {
    return this.ask.route.repeat === 'stream';
  }

  /** Asks for an upstream that the request has not been to. */
  private place(): void {
    const {ask, context} = this;
    const {route, arrivedAt} = ask;
    const leavesAt = this.silentSince + route.silencePatience;
    this.turn = {
      service: ask.service,
      promptTokens: ask.facts.promptTokens,
      priority: ask.priority,
      tried: this.tried,
      target: route.latencyTarget,
      targetAt: arrivedAt + route.latencyTarget,
      expiresAt: Math.min(leavesAt, this.deadlineAt),
      mayWait: this.isStream,
      claim: now =>
        this.sends === 0 || context.retries.trySpend(now, ask.service),
      send: (now, upstream, group) => this.send(now, upstream, group),
      refuse: (cause, notBefore) => {
        this.cause = cause === 'group_down' ? cause : 'busy';
        this.roomAt = notBefore;
        this.conclude(cause);
      },
    };
    this.askedAt = context.clock.now();
    context.dispatcher.submit(this.askedAt, this.turn);
  }

  private send(now: Millis, upstream: Upstream, group: GroupKey): void {
    const {ask, context} = this;
    const {promptTokens} = ask.facts;
    this.upstream = upstream;
    this.group = group;
    this.hasStarted = false;
    this.sentAt = now;
    this.waited += now - this.askedAt;
    this.tried.add(upstream.incarnation);
    this.head = undefined;
    this.held = [];
    this.heldBytes = 0;
    this.framer = new EventFramer();
    context.dispatcher.loads.recordSent(upstream.incarnation, promptTokens);
    const resumeAfter =
      this.progress.delivered > 0 ? this.progress.lastId : undefined;
    const lines = context.dialect.toUpstream(ask.headers, {
      timeLeft: this.deadlineAt - now,
      expectedUpstream: upstream.registration.id,
      organisation: ask.organisation,
      resumeAfter,
    });
    const {method = 'GET', url: path = '/'} = this.req;
    const hasBody =
      ask.body.length > 0 || this.req.headers['content-length'] !== undefined;
    const length: HeaderLines = hasBody
      ? [['Content-Length', `${ask.body.length}`]]
      : [];
    const headers = [...lines, ...length];
    this.attempt = new Attempt(
      upstream,
      {method, path, headers, body: ask.body, id: ask.facts.id},
      context.connectionsFor(ask.route),
      context.dialect,
      {
        head: (head, facts) => this.begin(head, facts),
        data: chunk => this.take(chunk),
        ended: () => this.whole(),
        failed: failure => this.failed(failure),
      },
    );
  }

  private begin(head: AnswerHead, facts: ResponseMetadata): void {
    const {upstream} = this;
    const {status} = head;
    if (upstream === undefined) return;
    this.context.upstreamSaid(upstream, facts);
    if (facts.isWrongUpstream) {
      this.context.upstreamGone(upstream);
      this.abandon({kind: 'not_run', reason: 'wrong_upstream'});
      return;
    }
    if (facts.isNotRun) {
      const {culprit} = facts;
      const isGroup =
        culprit !== undefined && culprit !== upstream.registration.id;
      if (isGroup) {
        const now = this.context.clock.now();
        this.context.dispatcher.groupFell(now, upstream, culprit);
      }
      this.abandon({
        kind: 'not_run',
        reason: isGroup ? 'group_down' : 'busy',
      });
      return;
    }
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && !facts.isSealed) {
      this.abandon({kind: 'may_have_run', reason: 'answer without its seal'});
      return;
    }
    this.head = head;
    if (isSuccess) this.started();
    if (!isSuccess || !this.isStream || this.reply.isStarted) return;
    this.reply.begin(head);
  }

  private started(): void {
    const {context, group, sentAt, ask} = this;
    if (this.hasStarted || group === undefined) return;
    this.hasStarted = true;
    const now = context.clock.now();
    const {latencyTarget} = ask.route;
    context.dispatcher.started(now, group, sentAt, latencyTarget);
  }

  private take(chunk: Buffer): void {
    const isSuccess = this.head !== undefined && this.head.status < 300;
    if (this.isStream && isSuccess) {
      this.forward(this.framer.push(chunk));
      if (!this.framer.isOverlong) return;
      this.abandon({kind: 'may_have_run', reason: 'event without end'});
      return;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes <= MAX_HELD_BYTES || this.head === undefined) return;
    if (!this.reply.isStarted) {
      this.reply.begin(this.head);
    }
    const bytes = Buffer.concat(this.held);
    this.held = [];
    this.write(bytes);
  }

  private forward(frames: ReturnType<EventFramer['push']>): void {
    const fresh = frames.filter(frame => this.progress.accept(frame));
    if (fresh.length === 0) return;
    this.silentSince = this.context.clock.now();
    this.firstByteAt ??= this.silentSince;
    this.write(Buffer.concat(fresh.map(({bytes}) => bytes)));
  }

  private write(bytes: Buffer): void {
    if (this.reply.write(bytes)) return;
    const {attempt} = this;
    attempt?.pause();
    this.reply.onDrain(() => attempt?.resume());
  }

  /** The upstream's answer is whole. */
  private whole(): void {
    const {head} = this;
    if (head === undefined) return;
    const {status} = head;
    const body = Buffer.concat(this.held);
    if (status >= 500) {
      this.failure = {...head, body};
      this.failed({kind: 'failed_answer', status});
      return;
    }
    this.settle('good');
    if (this.isStream && status < 300) {
      const rest = this.framer.rest();
      if (rest.length > 0) this.reply.write(rest);
      this.reply.end();
    } else if (this.reply.isStarted) {
      if (body.length > 0) this.reply.write(body);
      this.reply.end();
    } else this.reply.whole(head, body);
    this.close('answered', status);
  }

  private abandon(failure: AttemptFailure): void {
    this.attempt?.cancel();
    this.failed(failure);
  }

  private failed(failure: AttemptFailure): void {
    const {ask, context} = this;
    const now = context.clock.now();
    const isUnsent =
      failure.kind === 'not_run' && failure.reason === 'unreachable';
    this.settle(healthOutcomeOf(failure));
    context.attemptFailed(ask, this.upstream, failure, now - this.sentAt);
    if (!isUnsent) this.sends += 1;
    const step = actionAfterFailure(
      {
        route: ask.route,
        attempts: this.sends,
        mayHaveRunBefore: this.mayHaveRun,
        isStarted: this.reply.isStarted,
      },
      failure,
    );
    if (failure.kind !== 'not_run') this.mayHaveRun = true;
    const mayGoOn = this.progress.delivered === 0 || ask.route.resumable;
    if (step === 'try_another' && mayGoOn) {
      this.place();
      return;
    }
    const isGroup =
      failure.kind === 'not_run' && failure.reason === 'group_down';
    if (isGroup) this.cause = 'group_down';
    this.conclude(isGroup ? 'group_down' : 'overloaded');
  }

  /**
   * Gives the final answer when nothing more is tried.
   * @param refusal - what to say if the request has not run
   */
  private conclude(refusal: ErrorName): void {
    if (this.reply.isStarted) this.giveUp('upstream_lost');
    else if (this.failure !== undefined) this.passFailure();
    else if (this.mayHaveRun) this.giveUp('upstream_failed');
    else this.giveUp(refusal);
  }

  private passFailure(): void {
    const {failure} = this;
    if (failure === undefined) return;
    this.reply.whole(failure, failure.body);
    this.close('upstream_error', failure.status);
  }

  private giveUp(reason: ErrorName): void {
    const fault = new Fault(reason);
    const {clock} = this.context;
    const patience = this.ask.facts.callerTimeout ?? this.ask.route.timeout;
    const now = clock.now();
    const timeLeft = this.ask.arrivedAt + patience - now;
    const earliest = this.roomAt && this.roomAt - now;
    const retryAfter = this.context.retryAfter(this.cause, timeLeft, earliest);
    this.reply.refuse(fault, retryAfter);
    this.close(reason, fault.status, retryAfter);
  }

  /** The time that the caller or the operators allow is over. */
  private expire(): void {
    if (this.isOver) return;
    const wasSent = this.attempt?.mayHaveLeft === true || this.mayHaveRun;
    this.stopAttempt();
    this.giveUp(wasSent ? 'deadline_passed' : 'overloaded');
  }

  private callerClosed(): void {
    if (this.isOver) return;
    this.stopAttempt();
    this.close('caller_gone', 0);
  }

  private stopAttempt(): void {
    if (this.upstream === undefined) return;
    this.attempt?.cancel();
    this.settle('neutral');
  }

  /** Ends the books of the attempt that runs. */
  private settle(verdict: HealthOutcome): void {
    const {upstream, context, ask} = this;
    if (upstream === undefined) return;
    const now = context.clock.now();
    const took = (this.firstByteAt ?? now) - this.sentAt;
    const latency = verdict === 'good' && !this.isStream ? took : undefined;
    const {promptTokens} = ask.facts;
    context.dispatcher.loads.recordEnded(
      now,
      upstream.incarnation,
      promptTokens,
      verdict,
      latency,
    );
    this.upstream = undefined;
    this.lastUpstream = upstream;
    const {group} = this;
    this.group = undefined;
    if (group === undefined || this.hasStarted) return;
    context.dispatcher.endedUnstarted(now, group);
  }

  private close(outcome: string, status: number, retryAfter?: Millis): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    if (this.turn !== undefined) this.context.dispatcher.withdraw(this.turn);
    this.context.finished(this.ask, {
      outcome,
      status,
      retryAfter,
      upstream: this.lastUpstream?.registration.id,
      sends: this.sends + (outcome === 'answered' ? 1 : 0),
      firstByteAt: this.firstByteAt,
      waited: this.waited,
      delivered: this.progress.delivered,
    });
    this.ended();
  }
}
