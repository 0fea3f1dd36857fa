import {EntryCall, keyScope} from '../../calls/index.js';
import type {
  AnswerMessage,
  CallRequest,
  Claim,
  ClaimResult,
  EntryEffect,
  Outcome,
  RequestMessage,
} from '../../calls/index.js';
import {SECOND} from '../../core/index.js';
import type {Incarnation, Millis} from '../../core/index.js';
import type {ErrorName} from '../../errors/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {AnswerWriter} from './answer_writer.js';

/** How often a sidecar is queried for the outcome of a call. */
const RECONCILE_INTERVAL: Millis = SECOND;

/** Services of the entry that a call uses. */
export interface CallServices {
  /**
   * Requests an upstream; the result arrives as `chosen` or `none`.
   * @param task - the call
   * @param exclude - upstreams that are not to be chosen
   * @param retryOf - why the previous attempt failed, if this is a retry
   */
  choose(
    task: CallTask,
    exclude: readonly Incarnation[],
    retryOf: ErrorName | undefined,
  ): void;
  /** Sends to an upstream; posts `unsent` if no link accepts the message. */
  send(task: CallTask, to: Incarnation, message: RequestMessage): void;
  /** Looks up the claim that holds a key; the result arrives as `looked_up`. */
  lookUpClaim(task: CallTask, scope: string): void;
  /** Claims a key; the result arrives as `claimed`. */
  claim(task: CallTask, claim: Claim, releases: readonly string[]): void;
  /** Releases the keys of claims that never ran. */
  release(releases: readonly string[]): void;
  /** Whether a process was replaced or its VM is no longer listed. */
  isGone(upstream: Incarnation): boolean;
  /** Releases what the entry holds for a call that has ended. */
  onEnd(task: CallTask): void;
}

/** Messages to the task of a call. */
export type CallEvent =
  | {readonly type: 'start'}
  | {readonly type: 'chosen'; readonly upstream: Incarnation}
  | {
      readonly type: 'none';
      readonly reason: ErrorName;
      readonly retryAfterMs: Millis;
    }
  | {readonly type: 'unsent'; readonly message: RequestMessage}
  | {readonly type: 'answer'; readonly message: AnswerMessage}
  | {
      readonly type: 'looked_up';
      readonly holder: Claim | undefined;
      readonly coveredFrom: number;
    }
  | {readonly type: 'claimed'; readonly result: ClaimResult}
  | {readonly type: 'link_lost'; readonly upstream: Incarnation}
  | {readonly type: 'link_up'; readonly upstream: Incarnation}
  | {readonly type: 'ask_again'}
  | {readonly type: 'shutdown'}
  | {readonly type: 'deadline'}
  | {readonly type: 'caller_gone'}
  | {readonly type: 'drained'};

/** Frames credited together; well below a sidecar's flow-control window. */
const CREDIT_BATCH = 16;

/** Runs one call: turns the effects of its state machine into I/O. */
export class CallTask extends Task<CallEvent> {
  private readonly call: EntryCall;
  private readonly deadlineTimer: NodeJS.Timeout;
  private readonly startedAt: Millis;
  private reconcileTimer: NodeJS.Timeout | undefined;
  /** Frames written to the caller but not yet credited to the sidecar. */
  private uncreditedFrames = 0;
  private isBlocked = false;
  private hasEnded = false;

  /**
   * @param context - state shared by the daemon's tasks
   * @param request - the call
   * @param writer - writes the answer to the caller
   * @param services - services of the entry
   */
  constructor(
    private readonly context: DaemonContext,
    request: CallRequest,
    private readonly writer: AnswerWriter,
    private readonly services: CallServices,
  ) {
    super(context.system, `call-${request.callId}`, context.logger);
    this.call = new EntryCall(request);
    this.startedAt = context.clock.now();
    const timeout = request.deadlineAt - this.startedAt;
    this.deadlineTimer = setTimeout(
      () => this.post({type: 'deadline'}),
      timeout,
    );
    this.post({type: 'start'});
  }

  /** The request of the call. */
  get request(): CallRequest {
    return this.call.request;
  }

  protected receive(event: CallEvent): void {
    for (const effect of this.handleEvent(event)) this.runEffect(effect);
    if (this.call.isFinished) this.finish();
    else if (this.call.isReconciling) this.startReconcileTimer();
  }

