import {
  CONFIGURATION_STREAM,
  History,
  configurationRecord,
} from '../../configuration/index.js';
import type {Configuration} from '../../configuration/index.js';
import {SECOND, offset} from '../../core/index.js';
import type {Millis, Offset, Version} from '../../core/index.js';
import type {Fault} from '../../errors/index.js';
import type {LogClient, LogPage, LogRecord} from '../../platform/index.js';
import {HttpLogClient} from '../../platform/index.js';
import type {DaemonContext} from './context.js';
import {Task} from './task.js';

const LONG_POLL: Millis = 20 * SECOND;
const BACKOFF_BASE: Millis = 200;
const BACKOFF_CAP: Millis = 10 * SECOND;

/** What `/status` shows of the configuration. */
export interface ConfigurationStatus {
  readonly version: Version;
  readonly foldedTo: Offset;
  readonly author: string;
  /** Records of the stream that no program can read. */
  readonly malformedRecords: number;
  /** Why the log cannot be read now, if it cannot. */
  readonly outage: string | undefined;
}

type Message =
  | {readonly type: 'poll'}
  | {readonly type: 'page'; readonly page: LogPage}
  | {readonly type: 'outage'; readonly fault: Fault};

/** Follows the configuration stream and tells what is in force. */
export class ConfigurationTask extends Task<Message> {
  private readonly history = new History();
  private readonly log: LogClient;
  private malformedRecords = 0;
  private outage: string | undefined;
  private failures = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param context - what the daemon's tasks share
   * @param logUrl - address of the platform's log
   * @param inForce - told of each version that comes in force
   */
  constructor(
    private readonly context: DaemonContext,
    logUrl: string,
    private readonly inForce: (version: Version, cfg: Configuration) => void,
  ) {
    super(
      context.system,
      'configuration',
      context.logger.labelled('configuration'),
    );
    this.log = new HttpLogClient(logUrl, CONFIGURATION_STREAM);
    this.post({type: 'poll'});
  }

  /** What `/status` shows. */
  status(): ConfigurationStatus {
    const {version, foldedTo, author} = this.history.folded;
    const {malformedRecords, outage} = this;
    return {version, foldedTo, author, malformedRecords, outage};
  }

  override stop(): void {
    clearTimeout(this.timer);
    super.stop();
  }

  protected receive(message: Message): void {
    switch (message.type) {
      case 'poll':
        return this.poll();
      case 'page':
        return this.fold(message.page);
      case 'outage':
        return this.wait(message.fault);
    }
  }

  private poll(): void {
    const from = offset(this.history.folded.foldedTo + 1);
    void this.log.read(from, LONG_POLL).match(
      page => this.post({type: 'page', page}),
      fault => this.post({type: 'outage', fault}),
    );
  }

  private fold(page: LogPage): void {
    const before = this.history.folded.version;
    for (const record of page.records) this.foldOne(record);
    this.failures = 0;
    this.outage = undefined;
    const {version} = this.history.folded;
    const cfg = this.history.inForce;
    if (version > before && cfg !== undefined) this.announce(version, cfg);
    this.poll();
  }

  private foldOne(record: LogRecord): void {
    const parsed = configurationRecord.safeParse(record.data);
    if (!parsed.success) {
      this.malformedRecords += 1;
      this.context.metrics.logEvents.inc({kind: 'malformed_record'});
      this.logger.warn('malformed_record', {offset: record.offset});
      this.history.skip(record.offset);
      return;
    }
    if (parsed.data.kind === 'checkpoint') {
      this.history.adopt({...parsed.data, author: ''});
      this.history.skip(record.offset);
      return;
    }
    const verdict = this.history.publish(record.offset, parsed.data);
    if (verdict?.accepted === false) {
      const {reason, detail} = verdict;
      this.logger.info('publication_refused', {
        id: parsed.data.id,
        reason,
        detail,
      });
    }
  }

  private announce(version: Version, cfg: Configuration): void {
    this.context.metrics.versionInForce.set(version);
    this.logger.info('configuration_in_force', {version});
    this.inForce(version, cfg);
  }

  private wait(fault: Fault): void {
    if (this.outage === undefined) {
      this.logger.warn('log_outage', {detail: fault.detail});
    }
    this.outage = fault.detail;
    this.context.metrics.logEvents.inc({kind: 'read_failed'});
    const delay = this.context.chance.backoff(
      this.failures,
      BACKOFF_BASE,
      BACKOFF_CAP,
    );
    this.failures += 1;
    this.timer = setTimeout(() => this.post({type: 'poll'}), delay);
  }
}
