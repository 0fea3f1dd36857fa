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
import {UpstreamRequest, upstreamAgent} from './upstream_request.js';
import type {UpstreamListener} from './upstream_request.js';

const DEFAULT_LIMITS: QueueLimits = {concurrency: 16, queue: 64};
const RETRY_UNREACHABLE: Millis = SECOND;
const SWEEP_EVERY: Millis = 10 * SECOND;
/** How often waiting calls are checked against their deadlines. */
const EXPIRE_EVERY: Millis = 100;

/** An attempt that waits or runs here. */
interface Job {
  readonly call: CallMessage;
  readonly from: Incarnation;
  readonly receivedAt: Millis;
  running: UpstreamRequest | undefined;
  /** When the first byte of the answer came, ms. */
  headAt: Millis;
  /** Pieces of the answer. */
  pieces: number;
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
      /** Calls that came later came over another link. */
      readonly before: Millis;
    }
  | {readonly type: 'over'; readonly job: Job}
  | {readonly type: 'limits'; readonly limits: QueueLimits}
  | {readonly type: 'sweep'}
  | {readonly type: 'expire'}
  | {readonly type: 'cache'; readonly message: CacheMessage}
  | {readonly type: 'close'}
  | {readonly type: 'drain'; readonly idle: () => void}
  | {readonly type: 'cut'; readonly done: () => void};

type Received = Extract<Message, {type: 'request'}>;

/** Admits, runs and answers the calls of one upstream. */
export class CallsTask extends Task<Message> {
  private readonly queue = new AdmissionQueue(DEFAULT_LIMITS);
  private readonly ledger = new CallLedger();
  private readonly jobs = new Map<CallId, Job>();
  private readonly agent: Agent = upstreamAgent();
  private readonly timers: readonly NodeJS.Timeout[];
  private readonly prefixes = new PrefixIndex();
  /** Whether new work is refused. */
  private closed = false;
  private idle: (() => void) | undefined;

  /**
   * @param context - what the daemon's tasks share
   * @param settings - the daemon's settings
   * @param answer - sends to an entry
   */
  constructor(
    private readonly context: DaemonContext,
    private readonly settings: SidecarSettings,
    private readonly answer: (to: Incarnation, message: AnswerMessage) => void,
  ) {
    super(context.system, 'calls', context.logger.labelled('calls'));
    this.timers = [
      setInterval(() => this.post({type: 'sweep'}), SWEEP_EVERY),
      setInterval(() => this.post({type: 'expire'}), EXPIRE_EVERY),
    ];
  }

  /** What `/status` shows. */
  status(): object {
    const {size: remembered, cachedBytes: keptBytes} = this.ledger;
    return {...this.queue.report(), remembered, keptBytes};
  }

