import type {Agent} from 'undici';

import {AdmissionQueue} from '../../admission/index.js';
import type {QueueLimits} from '../../admission/index.js';
import {CallLedger} from '../../calls/index.js';
import type {
  AnswerMessage,
  CallMessage,
  Reply,
  RequestMessage,
  SettleMessage,
} from '../../calls/index.js';
import type {CallId, Incarnation, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ErrorName} from '../../errors/index.js';
import {PrefixIndex} from '../../routing/index.js';
import type {CacheMessage} from '../../routing/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {SidecarSettings} from './types.js';
import {UpstreamRequest, createUpstreamAgent} from './upstream_request.js';
import type {UpstreamListener} from './upstream_request.js';

const DEFAULT_LIMITS: QueueLimits = {concurrency: 16, queue: 64};
const UNREACHABLE_RETRY_AFTER: Millis = SECOND;
const LEDGER_SWEEP_INTERVAL: Millis = 10 * SECOND;
/** How often the deadlines of queued calls are checked. */
const EXPIRY_INTERVAL: Millis = 100;

/** An attempt that is queued or runs here. */
interface Job {
  readonly call: CallMessage;
  readonly from: Incarnation;
  readonly receivedAt: Millis;
  request: UpstreamRequest | undefined;
  /** Receipt of the answer's first byte, ms. */
  firstByteAt: Millis;
  /** Body chunks received so far. */
  chunkCount: number;
}

type Message =
  | {
      readonly type: 'request';
      readonly from: Incarnation;
      readonly message: RequestMessage;
      readonly receivedAt: Millis;
    }
  | {
      readonly type: 'entry_lost';
      readonly entry: Incarnation;
      /** Loss of the link, ms; later calls arrived over another link. */
      readonly before: Millis;
    }
  | {readonly type: 'over'; readonly job: Job}
  | {readonly type: 'limits'; readonly limits: QueueLimits}
  | {readonly type: 'sweep'}
  | {readonly type: 'expire'}
  | {readonly type: 'cache'; readonly message: CacheMessage}
  | {readonly type: 'close'}
  | {readonly type: 'drain'; readonly onIdle: () => void}
  | {readonly type: 'cut'; readonly onDone: () => void};

type Received = Extract<Message, {type: 'request'}>;

/** Queues, runs and answers the calls of one upstream. */
export class CallsTask extends Task<Message> {
  private readonly queue = new AdmissionQueue(DEFAULT_LIMITS);
  private readonly ledger = new CallLedger();
  private readonly jobs = new Map<CallId, Job>();
  private readonly agent: Agent = createUpstreamAgent();
  private readonly timers: readonly NodeJS.Timeout[];
  private readonly prefixes = new PrefixIndex();
  /** Whether new calls are rejected. */
  private isClosed = false;
  private onIdle: (() => void) | undefined;

  /**
   * @param context - shared context of the daemon's tasks
   * @param settings - the daemon's settings
   * @param sendAnswer - sends a message to an entry
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly settings: SidecarSettings,
    private readonly sendAnswer: (
      to: Incarnation,
      message: AnswerMessage,
    ) => void,
  ) {
    super(context.system, 'calls', context.logger.withLabel('calls'));
    this.timers = [
      setInterval(() => this.post({type: 'sweep'}), LEDGER_SWEEP_INTERVAL),
      setInterval(() => this.post({type: 'expire'}), EXPIRY_INTERVAL),
    ];
  }

  /** Number of calls that run or wait. */
  get openCalls(): number {
    return this.jobs.size;
  }

  /** Returns this task's part of `/status`. */
  status(): object {
    const {size: remembered, cachedBytes: keptBytes} = this.ledger;
    return {...this.queue.report(), remembered, keptBytes};
  }

