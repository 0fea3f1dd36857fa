import type {Incarnation, Millis, ServiceName} from '../core/index.js';
import {HOUR} from '../core/index.js';
import {reportId} from './crash_report.js';
import type {CrashReport} from './crash_report.js';
import {isRequestFingerprint} from './request_fingerprint.js';
import type {PromptPartId, RequestId} from './types.js';

/** Crashes that convict a part on which no answer was ever seen. */
const CRASHES_OF_NEW_PART = 2;
/** Crashes in a row that convict a part with earlier answers. */
const CRASHES_OF_KNOWN_PART = 4;
/**
 * Crashes in a row that convict a request without a prompt: requests beside a
 * deadly one may lose their upstream twice, as each is sent to two.
 */
const CRASHES_OF_REQUEST = 3;
/** Crashes closer to each other may have one cause, such as a network fault. */
const MIN_CRASH_SEPARATION: Millis = 50;
/**
 * Time after a reported crash within which bytes of other runs at the upstream
 * show that it is alive: later than what was in flight, earlier than a restart.
 */
const ALIVE_WINDOW: {readonly from: Millis; readonly to: Millis} = {
  from: 100,
  to: 1_000,
};
/** Age at which a report no longer counts, and its part is tried again. */
const REPORT_RETENTION: Millis = 24 * HOUR;
/** Maximum number of reports; the oldest without a quarantine go first. */
const MAX_REPORTS = 512;
/** Maximum number of parts with known answers; the least recent go first. */
const MAX_KNOWN_PARTS = 20_000;

/** Parts that crash upstreams; requests that contain all of them are refused. */
export interface Quarantine {
  readonly service: ServiceName;
  /** One part, or several that only ever came together. */
  readonly parts: readonly PromptPartId[];
  /** The crashes behind it, oldest first. */
  readonly reports: readonly CrashReport[];
}

/** Effect of new evidence. */
export interface EvidenceChange {
  /** Reports that are new or have more cleared suspects. */
  readonly reports: readonly CrashReport[];
  readonly added: readonly Quarantine[];
  readonly removed: readonly Quarantine[];
}

/**
 * Quarantine of prompt parts that crash upstreams, as a query of death does.
 * Entries exchange crash reports and merge them in any order; which parts are
 * quarantined follows from the reports alone. Answers clear suspects, so that a
 * part that merely accompanies a deadly one stays usable.
 */
export class PromptQuarantine {
  private readonly reports = new Map<string, CrashReport>();
  private quarantines: readonly Quarantine[] = [];
  /** Times at which this entry learnt of recent crashes, by upstream. */
  private readonly learntAt = new Map<Incarnation, Millis>();
  /** Parts with known answers, least recent first. */
  private readonly knownParts = new Set<string>();

  /** The present quarantines. */
  get current(): readonly Quarantine[] {
    return this.quarantines;
  }

  /** All reports, oldest first. */
  get allReports(): readonly CrashReport[] {
    return [...this.reports.values()];
  }

  /** Number of parts with known answers. */
  get knownPartCount(): number {
    return this.knownParts.size;
  }

  /**
   * Returns the quarantine that a request falls under, if any.
   * @param service - service of the request
   * @param parts - shared parts of its prompt
   */
  match(
    service: ServiceName,
    parts: readonly PromptPartId[],
  ): Quarantine | undefined {
    if (this.quarantines.length === 0) return undefined;
    return this.quarantines.find(
      quarantine =>
        quarantine.service === service &&
        quarantine.parts.every(part => parts.includes(part)),
    );
  }

  /**
   * Returns the parts on which no answer was seen.
   * @param service - service of the request
   * @param parts - shared parts of its prompt
   */
  newParts(
    service: ServiceName,
    parts: readonly PromptPartId[],
  ): readonly PromptPartId[] {
    return parts.filter(part => !this.knownParts.has(keyOf(service, part)));
  }

  /**
   * Creates the report of a crash, without adding it.
   * @param wallTime - wall-clock time of the crash, Unix ms
   * @param crash - the upstream, and the request that it had begun to answer
   * @param parts - shared parts of the request's prompt; at least one
   */
  report(
    wallTime: number,
    crash: Pick<CrashReport, 'service' | 'upstream' | 'request'>,
    parts: readonly PromptPartId[],
  ): CrashReport {
    const {service, upstream, request} = crash;
    const fresh = this.newParts(service, parts);
    const isKnown = fresh.length === 0;
    return {
      ...{service, upstream, request, isKnown},
      at: wallTime,
      suspects: isKnown ? parts : fresh,
      cleared: [],
    };
  }

