import type {Counter, Gauge} from 'prom-client';

import type {Millis} from '../../../core/index.js';
import {SECOND} from '../../../core/index.js';
import type {GroupKey} from '../../../direct/index.js';
import type {Logger, Metrics} from '../../../observability/index.js';
import type {StreamLimit} from '../../../pacing/index.js';

/** Change of a limit, as a ratio, that is logged. */
const LOGGED_RATIO = 1.2;
/** Minimum time between two logged changes of a limit. */
const LOG_INTERVAL: Millis = SECOND;

interface LoggedLimit {
  readonly at: Millis;
  /** Undefined if there was none. */
  readonly limit: number | undefined;
  readonly since: Millis;
}

/** Logs and measures the limits on the streams at groups. */
export class StreamLimitMonitor {
  private readonly logged = new Map<GroupKey, LoggedLimit>();
  private readonly gauge: Gauge | undefined;
  private readonly changes: Counter | undefined;

  /**
   * @param logger - logs changes
   * @param metrics - registers gauges and counters
   */
  constructor(
    private readonly logger: Logger,
    metrics: Metrics | undefined,
  ) {
    this.gauge = metrics?.gauge(
      'baobabspan_stream_limit',
      'Limit on the streams of this entry at a group; 0 without one',
      ['group'],
    );
    this.changes = metrics?.counter(
      'baobabspan_stream_limit_changes_total',
      'Limits on streams that began and ended',
      ['change'],
    );
  }

  /**
   * Logs the change of a limit since the last call, if there is one.
   * @param now - current time
   * @param group - the group
   * @param streams - its limit
   */
  observe(now: Millis, group: GroupKey, streams: StreamLimit): void {
    const limit = streams.value;
    const before = this.logged.get(group);
    if (before?.limit === undefined && limit === undefined) return;
    this.gauge?.set({group}, limit ?? 0);
    const fields = {group, ...streams.status};
    if (before?.limit === undefined) {
      this.logged.set(group, {at: now, limit, since: now});
      this.logger.info('streams_limited', fields);
      this.changes?.inc({change: 'began'});
    } else if (limit === undefined) {
      this.logged.delete(group);
      const afterMs = Math.round(now - before.since);
      this.logger.info('streams_unlimited', {...fields, after_ms: afterMs});
      this.changes?.inc({change: 'ended'});
    } else if (now - before.at >= LOG_INTERVAL) {
      const ratio = limit / before.limit;
      if (ratio < LOGGED_RATIO && ratio > 1 / LOGGED_RATIO) return;
      this.logged.set(group, {...before, at: now, limit});
      this.logger.info('stream_limit_changed', {
        ...fields,
        before: before.limit,
      });
    }
  }
}