  override stop(): void {
    this.timers.forEach(timer => clearInterval(timer));
    for (const job of this.jobs.values()) job.running?.cancel();
    super.stop();
    void this.agent.destroy();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'request':
        return this.request(message);
      case 'entry_lost':
        return this.entryLost(message.entry, message.before);
      case 'over':
        return this.over(message.job);
      case 'limits':
        return this.queue.configure(message.limits);
      case 'sweep':
        return this.ledger.sweep(this.context.clock.now());
      case 'expire':
        this.queue.sweep(this.now());
        this.refuseWaiting();
        return this.tellIfIdle();
      case 'cache':
        this.prefixes.apply(message.message);
        return;
      case 'close':
        this.closed = true;
        return;
      case 'drain':
        this.idle = message.idle;
        return this.tellIfIdle();
      case 'cut':
        this.cutAll();
        return message.done();
    }
  }

  private request({from, message, receivedAt}: Received): void {
    if (message.type === 'call') return this.offer(from, message, receivedAt);
    if (message.type === 'settle') return this.settle(from, message);
    if (message.type === 'credit') {
      const job = this.jobs.get(message.callId);
      if (job?.call.attempt !== message.attempt) return;
      return job.running?.grant(message.frames);
    }
    const stop = this.ledger.cancel(from, message);
    const job = stop && this.jobs.get(stop.callId);
    if (job?.call.attempt === stop?.attempt && job) this.cancel(job);
  }

  private settle(from: Incarnation, message: SettleMessage): void {
    const replies = this.ledger.reconcile(this.now(), from, message);
    const outcome = replies[0]?.message.type ?? 'none';
    this.logger.debug('settled', {call: message.target.callId, outcome});
    this.say(replies);
  }

  private offer(
    from: Incarnation,
    call: CallMessage,
    receivedAt: Millis,
  ): void {
    const now = this.now();
    const {isNew, replies} = this.ledger.accept(now, from, call, receivedAt);
    this.say(replies);
    if (!isNew) {
      this.context.metrics.droppedFrames.inc({reason: 'repeated_call'});
      return;
    }
    const counts = {headAt: 0, pieces: 0};
    const job = {call, from, receivedAt, running: undefined, ...counts};
    if (call.service !== this.settings.service) {
      return this.refuse(job, 'unknown_service', 0);
    }
    if (this.closed) return this.refuse(job, 'draining', SECOND);
    const verdict = this.queue.offer(now, {
      callId: call.callId,
      organisation: call.organisation,
      weight: call.weight,
      priority: call.priority,
      deadlineAt: receivedAt + call.remainingMs,
      cost: call.cost,
      blocks: this.newBlocks(call),
    });
    this.refuseWaiting();
    if (verdict.decision === 'refuse') {
      return this.refuse(job, verdict.reason, verdict.retryAfterMs);
    }
    this.jobs.set(call.callId, job);
    if (verdict.decision === 'start') this.run(job);
  }

  private refuse(job: Job, reason: ErrorName, retryAfterMs: Millis): void {
    const {call} = job;
    const {service} = call;
    this.context.metrics.refusals.inc({reason, service});
    this.say(this.ledger.reject(this.now(), call, reason, retryAfterMs));
  }

  /** Blocks of the prompt that the engine seems to have to prefill. */
  private newBlocks({prefix = []}: CallMessage): number {
    const matched = this.prefixes.match(prefix);
    this.prefixes.recordUse(prefix);
    return prefix.length - matched;
  }

  /** Refuses calls that waited and were displaced or became too late. */
  private refuseWaiting(): void {
    for (const {callId, reason, retryAfterMs} of this.queue.takeShedCalls()) {
      const job = this.jobs.get(callId);
      if (job === undefined) continue;
      this.jobs.delete(callId);
      this.refuse(job, reason, retryAfterMs);
    }
  }

  private run(job: Job): void {
    const {call} = job;
    const {isStarted: run, replies} = this.ledger.start(this.now(), call);
    this.say(replies);
    if (!run) {
      const {service} = call;
      this.context.metrics.refusals.inc({reason: 'deadline_passed', service});
      this.post({type: 'over', job});
      return;
    }
    const {upstreamUrl} = this.settings;
    const listener = this.listen(job);
    const request = new UpstreamRequest(
      upstreamUrl,
      this.agent,
      call,
      listener,
    );
    job.running = request;
    void request.run().finally(() => this.post({type: 'over', job}));
  }

  private listen(job: Job): UpstreamListener {
    const {call} = job;
    const {ledger} = this;
    return {
      head: head => this.say(ledger.recordHead(call, head)),
      data: piece => {
        this.measure(job);
        this.say(ledger.recordData(call, piece));
      },
      end: () => {
        this.queue.recordStream(this.now() - job.headAt, job.pieces);
        this.say(ledger.complete(this.now(), call));
      },
      isPaced: () => ledger.isFlowControlled(call),
      unreachable: detail => {
        this.logger.warn('upstream_unreachable', {detail});
        this.refuse(job, 'engine_unreachable', RETRY_UNREACHABLE);
      },
      failed: detail => {
        this.logger.warn('upstream_failed', {call: call.callId, detail});
        this.say(ledger.fail(this.now(), call, 'upstream_failed'));
      },
    };
  }

  private measure(job: Job): void {
    job.pieces += 1;
    if (job.pieces > 1) return;
    job.headAt = this.now();
    this.queue.recordFirstToken(job.headAt, job.call.callId);
  }

  private cancel(job: Job): void {
    if (job.running !== undefined) return job.running.cancel();
    this.refuse(job, 'deadline_passed', 0);
    this.over(job);
  }

  private entryLost(entry: Incarnation, before: Millis): void {
    for (const job of this.jobs.values()) {
      if (job.from !== entry || job.receivedAt > before) continue;
      if (job.call.idempotent) this.cancel(job);
      // Nobody can grant more credit, and the call must come to its end.
      else job.running?.grant(Infinity);
    }
  }

  /** Ends all that is left: what waits never runs, what runs may have. */
  private cutAll(): void {
    this.closed = true;
    for (const job of this.jobs.values()) {
      const {callId} = job.call;
      const outcome = job.running === undefined ? 'not-run' : 'unknown';
      this.logger.warn('call_cut', {call: callId, outcome});
      if (job.running === undefined) this.refuse(job, 'draining', SECOND);
      else this.say(this.ledger.fail(this.now(), job.call, 'draining'));
    }
  }

  private over(job: Job): void {
    const {callId} = job.call;
    if (this.jobs.get(callId) !== job) return;
    this.jobs.delete(callId);
    const startable = this.queue.release(this.now(), callId);
    this.refuseWaiting();
    for (const next of startable) {
      const started = this.jobs.get(next);
      if (started) this.run(started);
    }
    this.tellIfIdle();
  }

  private tellIfIdle(): void {
    if (this.jobs.size === 0) this.idle?.();
  }

  private say(replies: readonly Reply[]): void {
    for (const {to, message} of replies) {
      if (message.type === 'data') this.answer(to, message);
      else this.answer(to, {...message, load: this.queue.report()});
    }
  }

  private now(): Millis {
    return this.context.clock.now();
  }
}
