import {DEFAULT_COLD_RATE_BOUND} from '../../../cold_start/index.js';
import type {
  ColdCause,
  ColdStartBound,
  SharePhase,
} from '../../../cold_start/index.js';
import type {
  AvailabilityZone,
  Clock,
  Incarnation,
  Millis,
} from '../../../core/index.js';
import type {
  ConfigurationHolder,
  KnownEntries,
  ServiceProfile,
  Upstream,
  UpstreamId,
  UpstreamTable,
} from '../../../direct/index.js';
import type {Logger} from '../../../observability/index.js';
import type {DaemonParts} from '../../shared/start_context.js';
import type {EntryNames} from '../entry_directory.js';
import type {DirectSettings} from '../estate.js';
import type {ColdRequestCounts, ColdRequestLog} from './cold_request_log.js';

/** What a keeper reads, anew each time. */
export interface ColdStartSource {
  readonly settings: Pick<DirectSettings, 'vm' | 'coldRateBound'>;
  readonly estate: {
    readonly holder: Pick<ConfigurationHolder, 'current'>;
    readonly upstreams: Pick<UpstreamTable, 'all'>;
    readonly knownEntries: Pick<KnownEntries, 'readAt'> & EntryNames;
  };
}

/** The bound, and the log of the requests that it concerns. */
interface ColdStartDecisions {
  readonly coldStart: ColdStartBound;
  readonly coldRequests: ColdRequestLog;
}

const NO_SERVICES: readonly ServiceProfile[] = [];

interface KnownCold {
  readonly id: UpstreamId;
  readonly cause: ColdCause;
  readonly since: Millis;
  readonly until: Millis;
}

/**
 * Feeds the bound on requests to cold upstreams with what the entry knows, and
 * shows its state in logs, metrics and `/status`.
 */
export class ColdStartKeeper {
  private readonly cold = new Map<Incarnation, KnownCold>();
  private readonly changes;
  private readonly gauge;
  private readonly requestCounter;
  private readonly counted: ColdRequestCounts = {
    sent: 0,
    waits: 0,
    rejected: 0,
  };
  private readonly bound: ColdStartBound;
  private readonly requests: ColdRequestLog;
  private readonly clock: Clock;
  private readonly logger: Logger;
  private phase: SharePhase | undefined;

  /**
   * @param source - returns settings, configuration, upstreams and entries
   * @param decisions - the bound, and the log of its requests
   * @param parts - clock, logger and metrics
   */
  constructor(
    private readonly source: () => ColdStartSource,
    {coldStart, coldRequests}: ColdStartDecisions,
    {clock, logger, metrics}: Pick<DaemonParts, 'clock' | 'logger' | 'metrics'>,
  ) {
    this.bound = coldStart;
    this.requests = coldRequests;
    this.clock = clock;
    this.logger = logger;
    this.changes = metrics.counter(
      'baobabspan_cold_upstream_changes_total',
      'Upstreams that became cold or warm in the view of this entry',
      ['change', 'cause'],
    );
    this.gauge = metrics.gauge(
      'baobabspan_cold_upstreams',
      'Upstreams that are cold in the view of this entry',
    );
    this.requestCounter = metrics.counter(
      'baobabspan_cold_requests_total',
      'Requests that were sent to a cold upstream, or kept from all of them',
      ['result'],
    );
  }

  /**
   * Records that an evacuated zone was taken back.
   * @param now - current time
   * @param zone - the zone
   */
  onZoneReturned(now: Millis, zone: AvailabilityZone): void {
    this.bound.onZoneReturned(now, zone);
    this.logger.info('cold_zone', {zone});
    this.tick();
  }

  /** Applies what the entry knows, and records changes; called by a timer. */
  tick(): void {
    const {bound, clock} = this;
    const now = clock.now();
    const {settings, estate} = this.source();
    const {names, readAt, storedAt} = estate.knownEntries;
    const {vm: self, coldRateBound} = settings;
    const services =
      estate.holder.current?.configuration.services ?? NO_SERVICES;
    bound.configure(services, coldRateBound ?? DEFAULT_COLD_RATE_BOUND);
    bound.update(now, clock.wall(), {self, names, readAt, storedAt});
    this.recordPhase();
    const upstreams = bound.isEnabled ? estate.upstreams.all() : [];
    const active = new Set(upstreams.map(({incarnation}) => incarnation));
    bound.prune(incarnation => active.has(incarnation));
    for (const upstream of upstreams) this.compare(now, upstream);
    for (const [incarnation, known] of this.cold) {
      if (!active.has(incarnation)) this.recordEnd(now, incarnation, known);
    }
    this.gauge.set(this.cold.size);
    this.countRequests();
  }

  /**
   * Returns the fields of `/status`.
   * @param now - current time
   */
  status(now: Millis): object {
    const {bound, requests} = this;
    if (!bound.isEnabled) return {};
    const upstreams = [...this.cold.values()].map(
      ({id, cause, since, until}) => ({
        ...{id, cause},
        sinceMs: Math.round(now - since),
        leftMs: Math.max(0, Math.round(until - now)),
      }),
    );
    const {phase, entryCount: entries} = bound;
    return {coldStart: {phase, entries, ...requests.counts, upstreams}};
  }

  private compare(now: Millis, upstream: Upstream): void {
    const {incarnation, registration} = upstream;
    const {id, service} = registration;
    const known = this.cold.get(incarnation);
    const phase = this.bound.observe(now, upstream);
    if (phase === undefined) {
      if (known !== undefined) this.recordEnd(now, incarnation, known);
      return;
    }
    const {cause, until} = phase;
    this.cold.set(incarnation, {id, cause, until, since: known?.since ?? now});
    if (known !== undefined) return;
    this.changes.inc({change: 'cold', cause});
    this.logger.info('upstream_cold', {
      ...{upstream: id, service, change: 'cold', cause},
      left_ms: Math.round(until - now),
    });
  }

  private recordEnd(
    now: Millis,
    incarnation: Incarnation,
    {id, cause, since}: KnownCold,
  ): void {
    this.cold.delete(incarnation);
    this.changes.inc({change: 'warm', cause});
    this.logger.info('upstream_cold', {
      ...{upstream: id, change: 'warm', cause},
      cold_ms: Math.round(now - since),
    });
  }

  private recordPhase(): void {
    const {phase, entryCount: entries, isEnabled} = this.bound;
    if (!isEnabled || phase === this.phase) return;
    this.logger.info('cold_share', {
      ...{phase, phase_before: this.phase, entries},
    });
    this.phase = phase;
  }

  private countRequests(): void {
    const {counts} = this.requests;
    for (const result of ['sent', 'waits', 'rejected'] as const) {
      const added = counts[result] - this.counted[result];
      if (added > 0) this.requestCounter.inc({result}, added);
      this.counted[result] = counts[result];
    }
  }
}
