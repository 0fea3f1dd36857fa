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
const CHECK_EVERY: Millis = 200;
/** Appends without an answer after which the log counts as out of reach. */
const OUT_AFTER = 3;
const RETRY_AFTER_OUTAGE: Millis = 5 * SECOND;

/** Whoever waits for a claim. */
type LookUp = Extract<Message, {type: 'look_up'}>['tell'];
type Waiter = (result: ClaimResult) => void;

interface Waiting {
  readonly claim: Claim;
  readonly until: Millis;
  readonly tell: Waiter;
}

type Message =
  | {
      readonly type: 'look_up';
      readonly scope: string;
      readonly tell: (standing: Claim | undefined, coveredFrom: number) => void;
    }
  | {
      readonly type: 'claim';
      readonly claim: Claim;
      readonly releases: readonly string[];
      readonly tell: Waiter;
    }
  | {readonly type: 'release'; readonly releases: readonly string[]}
  | {readonly type: 'page'; readonly page: LogPage}
  | {readonly type: 'read_failed'; readonly fault: Fault}
  | {readonly type: 'appended'; readonly record: ClaimRecord}
  | {readonly type: 'append_failed'; readonly fault: Fault}
  | {readonly type: 'retry_append'}
  | {readonly type: 'read'}
  | {readonly type: 'check'};

/** Follows the claims stream, and appends this entry's claims in batches. */
export class ClaimsTask extends Task<Message> {
  private readonly book = new ClaimRegistry();
  private readonly batcher = new ClaimBatcher();
  private readonly waiting = new Map<string, Waiting>();
  private readonly log: LogClient;
  private readonly timer: NodeJS.Timeout;
  private foldedTo: Offset = offset(-1);
  private isAppending = false;
  private readFailures = 0;
  private appendFailures = 0;
  private appends = 0;
  /** Whether a claim timed out since the log last answered. */
  private isSilent = false;

  /**
   * @param context - what the daemon's tasks share
   * @param logUrl - address of the platform's log
   */
  constructor(
    private readonly context: DaemonContext,
    logUrl: string,
  ) {
    super(context.system, 'claims', context.logger.labelled('claims'));
    this.log = new HttpLogClient(logUrl, CLAIMS_STREAM);
    this.timer = setInterval(() => this.post({type: 'check'}), CHECK_EVERY);
    this.post({type: 'read'});
  }

  /** What `/status` shows. */
  status(): object {
    const {foldedTo, appends, readFailures, appendFailures} = this;
    const keys = this.book.size;
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
        return this.lookUp(message.scope, message.tell);
      case 'claim':
        return this.claim(message.claim, message.releases, message.tell);
      case 'release':
        return this.release(message.releases);
      case 'page':
        return this.fold(message.page);
      case 'read_failed':
        return this.readFailed(message.fault);
      case 'appended':
        return this.appended(message.record);
      case 'append_failed':
        return this.appendFailed(message.fault);
      case 'retry_append':
        this.isAppending = false;
        return this.append();
      case 'read':
        return this.read();
      case 'check':
        return this.check();
    }
  }

  private lookUp(scope: string, tell: LookUp): void {
    tell(this.book.find(scope), this.book.coveredFrom);
  }

  private claim(claim: Claim, releases: readonly string[], tell: Waiter): void {
    this.batcher.addReleases(releases);
    if (this.isOut()) {
      tell({kind: 'unavailable', retryAfterMs: RETRY_AFTER_OUTAGE});
      return;
    }
    this.batcher.addClaim(claim);
    const until = this.context.clock.now() + CLAIM_TIMEOUT;
    this.waiting.set(claim.id, {claim, until, tell});
    this.append();
  }

  private release(ids: readonly string[]): void {
    for (const id of ids) {
      this.waiting.delete(id);
      this.batcher.withdraw(id);
    }
    this.append();
  }

  private isOut(): boolean {
    return (
      this.readFailures > 0 || this.appendFailures >= OUT_AFTER || this.isSilent
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

  private appended(record: ClaimRecord): void {
    this.appends += 1;
    this.context.metrics.logEvents.inc({kind: 'claims_appended'});
    this.isAppending = false;
    this.isSilent = false;
    this.appendFailures = 0;
    this.batcher.confirm(record.id);
    this.append();
  }

  /** The record may be in the log: the same one is appended again. */
  private appendFailed(fault: Fault): void {
    this.context.metrics.logEvents.inc({kind: 'claims_append_failed'});
    this.logger.warn('claims_append_failed', {detail: fault.detail});
    const delay = this.backoff(this.appendFailures);
    this.appendFailures += 1;
    if (this.isOut()) this.refuseAll();
    setTimeout(() => this.post({type: 'retry_append'}), delay).unref();
  }

  private read(): void {
    const from = offset(this.foldedTo + 1);
    void this.log.read(from, LONG_POLL).match(
      page => this.post({type: 'page', page}),
      fault => this.post({type: 'read_failed', fault}),
    );
  }

  private readFailed(fault: Fault): void {
    if (this.readFailures === 0) {
      this.logger.warn('log_outage', {detail: fault.detail});
    }
    this.context.metrics.logEvents.inc({kind: 'claims_read_failed'});
    const delay = this.backoff(this.readFailures);
    this.readFailures += 1;
    this.refuseAll();
    setTimeout(() => this.post({type: 'read'}), delay).unref();
  }

  private fold(page: LogPage): void {
    this.readFailures = 0;
    if (page.records.length > 0) this.isSilent = false;
    for (const {offset: at, data} of page.records) {
      const parsed = claimRecord.safeParse(data);
      this.foldedTo = at;
      if (!parsed.success) {
        this.context.metrics.logEvents.inc({kind: 'malformed_record'});
        this.logger.warn('malformed_record', {offset: at});
        continue;
      }
      this.book.fold(at, parsed.data);
      this.batcher.confirm(parsed.data.id);
    }
    this.book.pruneBefore(page.earliest);
    this.tellSeen();
    this.read();
  }

  private tellSeen(): void {
    for (const [id, {claim, tell}] of this.waiting) {
      if (!this.book.hasSeen(id)) continue;
      this.waiting.delete(id);
      const standing = this.book.find(keyScope(claim));
      if (standing === undefined) tell({kind: 'released'});
      else if (standing.id === id) tell({kind: 'won'});
      else tell({kind: 'lost', holder: standing});
    }
  }

  /** Nobody waits while the log is out of reach. */
  private refuseAll(): void {
    for (const [id, {tell}] of this.waiting) {
      this.waiting.delete(id);
      tell({kind: 'unavailable', retryAfterMs: RETRY_AFTER_OUTAGE});
    }
  }

  private check(): void {
    const now = this.context.clock.now();
    for (const [id, {until, tell}] of this.waiting) {
      if (now < until) continue;
      this.waiting.delete(id);
      this.isSilent = true;
      this.context.metrics.logEvents.inc({kind: 'claim_timeout'});
      tell({kind: 'unavailable', retryAfterMs: RETRY_AFTER_OUTAGE});
    }
  }

  private backoff(failures: number): Millis {
    return this.context.chance.backoff(failures, BACKOFF_BASE, BACKOFF_CAP);
  }
}