  /**
   * Records an answer that went on, which clears its parts.
   * @param wallTime - current wall-clock time, Unix ms
   * @param service - service of the request
   * @param parts - shared parts of its prompt
   * @param ownPart - part that only repeats of the request share; it is not
   *   remembered, since the parts of all requests would displace shared ones
   */
  recordAnswer(
    wallTime: number,
    service: ServiceName,
    parts: readonly PromptPartId[],
    ownPart?: PromptPartId,
  ): EvidenceChange {
    for (const part of parts) this.addKnownPart(keyOf(service, part));
    if (this.reports.size === 0) return NO_CHANGE;
    const all = ownPart === undefined ? parts : [...parts, ownPart];
    return this.clear(wallTime, service, all);
  }

  /**
   * Clears parts from all reports, as an answer or an operator does.
   * @param wallTime - current wall-clock time, Unix ms
   * @param service - service of the parts
   * @param parts - the parts
   */
  clear(
    wallTime: number,
    service: ServiceName,
    parts: readonly PromptPartId[],
  ): EvidenceChange {
    const cleared = [...this.reports.values()]
      .filter(
        report =>
          report.service === service &&
          openSuspects(report).some(part => parts.includes(part)),
      )
      .map(report => ({
        ...report,
        cleared: report.suspects.filter(part => parts.includes(part)),
      }));
    return this.apply(wallTime, cleared);
  }

  /**
   * Returns whether a request is still suspected of having crashed an upstream.
   * @param upstream - the upstream
   * @param request - the request
   */
  isSuspected(upstream: Incarnation, request: RequestId): boolean {
    const report = this.reports.get(reportId(upstream, request));
    return report !== undefined && openSuspects(report).length > 0;
  }

  /**
   * Records bytes of a run, which dismiss a report that its upstream crashed.
   * @param wallTime - current wall-clock time, Unix ms
   * @param upstream - upstream of the run
   * @param sentAt - wall-clock time at which the run's request was sent
   */
  recordAlive(
    wallTime: number,
    upstream: Incarnation,
    sentAt: number,
  ): EvidenceChange {
    const learntAt = this.learntAt.get(upstream);
    if (learntAt === undefined) return NO_CHANGE;
    // A later run may be at a process that has already restarted.
    if (sentAt > learntAt - ALIVE_WINDOW.from) return NO_CHANGE;
    const elapsed = wallTime - learntAt;
    if (elapsed < ALIVE_WINDOW.from) return NO_CHANGE;
    this.learntAt.delete(upstream);
    if (elapsed > ALIVE_WINDOW.to) return NO_CHANGE;
    const dismissed = [...this.reports.values()]
      .filter(report => report.upstream === upstream)
      .map(report => ({...report, cleared: report.suspects}));
    return this.apply(wallTime, dismissed);
  }

  /**
   * Merges reports of this entry, of other entries or of the store.
   * @param wallTime - current wall-clock time, Unix ms
   * @param reports - the reports
   */
  merge(wallTime: number, reports: readonly CrashReport[]): EvidenceChange {
    const recent = reports.filter(({at}) => wallTime - at < REPORT_RETENTION);
    return this.apply(
      wallTime,
      recent.map(report => this.withKnownCleared(report)),
    );
  }

  /**
   * Returns this entry's reports that bear on others: with a suspect in common.
   * @param reports - the others
   */
  related(reports: readonly CrashReport[]): readonly CrashReport[] {
    const keys = new Set(
      reports.flatMap(({service, suspects}) =>
        suspects.map(part => keyOf(service, part)),
      ),
    );
    return this.allReports.filter(({service, suspects}) =>
      suspects.some(part => keys.has(keyOf(service, part))),
    );
  }

  /**
   * Returns this entry's versions of reports; unknown ones as they are.
   * @param reports - the reports
   */
  versionsOf(reports: readonly CrashReport[]): readonly CrashReport[] {
    return reports.map(report => {
      const id = reportId(report.upstream, report.request);
      return this.reports.get(id) ?? report;
    });
  }

  /**
   * Removes the reports past their retention.
   * @param wallTime - current wall-clock time, Unix ms
   */
  expire(wallTime: number): EvidenceChange {
    for (const [id, {at}] of this.reports) {
      if (wallTime - at >= REPORT_RETENTION) this.reports.delete(id);
    }
    for (const [upstream, learntAt] of this.learntAt) {
      if (wallTime - learntAt > ALIVE_WINDOW.to) this.learntAt.delete(upstream);
    }
    return this.derive([]);
  }

