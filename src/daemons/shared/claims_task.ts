import {randomBytes} from 'node:crypto';

import {
  CLAIMS_STREAM,
  CLAIM_TIMEOUT,
  ClaimBatcher,
  ClaimRegistry,
  claimRecord,
  keyScope,
} from '../../calls/index.js';
import type {Claim, ClaimRecord, ClaimResult} from '../../calls/index.js';
import {SECOND, offset, recordId} from '../../core/index.js';
import type {Millis, Offset} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {LogClient, LogPage} from '../../clients/index.js';
import {HttpLogClient} from '../../clients/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

const LONG_POLL: Millis = 20 * SECOND;
const BACKOFF_BASE: Millis = 100;
const BACKOFF_CAP: Millis = 2 * SECOND;
const TIMEOUT_CHECK_INTERVAL: Millis = 200;
/** Consecutive failed appends after which the log counts as unavailable. */
const MAX_APPEND_FAILURES = 3;
const RETRY_AFTER_OUTAGE: Millis = 5 * SECOND;

type LookUpCallback = Extract<Message, {type: 'look_up'}>['onFound'];
type ClaimCallback = (result: ClaimResult) => void;

interface PendingClaim {
  readonly claim: Claim;
  readonly timeoutAt: Millis;
  readonly onResult: ClaimCallback;
}

type Message =
  | {
      readonly type: 'look_up';
      readonly scope: string;
      readonly onFound: (
        holder: Claim | undefined,
        coveredFrom: number,
      ) => void;
    }
  | {
      readonly type: 'claim';
      readonly claim: Claim;
      readonly releases: readonly string[];
      readonly onResult: ClaimCallback;
    }
  | {readonly type: 'release'; readonly releases: readonly string[]}
  | {readonly type: 'page'; readonly page: LogPage}
  | {readonly type: 'read_failed'; readonly fault: Fault}
  | {readonly type: 'appended'; readonly record: ClaimRecord}
  | {readonly type: 'append_failed'; readonly fault: Fault}
  | {readonly type: 'retry_append'}
  | {readonly type: 'read'}
  | {readonly type: 'check'};

/** Reads the claims stream and appends this entry's claims in batches. */
export class ClaimsTask extends Task<Message> {
  private readonly registry = new ClaimRegistry();
  private readonly batcher = new ClaimBatcher();
  private readonly pendingClaims = new Map<string, PendingClaim>();
  private readonly log: LogClient;
  private readonly timer: NodeJS.Timeout;
  private foldedTo: Offset = offset(-1);
  private isAppending = false;
  private readFailures = 0;
  private appendFailures = 0;
  private appends = 0;
  /** Whether a claim timed out since the last contact with the log. */
  private hasTimedOut = false;

  /**
   * @param context - shared context of the daemon's tasks
   * @param logUrl - address of the platform's log
   */
  constructor(
    private readonly context: DaemonContext,
    logUrl: string,
  ) {
    super(context.system, 'claims', context.logger.withLabel('claims'));
    this.log = new HttpLogClient(logUrl, CLAIMS_STREAM);
    this.timer = setInterval(
      () => this.post({type: 'check'}),
      TIMEOUT_CHECK_INTERVAL,
    );
    this.post({type: 'read'});
  }

  /** Returns this task's part of `/status`. */
  status(): object {
    const {foldedTo, appends, readFailures, appendFailures} = this;
    const keys = this.registry.size;
    return {foldedTo, keys, appends, readFailures, appendFailures};
  }

