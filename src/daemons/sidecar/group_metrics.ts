import type {
  MapSwitchResult,
  Plan,
  RankAnswer,
  RankMember,
} from '../../expert_groups/index.js';
import type {Metrics} from '../../observability/index.js';

/** Counters and gauges of a group of ranks. */
export class GroupMetrics {
  private readonly changes;
  private readonly refusals;
  private readonly plans;
  private readonly bytes;
  private readonly retries;
  private readonly skew;
  private readonly map;

  /** @param metrics - those of the process */
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

  /** A change of map ended. */
  recordSwitch({outcome, reason}: MapSwitchResult): void {
    this.changes.inc({outcome, reason: reason || 'none'});
  }

  /** A rank answered. */
  recordAnswer(answer: RankAnswer): void {
    if (answer.type === 'group_stale')
      this.refusals.inc({reason: 'stale_term'});
    if (answer.type === 'group_unable') {
      this.refusals.inc({reason: answer.reason});
    }
  }

  /** A plan was made. */
  recordPlan({reason, skewBefore}: Plan): void {
    this.plans.inc({reason});
    this.skew.set(skewBefore);
  }

  /** Weights were loaded. */
  recordLoadedBytes(bytes: number): void {
    this.bytes.inc(bytes);
  }

  /** A piece of weights is asked for again. */
  recordRetry(): void {
    this.retries.inc();
  }

  /** The engine was read. */
  recordMapVersion({map}: RankMember): void {
    this.map.set(map ?? -1);
  }
}
