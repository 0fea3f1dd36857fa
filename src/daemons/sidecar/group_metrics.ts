import type {
  MapSwitchResult,
  Plan,
  RankAnswer,
  RankMember,
} from '../../expert_groups/index.js';
import type {Metrics} from '../../observability/index.js';

/** Counters and gauges of an expert group. */
export class GroupMetrics {
  private readonly changes;
  private readonly refusals;
  private readonly plans;
  private readonly bytes;
  private readonly retries;
  private readonly skew;
  private readonly map;

  /** @param metrics - metrics of the process */
  constructor(metrics: Metrics) {
    this.changes = metrics.counter(
      'baobabspan_map_changes_total',
      'Changes of the expert map, by how they ended and why',
      ['outcome', 'reason'],
    );
    this.refusals = metrics.counter(
      'baobabspan_group_refusals_total',
      'Orders of the coordinator that ranks refused, by reason',
      ['reason'],
    );
    this.plans = metrics.counter(
      'baobabspan_group_plans_total',
      'Plans of the coordinator, by why it moved or did not',
      ['reason'],
    );
    this.bytes = metrics.counter(
      'baobabspan_group_loaded_bytes_total',
      'Bytes of expert weights that this rank loaded',
    );
    this.retries = metrics.counter(
      'baobabspan_group_load_retries_total',
      'Pieces of weights that were asked for again',
    );
    this.skew = metrics.gauge(
      'baobabspan_group_skew',
      'Step-time skew of the group by its loads',
    );
    this.map = metrics.gauge(
      'baobabspan_group_map',
      'Number of the expert map of this rank; -1 without one',
    );
  }

  /** Counts the result of a map switch. */
  recordSwitch({outcome, reason}: MapSwitchResult): void {
    this.changes.inc({outcome, reason: reason || 'none'});
  }

  /** Counts the orders that ranks rejected. */
  recordAnswer(answer: RankAnswer): void {
    if (answer.type === 'group_stale')
      this.refusals.inc({reason: 'stale_term'});
    if (answer.type === 'group_unable') {
      this.refusals.inc({reason: answer.reason});
    }
  }

  /** Counts a plan and records its skew. */
  recordPlan({reason, skewBefore}: Plan): void {
    this.plans.inc({reason});
    this.skew.set(skewBefore);
  }

  /** Adds loaded bytes of expert weights. */
  recordLoadedBytes(bytes: number): void {
    this.bytes.inc(bytes);
  }

  /** Counts a retry of loading weights. */
  recordRetry(): void {
    this.retries.inc();
  }

  /** Records the map version of this rank. */
  recordMapVersion({map}: RankMember): void {
    this.map.set(map ?? -1);
  }
}