  override stop(): void {
    clearInterval(this.timer);
    this.log.close();
    super.stop();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'look_up':
        return this.lookUp(message.scope, message.onFound);
      case 'claim':
        return this.submitClaim(
          message.claim,
          message.releases,
          message.onResult,
        );
      case 'release':
        return this.releaseClaims(message.releases);
      case 'page':
        return this.foldPage(message.page);
      case 'read_failed':
        return this.onReadFailed(message.fault);
      case 'appended':
        return this.onAppended(message.record);
      case 'append_failed':
        return this.onAppendFailed(message.fault);
      case 'retry_append':
        this.isAppending = false;
        return this.append();
      case 'read':
        return this.read();
      case 'check':
        return this.checkTimeouts();
    }
  }

  private lookUp(scope: string, onFound: LookUpCallback): void {
    onFound(this.registry.find(scope), this.registry.coveredFrom);
  }

  private submitClaim(
    claim: Claim,
    releases: readonly string[],
    onResult: ClaimCallback,
  ): void {
    this.batcher.addReleases(releases);
    if (this.isLogUnavailable()) {
      onResult({kind: 'unavailable', retryAfterMs: RETRY_AFTER_OUTAGE});
      return;
    }
    this.batcher.addClaim(claim);
    const timeoutAt = this.context.clock.now() + CLAIM_TIMEOUT;
    this.pendingClaims.set(claim.id, {claim, timeoutAt, onResult});
    this.append();
  }

  private releaseClaims(ids: readonly string[]): void {
    for (const id of ids) {
      this.pendingClaims.delete(id);
      this.batcher.withdraw(id);
    }
    this.append();
  }

  private isLogUnavailable(): boolean {
    return (
      this.readFailures > 0 ||
      this.appendFailures >= MAX_APPEND_FAILURES ||
      this.hasTimedOut
    );
  }

  private append(): void {
    if (this.isAppending) return;
    const record = this.batcher.next(this.context.clock.wall(), () =>
      recordId(
        `${this.context.self.incarnation}/${randomBytes(8).toString('hex')}`,
      ),
    );
    if (record === undefined) return;
    this.isAppending = true;
    void this.log.append(record).match(
      () => this.post({type: 'appended', record}),
      fault => this.post({type: 'append_failed', fault}),
    );
  }

  private onAppended(record: ClaimRecord): void {
    this.appends += 1;
    this.context.metrics.logEvents.inc({kind: 'claims_appended'});
    this.isAppending = false;
    this.hasTimedOut = false;
    this.appendFailures = 0;
    this.batcher.confirm(record.id);
    this.append();
  }

  /** Retries with the same record, which the log may have stored already. */
  private onAppendFailed(fault: Fault): void {
    this.context.metrics.logEvents.inc({kind: 'claims_append_failed'});
    this.logger.warn('claims_append_failed', {detail: fault.detail});
    const delay = this.backoff(this.appendFailures);
    this.appendFailures += 1;
    if (this.isLogUnavailable()) this.rejectAll();
    setTimeout(() => this.post({type: 'retry_append'}), delay).unref();
  }

  private read(): void {
    const from = offset(this.foldedTo + 1);
    void this.log.read(from, LONG_POLL).match(
      page => this.post({type: 'page', page}),
      fault => this.post({type: 'read_failed', fault}),
    );
  }

  private onReadFailed(fault: Fault): void {
    if (this.readFailures === 0) {
      this.logger.warn('log_outage', {detail: fault.detail});
    }
    this.context.metrics.logEvents.inc({kind: 'claims_read_failed'});
    const delay = this.backoff(this.readFailures);
    this.readFailures += 1;
    this.rejectAll();
    setTimeout(() => this.post({type: 'read'}), delay).unref();
  }

  private foldPage(page: LogPage): void {
    this.readFailures = 0;
    if (page.records.length > 0) this.hasTimedOut = false;
    for (const {offset: at, data} of page.records) {
      const parsed = claimRecord.safeParse(data);
      this.foldedTo = at;
      if (!parsed.success) {
        this.context.metrics.logEvents.inc({kind: 'malformed_record'});
        this.logger.warn('malformed_record', {offset: at});
        continue;
      }
      this.registry.fold(at, parsed.data);
      this.batcher.confirm(parsed.data.id);
    }
    this.registry.pruneBefore(page.earliest);
    this.resolveSeenClaims();
    this.read();
  }

  private resolveSeenClaims(): void {
    for (const [id, {claim, onResult}] of this.pendingClaims) {
      if (!this.registry.hasSeen(id)) continue;
      this.pendingClaims.delete(id);
      const holder = this.registry.find(keyScope(claim));
      if (holder === undefined) onResult({kind: 'released'});
      else if (holder.id === id) onResult({kind: 'won'});
      else onResult({kind: 'lost', holder});
    }
  }

  /** Fails all pending claims while the log is unavailable. */
  private rejectAll(): void {
    for (const [id, {onResult}] of this.pendingClaims) {
      this.pendingClaims.delete(id);
      onResult({kind: 'unavailable', retryAfterMs: RETRY_AFTER_OUTAGE});
    }
  }

  private checkTimeouts(): void {
    const now = this.context.clock.now();
    for (const [id, {timeoutAt, onResult}] of this.pendingClaims) {
      if (now < timeoutAt) continue;
      this.pendingClaims.delete(id);
      this.hasTimedOut = true;
      this.context.metrics.logEvents.inc({kind: 'claim_timeout'});
      onResult({kind: 'unavailable', retryAfterMs: RETRY_AFTER_OUTAGE});
    }
  }

  private backoff(failures: number): Millis {
    return this.context.chance.backoff(failures, BACKOFF_BASE, BACKOFF_CAP);
  }
}
