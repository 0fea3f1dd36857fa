import type {IncomingMessage, ServerResponse} from 'node:http';

import type {Clock, Millis} from '../../core/index.js';
import {MINUTE, serviceName} from '../../core/index.js';
import {
  CrashBatch,
  PromptQuarantine,
  isBrokenOff,
  isConnectionLost,
  isCrashAtStart,
  promptPartId,
} from '../../direct/index.js';
import type {
  CrashReport,
  EvidenceChange,
  KeyedChange,
  PromptPartId,
  Quarantine,
  Upstream,
} from '../../direct/index.js';
import {describeError} from '../../errors/index.js';
import type {Logger} from '../../observability/index.js';
import type {DaemonParts} from '../shared/start_context.js';
import type {AdmittedRequest} from './admitted_request.js';
import type {FailedAttempt} from './context.js';
import {acceptsConnections} from './connect_probe.js';
import type {PeerChannel} from './peer_channel.js';
import {CrashReportExchange, decodeReports} from './crash_report_exchange.js';
import {QuarantineRecords} from './quarantine_records.js';
import type {QuarantineTopic} from './quarantine_records.js';

/** Time for which the runs that break off with a crash are collected. */
const BATCH_TIME: Millis = 20;
/** Longer than a batch and the time in which bytes may have been in flight. */
const VERDICT_DELAY: Millis = 150;
/** Time after which a crashed process no longer accepts connections. */
const PROBE_DELAY: Millis = 50;
/** Longer than a connection takes between two zones, shorter than a restart. */
const PROBE_TIMEOUT: Millis = 400;
const EXPIRY_INTERVAL: Millis = MINUTE;

/** Source of evidence in the log. */
type EvidenceSource =
  'own' | 'answer' | 'alive' | 'peer' | 'store' | 'operator';

/** What a quarantine keeper uses of its entry. */
export interface QuarantinePorts extends QuarantineTopic {
  /** Channel to the other entries. */
  readonly channel: PeerChannel;
  /** Called when requests that are not refused yet may have to be. */
  onAdded(): void;
}

/**
 * Keeps the prompt quarantine of this entry in step with the other entries: new
 * reports go to them directly, and quarantines to the store as well, for entries
 * that were unreachable or start later.
 */
export class QuarantineKeeper {
  private readonly quarantine = new PromptQuarantine();
  private readonly batch = new CrashBatch();
  private readonly clock: Clock;
  private readonly logger: Logger;
  private readonly exchange: CrashReportExchange;
  private readonly changes;
  private readonly records: QuarantineRecords;
  private readonly expiryTimer: NodeJS.Timeout;

  /**
   * @param ports - the store and callbacks
   * @param parts - clock, random source, logger and metrics
   */
  constructor(
    private readonly ports: QuarantinePorts,
    {clock, chance, logger, metrics}: DaemonParts,
  ) {
    this.clock = clock;
    this.logger = logger;
    this.records = new QuarantineRecords(ports, chance, logger);
    this.exchange = new CrashReportExchange(
      reports => this.receive(reports),
      ports.channel,
      logger,
    );
    this.changes = metrics.counter(
      'baobabspan_prompt_quarantine_changes_total',
      'Crash reports and quarantines of prompt parts, by change',
      ['change'],
    );
    this.expiryTimer = setInterval(() => this.expire(), EXPIRY_INTERVAL);
  }

  /**
   * Handles reports of another entry.
   * @param req - the HTTP request
   * @param res - its response
   */
  handleMessage(req: IncomingMessage, res: ServerResponse): void {
    void this.exchange.handle(req, res);
  }

  /** Stops permanently. */
  stop(): void {
    this.records.stop();
    clearInterval(this.expiryTimer);
  }

  /** Fields of `/status`. */
  get status(): object {
    const wall = this.clock.wall();
    return {
      reports: this.quarantine.allReports.length,
      knownParts: this.quarantine.knownPartCount,
      quarantines: this.quarantine.current.map(quarantine => ({
        service: quarantine.service,
        parts: quarantine.parts,
        ageMs: ageOf(quarantine, wall),
        crashes: crashesOf(quarantine),
      })),
    };
  }

  /**
   * Returns the quarantine that a request falls under, if any.
   * @param request - the request
   */
  match(request: AdmittedRequest): Quarantine | undefined {
    return this.quarantine.match(request.service, partsOf(request));
  }

