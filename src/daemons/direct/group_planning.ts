import type {Clock, Millis} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {
  expertLists,
  selectSampledRanks,
  engineDefaultMap,
} from '../../expert_groups/index.js';
import type {
  CutoverCoordinator,
  ExpertLists,
  RankPlacement,
  RankReport,
} from '../../expert_groups/index.js';
import type {Logger} from '../../observability/index.js';
import {MapPlanner, SLOW_THRESHOLD} from './map_planner.js';
import type {NumberedMap} from './prepare_encoder.js';

/** Plans and proposes the maps of a group once its expert layout is known. */
export class GroupPlanning {
  private profile: ExpertProfile | undefined;
  private planner: MapPlanner | undefined;
  /** The last map that was logged as unknown. */
  private loggedUnknownMap: number | undefined;

  /**
   * @param clock - measures the duration of planning
   * @param logger - for proposed plans
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Sets the expert layout.
   * @param profile - the layout
   */
  configure(profile: ExpertProfile): void {
    this.profile = profile;
    this.planner = undefined;
  }

  /**
   * Discards earlier planning, when this sidecar becomes the coordinator.
   * @param ranks - number of ranks in the group
   */
  reset(ranks: number): void {
    this.planner = undefined;
    this.getPlanner(ranks);
  }

  /** Time to copy one expert to a rank; 0 while unknown. */
  get copyTime(): Millis {
    return this.profile?.copyTime ?? 0;
  }

  /**
   * Returns the default map of the group.
   * @param ranks - number of ranks in the group
   * @returns undefined before the layout is known
   */
  initialMap(ranks: number): NumberedMap | undefined {
    if (this.profile === undefined) return undefined;
    const {layerSets, expertsPerSet, slotsPerRank} = this.profile;
    const start = engineDefaultMap({
      ranks,
      layers: layerSets,
      experts: expertsPerSet,
      slotsPerRank,
      expertSize: 0,
    });
    return {map: start.version, experts: expertLists(start)};
  }

  /**
   * Records expert selections.
   * @param now - current time
   * @param chosen - counts by set and expert
   * @param unit - selections per count
   */
  recordSelections(now: Millis, chosen: readonly number[], unit: number): void {
    this.planner?.recordSelections(now, chosen, unit);
  }

  /**
   * Records the experts that a rank holds.
   * @param rank - the rank
   * @param placement - its experts, with the number of the map
   */
  recordPlacement(rank: number, placement: RankPlacement): void {
    this.planner?.recordPlacement(rank, placement);
  }

  /**
   * Returns whether the placement of a rank on a map is unknown.
   * @param rank - the rank
   * @param map - the map
   */
  lacksPlacement(rank: number, map: number): boolean {
    return this.planner?.lacksPlacement(rank, map) ?? false;
  }

  /**
   * Returns the experts of a map in use.
   * @param map - number of the map
   * @returns undefined while they are unknown
   */
  expertsOf(map: number): ExpertLists | undefined {
    return this.planner?.expertsOf(map);
  }

  /**
   * Returns the ranks whose placement on the current map is unknown.
   * @param own - report of the local rank
   */
  unplacedRanks({size, map}: RankReport): number[] {
    return ranksOf(size).filter(rank => this.lacksPlacement(rank, map));
  }

  /**
   * Returns the other ranks whose expert selections are sampled.
   * @param own - report of the local rank, whose selections are always sampled
   * @param unresponsive - ranks whose sidecars are unresponsive
   */
  sampledRanks(
    {size, rank: local}: RankReport,
    unresponsive: readonly number[],
  ): number[] {
    if (this.profile === undefined) return [];
    const present = ranksOf(size).filter(
      rank => rank !== local && !unresponsive.includes(rank),
    );
    const {layerSets, expertsPerSet} = this.profile;
    return selectSampledRanks(present, layerSets * expertsPerSet);
  }

  /**
   * Proposes a map switch if one is worthwhile.
   * @param now - current time
   * @param coordinator - coordinator of the group, ready for a map switch
   * @param own - report of the local rank
   */
  propose(now: Millis, coordinator: CutoverCoordinator, own: RankReport): void {
    const planner = this.getPlanner(own.size);
    if (planner === undefined) return;
    const unplaced = this.unplacedRanks(own);
    if (unplaced.length > 0) {
      this.logUnknownMap(own, unplaced);
      return;
    }
    const slowdowns = ranksOf(own.size).map(
      rank => coordinator.reportOf(rank)?.pace ?? 1,
    );
    const plan = planner.plan(now, own.map, slowdowns);
    if (plan === undefined) return;
    this.logger.info('map_planned', {
      moves: plan.moves.length,
      skew_before: plan.skewBefore.toFixed(3),
      skew_after: plan.skewAfter.toFixed(3),
      megabytes: Math.round(plan.bytes / 2 ** 20),
      copy_ms: Math.round(plan.copyTime),
      slow: formatSlowRanks(slowdowns),
      took_ms: Math.round(this.clock.now() - now),
    });
    const proposed = coordinator.propose(now, plan.map);
    if (proposed !== undefined) planner.recordProposal(proposed, own.map);
  }

  /** Logs once per map that unknown placements prevent planning. */
  private logUnknownMap(
    {group, map}: RankReport,
    ranks: readonly number[],
  ): void {
    if (this.loggedUnknownMap === map) return;
    this.loggedUnknownMap = map;
    this.logger.info('map_unknown', {group, map, ranks: ranks.join(' ')});
  }

  private getPlanner(ranks: number): MapPlanner | undefined {
    if (this.planner !== undefined || this.profile === undefined) {
      return this.planner;
    }
    this.planner = new MapPlanner(this.profile, ranks);
    this.planner.warmUp();
    return this.planner;
  }
}

const ranksOf = (size: number): number[] =>
  Array.from({length: size}, (_, rank) => rank);

function formatSlowRanks(slowdowns: readonly number[]): string | undefined {
  const slow = [...slowdowns.entries()].filter(
    ([, slowdown]) => slowdown >= SLOW_THRESHOLD,
  );
  if (slow.length === 0) return undefined;
  return slow
    .map(([rank, slowdown]) => `${rank}:${slowdown.toFixed(1)}`)
    .join(' ');
}