  private handleEvent(event: CallEvent): EntryEffect[] {
    const now = this.context.clock.now();
    switch (event.type) {
      case 'start':
        return this.call.start(now);
      case 'looked_up':
        return this.call.onClaimLookup(event.holder, event.coveredFrom);
      case 'claimed':
        return this.call.onClaimResult(now, event.result);
      case 'chosen':
        return this.call.onUpstreamChosen(now, event.upstream);
      case 'none':
        return this.call.onNoUpstream(event.reason, event.retryAfterMs);
      case 'unsent':
        return this.onSendFailed(event.message);
      case 'answer':
        return this.call.onMessage(event.message);
      case 'link_lost':
        return this.call.onLinkLost(event.upstream);
      case 'link_up':
        return this.call.onLinkUp(event.upstream);
      case 'ask_again':
        return this.call.retryReconcile();
      case 'shutdown':
        return this.call.onShutdown();
      case 'deadline':
        return this.call.onDeadline();
      case 'caller_gone':
        return this.call.onCallerGone();
      case 'drained':
        return this.onDrained();
    }
  }

  private runEffect(effect: EntryEffect): void {
    const {metrics} = this.context;
    const {service} = this.request;
    switch (effect.type) {
      case 'choose':
        if (effect.retryOf) {
          metrics.retries.inc({reason: effect.retryOf, service});
        }
        return this.services.choose(this, effect.exclude, effect.retryOf);
      case 'look_up':
        return this.lookUpClaim();
      case 'claim':
        return this.services.claim(this, effect.claim, effect.releases);
      case 'release':
        return this.services.release(effect.releases);
      case 'send':
        return this.services.send(this, effect.to, effect.message);
      case 'head':
        return this.writer.writeHead(effect.status, effect.headers);
      case 'body':
        return this.writeBody(effect.bytes);
      case 'held':
        return this.grantCredit(1);
      case 'end':
        this.writer.end();
        return this.recordOutcome({kind: 'done'});
      case 'finish':
        this.writer.sendOutcome(effect.outcome);
        return this.recordOutcome(effect.outcome);
      case 'abort':
        this.writer.abort(effect.outcome);
        return this.recordOutcome(effect.outcome);
      case 'drop':
        metrics.droppedFrames.inc({reason: effect.why});
    }
  }

  private writeBody(bytes: Uint8Array): void {
    this.uncreditedFrames += 1;
    this.isBlocked = !this.writer.writeBody(bytes);
    if (!this.isBlocked && this.uncreditedFrames >= CREDIT_BATCH)
      this.creditPending();
  }

  private creditPending(): void {
    const frames = this.uncreditedFrames;
    this.uncreditedFrames = 0;
    if (frames > 0) this.grantCredit(frames);
  }

  private grantCredit(frames: number): void {
    this.call.grantCredit(frames).forEach(effect => this.runEffect(effect));
  }

  private lookUpClaim(): void {
    const {service, organisation, key} = this.request;
    const scope = keyScope({service, organisation, key: key?.value ?? ''});
    this.services.lookUpClaim(this, scope);
  }

  private onSendFailed(message: RequestMessage): EntryEffect[] {
    const effects = this.call.onSendFailed(message);
    const {destination} = this.call;
    const isGone = destination && this.services.isGone(destination);
    return isGone
      ? [...effects, ...this.call.onPeerGone(destination)]
      : effects;
  }

  private onDrained(): EntryEffect[] {
    this.isBlocked = false;
    this.creditPending();
    return [];
  }

  private recordOutcome(outcome: Outcome): void {
    const {service, callId, organisation} = this.request;
    const {metrics, logger} = this.context;
    metrics.outcomes.inc({outcome: outcome.kind, service});
    if (outcome.kind === 'done') return;
    const {reason} = outcome;
    const afterMs = this.context.clock.now() - this.startedAt;
    metrics.refusals.inc({reason, service});
    logger.info('call_given_up', {
      call: callId,
      service,
      organisation,
      outcome: outcome.kind,
      reason,
      afterMs: Math.round(afterMs),
    });
  }

  private startReconcileTimer(): void {
    this.reconcileTimer ??= setInterval(
      () => this.post({type: 'ask_again'}),
      RECONCILE_INTERVAL,
    );
  }

  private finish(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.deadlineTimer);
    clearInterval(this.reconcileTimer);
    this.services.onEnd(this);
    this.stop();
  }
}