  override stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
    for (const job of this.jobs.values()) job.request?.cancel();
    super.stop();
    void this.agent.destroy();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'request':
        return this.onRequest(message);
      case 'entry_lost':
        return this.onEntryLost(message.entry, message.before);
      case 'over':
        return this.onJobEnded(message.job);
      case 'limits':
        return this.queue.configure(message.limits);
      case 'sweep':
        return this.ledger.sweep(this.context.clock.now());
      case 'expire':
        this.queue.sweep(this.now());
        this.rejectDropped();
        return this.notifyIfIdle();
      case 'cache':
        this.prefixes.apply(message.message);
        return;
      case 'close':
        this.isClosed = true;
        return;
      case 'drain':
        this.onIdle = message.onIdle;
        return this.notifyIfIdle();
      case 'cut':
        this.abortAll();
        return message.onDone();
    }
  }

  private onRequest({from, message, receivedAt}: Received): void {
    if (message.type === 'call') return this.accept(from, message, receivedAt);
    if (message.type === 'settle') return this.reconcile(from, message);
    if (message.type === 'credit') {
      const job = this.jobs.get(message.callId);
      if (job?.call.attempt !== message.attempt) return;
      return job.request?.grant(message.frames);
    }
    const stop = this.ledger.cancel(from, message);
    const job = stop && this.jobs.get(stop.callId);
    if (job?.call.attempt === stop?.attempt && job) this.cancel(job);
  }

  private reconcile(from: Incarnation, message: SettleMessage): void {
    const replies = this.ledger.reconcile(this.now(), from, message);
    const outcome = replies[0]?.message.type ?? 'none';
    this.logger.debug('settled', {call: message.target.callId, outcome});
    this.sendReplies(replies);
  }

  private accept(
    from: Incarnation,
    call: CallMessage,
    receivedAt: Millis,
  ): void {
    const now = this.now();
    const {isNew, replies} = this.ledger.accept(now, from, call, receivedAt);
    this.sendReplies(replies);
    if (!isNew) {
      this.context.metrics.droppedFrames.inc({reason: 'repeated_call'});
      return;
    }
    const counts = {firstByteAt: 0, chunkCount: 0};
    const job = {
      call,
      from,
      receivedAt,
      request: undefined,
      ...counts,
    };
    if (call.service !== this.settings.service) {
      return this.reject(job, 'unknown_service', 0);
    }
    if (this.isClosed) return this.reject(job, 'draining', SECOND);
    const verdict = this.queue.offer(now, {
      callId: call.callId,
      organisation: call.organisation,
      weight: call.weight,
      priority: call.priority,
      deadlineAt: receivedAt + call.remainingMs,
      cost: call.cost,
      blocks: this.countNewBlocks(call),
    });
    this.rejectDropped();
    if (verdict.decision === 'refuse') {
      return this.reject(job, verdict.reason, verdict.retryAfterMs);
    }
    this.jobs.set(call.callId, job);
    if (verdict.decision === 'start') this.startJob(job);
  }

  private reject(job: Job, reason: ErrorName, retryAfterMs: Millis): void {
    const {call} = job;
    const {service} = call;
    this.context.metrics.refusals.inc({reason, service});
    this.sendReplies(
      this.ledger.reject(this.now(), call, reason, retryAfterMs),
    );
  }

  /** Estimates how many blocks of the prompt the engine has to prefill. */
  private countNewBlocks({prefix = []}: CallMessage): number {
    const matched = this.prefixes.match(prefix);
    this.prefixes.recordUse(prefix);
    return prefix.length - matched;
  }

  /** Rejects queued calls that were displaced or can't meet their deadline. */
  private rejectDropped(): void {
    for (const {callId, reason, retryAfterMs} of this.queue.takeShedCalls()) {
      const job = this.jobs.get(callId);
      if (job === undefined) continue;
      this.jobs.delete(callId);
      this.reject(job, reason, retryAfterMs);
    }
  }

  private startJob(job: Job): void {
    const {call} = job;
    const {isStarted, replies} = this.ledger.start(this.now(), call);
    this.sendReplies(replies);
    if (!isStarted) {
      const {service} = call;
      this.context.metrics.refusals.inc({reason: 'deadline_passed', service});
      this.post({type: 'over', job});
      return;
    }
    const {upstreamUrl} = this.settings;
    const listener = this.createListener(job);
    const request = new UpstreamRequest(
      upstreamUrl,
      this.agent,
      call,
      listener,
    );
    job.request = request;
    void request.run().finally(() => this.post({type: 'over', job}));
  }

  private createListener(job: Job): UpstreamListener {
    const {call} = job;
    const {ledger} = this;
    return {
      onHead: head => this.sendReplies(ledger.recordHead(call, head)),
      onData: piece => {
        this.recordChunk(job);
        this.sendReplies(ledger.recordData(call, piece));
      },
      onEnd: () => {
        this.queue.recordStream(this.now() - job.firstByteAt, job.chunkCount);
        this.sendReplies(ledger.complete(this.now(), call));
      },
      isFlowControlled: () => ledger.isFlowControlled(call),
      onUnreachable: detail => {
        this.logger.warn('upstream_unreachable', {detail});
        this.reject(job, 'engine_unreachable', UNREACHABLE_RETRY_AFTER);
      },
      onFailure: detail => {
        this.logger.warn('upstream_failed', {call: call.callId, detail});
        this.sendReplies(ledger.fail(this.now(), call, 'upstream_failed'));
      },
    };
  }

  private recordChunk(job: Job): void {
    job.chunkCount += 1;
    if (job.chunkCount > 1) return;
    job.firstByteAt = this.now();
    this.queue.recordFirstToken(job.firstByteAt, job.call.callId);
  }

  private cancel(job: Job): void {
    if (job.request !== undefined) return job.request.cancel();
    this.reject(job, 'deadline_passed', 0);
    this.onJobEnded(job);
  }

  private onEntryLost(entry: Incarnation, before: Millis): void {
    for (const job of this.jobs.values()) {
      if (job.from !== entry || job.receivedAt > before) continue;
      if (job.call.idempotent) this.cancel(job);
      // No entry grants credit any more, and the call must run to its end.
      else job.request?.grant(Infinity);
    }
  }

  /** Ends the remaining calls: `not-run` if queued, `unknown` if running. */
  private abortAll(): void {
    this.isClosed = true;
    for (const job of this.jobs.values()) {
      const {callId} = job.call;
      const outcome = job.request === undefined ? 'not-run' : 'unknown';
      this.logger.warn('call_cut', {call: callId, outcome});
      if (job.request === undefined) this.reject(job, 'draining', SECOND);
      else this.sendReplies(this.ledger.fail(this.now(), job.call, 'draining'));
    }
  }

  private onJobEnded(job: Job): void {
    const {callId} = job.call;
    if (this.jobs.get(callId) !== job) return;
    this.jobs.delete(callId);
    const startable = this.queue.release(this.now(), callId);
    this.rejectDropped();
    for (const next of startable) {
      const started = this.jobs.get(next);
      if (started) this.startJob(started);
    }
    this.notifyIfIdle();
  }

  private notifyIfIdle(): void {
    if (this.jobs.size === 0) this.onIdle?.();
  }

  private sendReplies(replies: readonly Reply[]): void {
    for (const {to, message} of replies) {
      if (message.type === 'data') this.sendAnswer(to, message);
      else this.sendAnswer(to, {...message, load: this.queue.report()});
    }
  }

  private now(): Millis {
    return this.context.clock.now();
  }
}