  /**
   * Records a failed attempt.
   * @param now - current time
   * @param request - the request
   * @param attempt - the attempt
   * @returns whether the request may crash another upstream if it is sent again
   */
  recordFailure(
    now: Millis,
    request: AdmittedRequest,
    {upstream, progress, failure}: FailedAttempt,
  ): boolean {
    const {service, metadata} = request;
    const {id} = metadata;
    const parts = partsOf(request);
    if (failure.kind !== 'may_have_run') return false;
    const {incarnation} = upstream;
    if (isBrokenOff(now, progress, failure))
      this.batch.recordBroken(now, incarnation);
    if (request.fingerprint !== undefined) {
      if (isConnectionLost(progress, failure))
        void this.verifyCrash(request, upstream);
      return false;
    }
    const isCrash = isCrashAtStart(now, progress, failure);
    if (!isCrash || parts.length === 0 || id === undefined) return false;
    const crash = {service, upstream: incarnation, request: id};
    const report = this.quarantine.report(this.clock.wall(), crash, parts);
    if (this.batch.add(report)) {
      setTimeout(() => void this.publishBatch(), BATCH_TIME);
    }
    return !report.isKnown;
  }

  /**
   * Waits until it is known whether the run of a request broke off alone: its
   * upstream would have gone on with other runs by then.
   * @param request - the request
   * @param upstream - upstream of the attempt that broke off
   * @param onVerdict - called with whether the request is still suspected
   */
  awaitVerdict(
    {metadata}: AdmittedRequest,
    {incarnation}: Upstream,
    onVerdict: (isSuspected: boolean) => void,
  ): void {
    const {id} = metadata;
    setTimeout(() => {
      onVerdict(
        id !== undefined && this.quarantine.isSuspected(incarnation, id),
      );
    }, VERDICT_DELAY);
  }

  /**
   * Records that the run of a request has progressed or ended well.
   * @param request - the request
   */
  recordAnswer({service, metadata, fingerprint}: AdmittedRequest): void {
    const {sharedParts, ownPart = fingerprint} = metadata;
    const change = this.quarantine.recordAnswer(
      this.clock.wall(),
      service,
      sharedParts,
      ownPart,
    );
    void this.spread(change, 'answer');
  }

  /**
   * Records bytes of a run: its upstream is alive.
   * @param now - current time
   * @param upstream - the upstream
   * @param sentAt - time at which the run's request was sent
   */
  recordAlive(now: Millis, {incarnation}: Upstream, sentAt: Millis): void {
    const wall = this.clock.wall();
    const sentWall = wall - (now - sentAt);
    const change = this.quarantine.recordAlive(wall, incarnation, sentWall);
    void this.spread(change, 'alive');
  }

  /**
   * Lifts the quarantines of a part at all entries.
   * @param query - `service` and `part`
   * @returns whether both are given
   */
  lift(query: URLSearchParams): boolean {
    const [service, part] = [query.get('service'), query.get('part')];
    if (service === null || part === null) return false;
    const parts = [promptPartId(part.toLowerCase())];
    const change = this.quarantine.clear(
      this.clock.wall(),
      serviceName(service),
      parts,
    );
    void this.spread(change, 'operator');
    return true;
  }

  /**
   * Applies records of the store.
   * @param changes - the records
   */
  applyStored(changes: readonly KeyedChange[]): void {
    for (const {key, value} of changes) {
      if (value === undefined) continue;
      try {
        const stored = decodeReports(value);
        this.merge(stored, 'store');
        const known = this.quarantine.versionsOf(stored);
        this.records.compare(key, stored, known);
      } catch (thrown) {
        const reason = describeError(thrown);
        this.logger.warn('quarantine_unreadable', {key, reason});
      }
    }
  }

  /** Handles the loss of the store's last records. */
  recordStoreLoss(): void {
    this.records.recordLoss(this.quarantine.current);
  }

  /** Removes reports past their retention. */
  private expire(): void {
    const change = this.quarantine.expire(this.clock.wall());
    this.record(change, 'own');
    for (const quarantine of change.removed) this.records.remove(quarantine);
  }

