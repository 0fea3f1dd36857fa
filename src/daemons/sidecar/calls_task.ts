import type {Agent} from 'undici';

import {AdmissionQueue} from '../../admission/index.js';
import type {QueueLimits} from '../../admission/index.js';
import {CallLedger} from '../../calls/index.js';
import type {
  AnswerMessage,
  CallMessage,
  RequestMessage,
} from '../../calls/index.js';
import type {CallId, Incarnation, Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import type {ErrorName} from '../../errors/index.js';
import {PrefixMap} from '../../routing/index.js';
import type {CacheMessage} from '../../routing/index.js';
import type {DaemonContext} from '../shared/context.js';
import {Task} from '../shared/task.js';
import type {SidecarSettings} from './types.js';
import {UpstreamRequest, upstreamAgent} from './upstream_request.js';

const DEFAULT_LIMITS: QueueLimits = {concurrency: 16, queue: 64};
const RETRY_UNREACHABLE: Millis = SECOND;
const SWEEP_EVERY: Millis = 10 * SECOND;
/** How often waiting calls are checked against their deadlines. */
const EXPIRE_EVERY: Millis = 100;

/** An attempt that waits or runs here. */
interface Job {
  readonly call: CallMessage;
  readonly from: Incarnation;
  running: UpstreamRequest | undefined;
  frames: number;
  bytes: number;
  /** When the answer's head came, ms. */
  headAt: Millis;
}

type Message =
  | {
      readonly type: 'request';
      readonly from: Incarnation;
      readonly message: RequestMessage;
    }
  | {readonly type: 'entry_lost'; readonly entry: Incarnation}
  | {readonly type: 'over'; readonly job: Job}
  | {readonly type: 'limits'; readonly limits: QueueLimits}
  | {readonly type: 'sweep'}
  | {readonly type: 'expire'}
  | {readonly type: 'cache'; readonly message: CacheMessage}
  | {readonly type: 'close'}
  | {readonly type: 'drain'; readonly idle: () => void};

/** Admits, runs and answers the calls of one upstream. */
export class CallsTask extends Task<Message> {
  private readonly queue = new AdmissionQueue(DEFAULT_LIMITS);
  private readonly ledger = new CallLedger();
  private readonly jobs = new Map<CallId, Job>();
  private readonly agent: Agent = upstreamAgent();
  private readonly timers: readonly NodeJS.Timeout[];
  private readonly prefixes = new PrefixMap();
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
    return {...this.queue.report(), remembered: this.ledger.size};
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
        return this.request(message.from, message.message);
      case 'entry_lost':
        return this.entryLost(message.entry);
      case 'over':
        return this.over(message.job);
      case 'limits':
        return this.queue.configure(message.limits);
      case 'sweep':
        this.ledger.sweep(this.context.clock.now());
        return;
      case 'expire':
        this.queue.sweep(this.context.clock.now());
        return this.refuseWaiting();
      case 'cache':
        this.prefixes.apply(message.message);
        return;
      case 'close':
        this.closed = true;
        return;
      case 'drain':
        this.idle = message.idle;
        return this.tellIfIdle();
    }
  }

  private request(from: Incarnation, message: RequestMessage): void {
    if (message.type === 'call') return this.offer(from, message);
    const job = this.jobs.get(message.callId);
    if (job === undefined || job.call.attempt !== message.attempt) return;
    if (message.type === 'credit') job.running?.grant(message.frames);
    else this.cancel(job);
  }

  private offer(from: Incarnation, call: CallMessage): void {
    const now = this.context.clock.now();
    if (!this.ledger.take(call.callId, call.attempt)) {
      this.context.metrics.droppedFrames.inc({reason: 'repeated_call'});
      return;
    }
    const job = {
      call,
      from,
      running: undefined,
      frames: 0,
      bytes: 0,
      headAt: 0,
    };
    if (call.service !== this.settings.service) {
      return this.refuse(job, 'unknown_service', 0);
    }
    if (this.closed) return this.refuse(job, 'draining', SECOND);
    const verdict = this.queue.offer(now, {
      callId: call.callId,
      organisation: call.organisation,
      weight: call.weight,
      priority: call.priority,
      deadlineAt: now + call.remainingMs,
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
    const {callId, attempt, service} = job.call;
    const load = this.queue.report();
    this.ledger.end(this.context.clock.now(), callId, attempt);
    this.context.metrics.refusals.inc({reason, service});
    const refusal = {callId, attempt, reason, retryAfterMs, load};
    this.answer(job.from, {type: 'refused', ...refusal});
  }

  /** Blocks of the prompt that the engine seems to have to prefill. */
  private newBlocks({prefix = []}: CallMessage): number {
    const matched = this.prefixes.match(prefix);
    this.prefixes.used(prefix);
    return prefix.length - matched;
  }

  /** Refuses calls that waited and were displaced or became too late. */
  private refuseWaiting(): void {
    for (const {callId, reason, retryAfterMs} of this.queue.takeRefused()) {
      const job = this.jobs.get(callId);
      if (job === undefined) continue;
      this.jobs.delete(callId);
      this.refuse(job, reason, retryAfterMs);
    }
    this.tellIfIdle();
  }

  private run(job: Job): void {
    const {callId, attempt} = job.call;
    const name = {callId, attempt};
    const say = (message: AnswerMessage) => this.answer(job.from, message);
    const report = () => this.queue.report();
    const request = new UpstreamRequest(
      this.settings.upstreamUrl,
      this.agent,
      job.call,
      {
        head: (status, headers) => {
          job.headAt = this.context.clock.now();
          this.queue.firstToken(job.headAt, callId);
          const load = report();
          say({type: 'head', ...name, seq: 0, status, headers, load});
        },
        data: body => {
          job.frames += 1;
          job.bytes += body.byteLength;
          const piece = body as Uint8Array<ArrayBuffer>;
          say({type: 'data', ...name, seq: job.frames, body: piece});
        },
        end: () => {
          const {frames, bytes, headAt} = job;
          this.queue.streamed(this.context.clock.now() - headAt, frames);
          say({type: 'end', ...name, frames, bytes, load: report()});
        },
        unreachable: detail => {
          this.logger.warn('upstream_unreachable', {detail});
          this.refuse(job, 'engine_unreachable', RETRY_UNREACHABLE);
        },
        failed: detail => {
          this.logger.warn('upstream_failed', {call: callId, detail});
          const reason = 'upstream_failed';
          say({type: 'failed', ...name, reason, load: report()});
        },
      },
    );
    job.running = request;
    void request.run().finally(() => this.post({type: 'over', job}));
  }

  private cancel(job: Job): void {
    if (job.running !== undefined) job.running.cancel();
    else this.over(job);
  }

  private entryLost(entry: Incarnation): void {
    for (const job of this.jobs.values()) {
      if (job.from === entry && job.call.idempotent) this.cancel(job);
    }
  }

  private over(job: Job): void {
    const {callId, attempt} = job.call;
    const now = this.context.clock.now();
    if (this.jobs.get(callId) === job) this.jobs.delete(callId);
    this.ledger.end(now, callId, attempt);
    const started = this.queue.end(now, callId);
    this.refuseWaiting();
    for (const next of started) {
      const waiting = this.jobs.get(next);
      if (waiting) this.run(waiting);
    }
    this.tellIfIdle();
  }

  private tellIfIdle(): void {
    if (this.jobs.size === 0) this.idle?.();
  }
}