  /** Clears the suspects of which this entry knows answers. */
  private withKnownCleared(report: CrashReport): CrashReport {
    const {service, suspects, cleared, isKnown} = report;
    if (isKnown) return report;
    const known = suspects.filter(part =>
      this.knownParts.has(keyOf(service, part)),
    );
    return {...report, cleared: [...cleared, ...known]};
  }

  private apply(
    wallTime: number,
    reports: readonly CrashReport[],
  ): EvidenceChange {
    const changed: CrashReport[] = [];
    for (const report of reports) {
      const id = reportId(report.upstream, report.request);
      const before = this.reports.get(id);
      const {suspects, cleared} = before ?? report;
      const all = new Set([...cleared, ...report.cleared]);
      const merged = {
        ...(before ?? report),
        cleared: suspects.filter(part => all.has(part)),
      };
      if (before?.cleared.length === merged.cleared.length) continue;
      this.reports.set(id, merged);
      if (before === undefined) this.learntAt.set(report.upstream, wallTime);
      changed.push(merged);
    }
    if (changed.length === 0) return NO_CHANGE;
    this.dropOverflow();
    return this.derive(changed);
  }

  private dropOverflow(): void {
    const kept = new Set(this.quarantines.flatMap(({reports}) => reports));
    for (const [id, report] of this.reports) {
      if (this.reports.size <= MAX_REPORTS) return;
      if (!kept.has(report)) this.reports.delete(id);
    }
  }

  private derive(reports: readonly CrashReport[]): EvidenceChange {
    const before = this.quarantines;
    const byParts = new Map<string, Quarantine>();
    for (const group of this.reportsByPart().values()) {
      if (!isConclusive(group)) continue;
      const parts = commonSuspects(group);
      const {service} = group[0]!;
      byParts.set(keyOf(service, ...parts), {service, parts, reports: group});
    }
    this.quarantines = [...byParts.values()];
    const ids = (list: readonly Quarantine[]) =>
      new Set(list.map(({service, parts}) => keyOf(service, ...parts)));
    const [old, present] = [ids(before), ids(this.quarantines)];
    const isIn = (set: Set<string>) => (one: Quarantine) =>
      set.has(keyOf(one.service, ...one.parts));
    return {
      reports,
      added: this.quarantines.filter(one => !isIn(old)(one)),
      removed: before.filter(one => !isIn(present)(one)),
    };
  }

  /** Returns the reports that count against each part, oldest first. */
  private reportsByPart(): Map<string, CrashReport[]> {
    const byPart = new Map<string, CrashReport[]>();
    const sorted = [...this.reports.values()].sort((a, b) => a.at - b.at);
    for (const report of sorted) {
      for (const part of openSuspects(report)) {
        const key = keyOf(report.service, part);
        byPart.set(key, [...(byPart.get(key) ?? []), report]);
      }
    }
    return byPart;
  }

  private addKnownPart(key: string): void {
    this.knownParts.delete(key);
    this.knownParts.add(key);
    if (this.knownParts.size <= MAX_KNOWN_PARTS) return;
    const [oldest = ''] = this.knownParts;
    this.knownParts.delete(oldest);
  }
}

const NO_CHANGE: EvidenceChange = {reports: [], added: [], removed: []};

function keyOf(service: ServiceName, ...parts: PromptPartId[]): string {
  return [service, ...parts].join(' ');
}

const openSuspects = ({suspects, cleared}: CrashReport) =>
  suspects.filter(part => !cleared.includes(part));

/** Returns whether separate crashes suffice to quarantine their common part. */
function isConclusive(reports: readonly CrashReport[]): boolean {
  const upstreams = new Set<Incarnation>();
  let lastAt = -Infinity;
  let evidence = 0;
  for (const report of reports) {
    const {upstream, at} = report;
    // Its upstreams were found dead, so a network fault is no explanation.
    const isSeparate =
      isOfRequest(report) || at - lastAt >= MIN_CRASH_SEPARATION;
    if (upstreams.has(upstream) || !isSeparate) continue;
    upstreams.add(upstream);
    lastAt = at;
    evidence += 1 / crashesToConvict(report);
  }
  return evidence >= 1;
}

function crashesToConvict(report: CrashReport): number {
  if (isOfRequest(report)) return CRASHES_OF_REQUEST;
  return report.isKnown ? CRASHES_OF_KNOWN_PART : CRASHES_OF_NEW_PART;
}

const isOfRequest = ({suspects}: CrashReport) =>
  suspects.some(isRequestFingerprint);

/** Returns the suspects that no report tells apart. */
function commonSuspects(reports: readonly CrashReport[]): PromptPartId[] {
  const [first, ...others] = reports.map(openSuspects);
  return (first ?? []).filter(part =>
    others.every(suspects => suspects.includes(part)),
  );
}