  /**
   * Reports the crash of an upstream under a request without a prompt, unless
   * the upstream is found to be alive: it may only have lost the connection.
   */
  private async verifyCrash(
    request: AdmittedRequest,
    {incarnation, registration: {address}}: Upstream,
  ): Promise<void> {
    const {service, metadata} = request;
    const {id} = metadata;
    if (id === undefined) return;
    const at = this.clock.wall();
    await new Promise(resolve => setTimeout(resolve, PROBE_DELAY));
    if (await acceptsConnections(address, PROBE_TIMEOUT)) {
      this.changes.inc({change: 'dismissed'});
      this.logger.info('crash_dismissed', {
        ...{id, service, upstream: incarnation},
        reason: 'the upstream accepts connections',
      });
      return;
    }
    const crash = {service, upstream: incarnation, request: id};
    const report = this.quarantine.report(at, crash, partsOf(request));
    await this.spread(this.quarantine.merge(at, [report]), 'own');
  }

  private async publishBatch(): Promise<void> {
    const {reports, isDiscarded} = this.batch.take();
    const [first] = reports;
    if (first === undefined) return;
    if (isDiscarded) {
      this.changes.inc({change: 'discarded'}, reports.length);
      this.logger.info('crash_reports_discarded', {
        reports: reports.length,
        request: first.request,
        reason: 'runs at many upstreams broke off together',
      });
      return;
    }
    await this.spread(this.quarantine.merge(this.clock.wall(), reports), 'own');
  }

  private receive(reports: readonly CrashReport[]): readonly CrashReport[] {
    this.merge(reports, 'peer');
    return this.quarantine.related(reports);
  }

  private merge(
    reports: readonly CrashReport[],
    source: EvidenceSource,
  ): EvidenceChange {
    const change = this.quarantine.merge(this.clock.wall(), reports);
    this.record(change, source);
    return change;
  }

  /** Passes a change that this entry caused on to the others and the store. */
  private async spread(
    change: EvidenceChange,
    source: EvidenceSource,
  ): Promise<void> {
    if (change.reports.length === 0) return;
    this.record(change, source);
    this.store(change);
    const answers = await this.exchange.publish(change.reports);
    const further = this.merge(answers, 'peer');
    if (further.reports.length === 0) return;
    this.store(further);
    const last = await this.exchange.publish(further.reports);
    this.merge(last, 'peer');
  }

  private store({reports, added, removed}: EvidenceChange): void {
    // What cleared a quarantine has to reach the other entries as well.
    for (const quarantine of removed) this.records.store(quarantine, reports);
    for (const quarantine of added)
      this.records.store(quarantine, quarantine.reports);
  }

  private record(change: EvidenceChange, source: EvidenceSource): void {
    for (const report of change.reports) {
      const {upstream, service, request, at, isKnown} = report;
      const isCleared = report.cleared.length > 0;
      this.changes.inc({change: isCleared ? 'cleared' : 'suspected'});
      this.logger.info(isCleared ? 'prompt_parts_cleared' : 'crash_suspected', {
        ...{source, upstream, service, id: request, known: isKnown},
        age_ms: Math.round(this.clock.wall() - at),
        suspects: report.suspects.join(','),
        cleared: report.cleared.join(',') || undefined,
      });
    }
    for (const quarantine of change.removed) {
      this.recordVerdict('lifted', quarantine, source);
    }
    for (const quarantine of change.added) {
      this.recordVerdict('quarantined', quarantine, source);
    }
    if (change.added.length > 0) this.ports.onAdded();
  }

  private recordVerdict(
    change: 'quarantined' | 'lifted',
    quarantine: Quarantine,
    source: EvidenceSource,
  ): void {
    this.changes.inc({change});
    this.logger.warn(`prompt_parts_${change}`, {
      source,
      service: quarantine.service,
      parts: quarantine.parts.join(','),
      crashes: crashesOf(quarantine).join(' '),
    });
  }
}

/**
 * Returns the time since the newest crash behind a quarantine.
 * @param quarantine - the quarantine
 * @param wallTime - current wall-clock time, Unix ms
 */
export function ageOf({reports}: Quarantine, wallTime: number): Millis {
  return Math.round(wallTime - Math.max(...reports.map(({at}) => at)));
}

/** Returns what a request may be quarantined for. */
function partsOf({
  fingerprint,
  metadata: {sharedParts, ownPart = fingerprint},
}: AdmittedRequest): readonly PromptPartId[] {
  return ownPart === undefined ? sharedParts : [...sharedParts, ownPart];
}

const crashesOf = ({reports}: Quarantine) =>
  reports.map(({upstream, at}) => `${upstream}@${new Date(at).toISOString()}`);
