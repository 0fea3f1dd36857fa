import type {Clock, Millis} from '../../core/index.js';
import type {ExpertProfile} from '../../direct/index.js';
import {
  expertLists,
  selectSampledRanks,
  engineDefaultMap,
} from '../../expert_groups/index.js';
import type {
  CutoverCoordinator,
  RankPlacement,
  RankReport,
} from '../../expert_groups/index.js';
import type {Logger} from '../../observability/index.js';
import {MapPlanner, SLOW_THRESHOLD} from './map_planner.js';
import type {NumberedMap} from './prepare_encoder.js';

/** The planning of a group's maps, as far as its layout is known. */
export class GroupPlanning {
  private profile: ExpertProfile | undefined;
  private planner: MapPlanner | undefined;
  /** The newest map that was logged as unknown. */
  private loggedUnknownMap: number | undefined;

  /**
   * @param clock - tells how long planning takes
   * @param logger - for each plan that is proposed
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * The layout of the experts is known from now on.
   * @param profile - the layout
   */
  configure(profile: ExpertProfile): void {
    this.profile = profile;
    this.planner = undefined;
  }

  /**
   * The sidecar beside coordinates its group from now on.
   * @param ranks - ranks of the group
   */
  reset(ranks: number): void {
    this.planner = undefined;
    this.getPlanner(ranks);
  }

  /** Time that a rank takes to copy an expert; 0 when not known. */
  get copyTime(): Millis {
    return this.profile?.copyTime ?? 0;
  }

  /**
   * The map that the group starts with.
   * @param ranks - ranks of the group
   * @returns nothing before the layout is known
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
   * Takes choices of experts.
   * @param now - present time
   * @param chosen - by set and expert
   * @param unit - choices that one count stands for
   */
  recordSelections(now: Millis, chosen: readonly number[], unit: number): void {
    this.planner?.recordSelections(now, chosen, unit);
  }

  /**
   * Takes what a rank holds.
   * @param rank - the rank
   * @param placement - its experts on a map
   */
  recordPlacement(rank: number, placement: RankPlacement): void {
    this.planner?.recordPlacement(rank, placement);
  }

  /**
   * Whether the experts of a rank on a map are not known.
   * @param rank - the rank
   * @param map - the map
   */
  lacksPlacement(rank: number, map: number): boolean {
    return this.planner?.lacksPlacement(rank, map) ?? false;
  }

  /**
   * Ranks whose experts on the present map are not known.
   * @param own - report of the rank beside
   */
  unplacedRanks({size, map}: RankReport): number[] {
    return ranksOf(size).filter(rank => this.lacksPlacement(rank, map));
  }

  /**
   * Ranks whose choices are wanted.
   * @param own - report of the rank beside, whose choices are read anyway
   * @param unresponsive - ranks whose sidecars are silent
   */
  sampledRanks(
    {size, rank: beside}: RankReport,
    unresponsive: readonly number[],
  ): number[] {
    if (this.profile === undefined) return [];
    const present = ranksOf(size).filter(
      rank => rank !== beside && !unresponsive.includes(rank),
    );
    const {layerSets, expertsPerSet} = this.profile;
    return selectSampledRanks(present, layerSets * expertsPerSet);
  }

  /**
   * Starts a change of map if one is worth it.
   * @param now - present time
   * @param coordinator - coordinator of the group, ready for a change
   * @param own - report of the rank beside
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

  /** Without the experts of all ranks no change can be planned. */
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
