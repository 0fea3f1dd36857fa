import type {Millis} from '../../core/index.js';
import {AttemptProgress, hasProgressed} from '../../direct/index.js';
import type {GroupKey, HealthOutcome, Upstream} from '../../direct/index.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {DirectContext} from './context.js';

/** Accounts for one attempt: the upstream's load, health, limits and prompts. */
export class AttemptAccount {
  readonly progress: AttemptProgress;
  private isEnded = false;

  /**
   * Opens the account as the request is sent.
   * @param now - current time
   * @param context - state that the entry's requests share
   * @param request - the request
   * @param upstream - its upstream
   * @param group - group of the upstream
   */
  constructor(
    now: Millis,
    private readonly context: DirectContext,
    private readonly request: AdmittedRequest,
    readonly upstream: Upstream,
    private readonly group: GroupKey,
  ) {
    this.progress = new AttemptProgress(now);
    const {loads} = context.dispatcher;
    loads.recordSent(upstream.incarnation, request.metadata.promptTokens);
  }

  /** Whether the attempt has not ended. */
  get isOpen(): boolean {
    return !this.isEnded;
  }

  /** Whether the attempt has begun a successful response and has not ended. */
  get isRunning(): boolean {
    return this.isOpen && this.progress.hasStarted;
  }

  /**
   * Records the head of a successful response.
   * @param now - current time
   */
  recordStart(now: Millis): void {
    const {context, group, progress, request} = this;
    if (this.isEnded || !progress.recordStart(now)) return;
    context.retries.settle(now, request);
    const {latencyTarget} = request.route;
    const {sentAt} = progress;
    context.dispatcher.recordStarted(now, group, sentAt, latencyTarget);
  }

  /**
   * Records bytes of a stream.
   * @param now - current time
   * @param events - number of new events that they complete
   * @param gap - time since the events before, if there were any
   */
  recordEvents(now: Millis, events: number, gap: Millis | undefined): void {
    const {context, group, progress, request} = this;
    const hadProgressed = hasProgressed(progress);
    progress.recordBytes(now, events);
    context.quarantine.recordAlive(now, this.upstream, progress.sentAt);
    if (!hadProgressed && hasProgressed(progress)) {
      context.quarantine.recordAnswer(request);
    }
    const {gapTarget} = request.route;
    if (gap === undefined || gapTarget === undefined) return;
    context.dispatcher.recordGap(now, group, gap, gapTarget);
  }

  /**
   * Closes the account.
   * @param now - current time
   * @param outcome - outcome for the upstream's health
   */
  close(now: Millis, outcome: HealthOutcome): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const {context, group, progress, request, upstream} = this;
    context.retries.settle(now, request);
    const {promptTokens: size} = request.metadata;
    // The duration of a stream depends on its length, not on its upstream's speed.
    const isTelling = outcome === 'good' && request.route.repeat !== 'stream';
    const latency = isTelling ? now - progress.sentAt : undefined;
    const {loads} = context.dispatcher;
    loads.recordEnded(now, upstream.incarnation, size, outcome, latency);
    context.dispatcher.recordEnded(now, group, progress.hasStarted);
  }
}
