import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {
  PopularityEstimator,
  StagedPlanner,
  expertLists,
  mapFromLists,
  skewOf,
  engineDefaultMap,
} from '../../expert_groups/index.js';
import type {
  ExpertLists,
  ExpertMap,
  GroupShape,
  RankPlacement,
  StagePlan,
} from '../../expert_groups/index.js';
import type {ExpertProfile} from '../../direct/index.js';

const MEGABYTE = 2 ** 20;
/** Minimum expert selections for a plan: a few passes of a busy group. */
const MIN_SELECTIONS = 20_000;
/** The same with a slow rank, where a rough popularity ranking suffices. */
const MIN_SELECTIONS_SLOW_RANK = 2_000;
/** Slowdown factor from which a rank counts as slow. */
export const SLOW_THRESHOLD = 1.3;
/** A switch that reduces skew by less is not worth its pauses. */
const MIN_SKEW_GAIN = 0.06;
/** A switch that reduces skew by more is worth it at any time. */
const MAX_MIN_SKEW_GAIN = 0.6;
/** Time from a plan to the first pass on its map, without the copies. */
const SWITCH_DURATION: Millis = 0.4 * SECOND;
/** A plan is rated by its gain until the next one takes effect. */
const HORIZON: Millis = 1.2 * SECOND;
/** Interval of planning without a shift, as demand also drifts slowly. */
const REPLAN_INTERVAL: Millis = SECOND;
/**
 * Skew that a demand shift adds, compared with a map for the new demand, and
 * half as much again for the backlog that it leaves.
 */
const SHIFT_SKEW = 3.6;

/** Plans the expert maps of one group from its ranks' expert selections. */
export class MapPlanner {
  private readonly popularity: PopularityEstimator;
  private readonly placements = new Map<number, RankPlacement>();
  private readonly planner: StagedPlanner;
  private readonly copyTime: Millis;
  /** Skew after the last plan, and the time of that plan. */
  private lastPlan: {readonly skew: number; readonly at: Millis} | undefined;
  private lastFrameCount = -1;
  /** Proposed maps that may be in use, the newest last. */
  private proposedMaps: readonly ExpertMap[] = [];
  private readonly shape: GroupShape;

  /**
   * @param profile - expert layout of the service
   * @param ranks - number of ranks in the group
   */
  constructor(profile: ExpertProfile, ranks: number) {
    const {layerSets, expertsPerSet, slotsPerRank} = profile;
    this.shape = {
      ranks,
      layers: layerSets,
      experts: expertsPerSet,
      slotsPerRank,
      expertSize: profile.expertMegabytes * MEGABYTE,
    };
    this.popularity = new PopularityEstimator(layerSets, expertsPerSet);
    this.copyTime = profile.copyTime;
    this.planner = new StagedPlanner({
      copyTime: profile.copyTime,
      maxNewPerLayer: profile.newPerChange,
      horizon: HORIZON,
    });
  }

  /**
   * Records expert selections.
   * @param now - current time
   * @param chosen - counts by set and expert
   * @param unit - selections per count
   */
  recordSelections(now: Millis, chosen: readonly number[], unit = 1): void {
    if (chosen.length > 0) this.popularity.add(now, chosen, unit);
  }

  /**
   * Records the experts that a rank holds.
   * @param rank - the rank
   * @param placement - its experts, with the number of the map
   */
  recordPlacement(rank: number, placement: RankPlacement): void {
    this.placements.set(rank, placement);
  }

  /**
   * Records a proposed map, so that no rank has to report its placement on it.
   * The map in use is retained, as an aborted switch leaves the ranks on it.
   * @param map - the map, with its number
   * @param currentVersion - number of the map in use
   */
  recordProposal(map: ExpertMap, currentVersion: number): void {
    const before = this.proposedMaps.filter(
      ({version}) => version === currentVersion,
    );
    this.proposedMaps = [...before, map];
  }

  /**
   * Returns whether the placement of a rank on a map is still unknown.
   * @param rank - the rank
   * @param map - number of the map
   */
  lacksPlacement(rank: number, map: number): boolean {
    if (map === 0 || this.proposedMap(map) !== undefined) return false;
    return this.placements.get(rank)?.map !== map;
  }

  /**
   * Returns the experts of a map in use.
   * @param map - number of the map
   * @returns undefined while the placement of a rank on it is unknown
   */
  expertsOf(map: number): ExpertLists | undefined {
    const current = this.currentMap(map);
    return current && expertLists(current);
  }

  /**
   * Runs the planner once on synthetic demand and discards the plan, as the
   * first plan after a start takes several times as long as later ones.
   */
  warmUp(): void {
    const {shape} = this;
    const loads = Array.from({length: shape.layers}, () =>
      Float64Array.from({length: shape.experts}, (_, i) => 1 / (i + 1)),
    );
    const costs = Array.from({length: shape.ranks}, () => 1);
    this.planner.plan({
      shape,
      map: engineDefaultMap(shape),
      loads,
      slowdowns: costs,
    });
  }

  /**
   * Plans a map switch.
   * @param now - current time
   * @param map - number of the map in use by all ranks
   * @param slowdowns - slowdown factor of each rank, 1 being normal
   * @returns undefined if too little is known or no switch is worthwhile
   */
  plan(
    now: Millis,
    map: number,
    slowdowns: readonly number[],
  ): StagePlan | undefined {
    const costs = slowdowns.map(slowdown =>
      slowdown < SLOW_THRESHOLD ? 1 : slowdown,
    );
    const isSlow = costs.some(cost => cost > 1);
    const minSelections = isSlow ? MIN_SELECTIONS_SLOW_RANK : MIN_SELECTIONS;
    const {popularity, shape} = this;
    if (
      popularity.selectionCount < minSelections ||
      !popularity.isStable(now)
    ) {
      return undefined;
    }
    const current = this.currentMap(map);
    if (current === undefined) return undefined;
    const loads = popularity.loads();
    if (!this.isPlanDue(now, () => skewOf(current, loads, costs)))
      return undefined;
    const stage = this.planner.plan({
      shape,
      map: current,
      loads,
      slowdowns: costs,
    });
    const skew = stage?.skewAfter ?? skewOf(current, loads, costs);
    this.lastPlan = {skew, at: now};
    return stage !== undefined && this.isWorthwhile(now, stage)
      ? stage
      : undefined;
  }

  /**
   * Returns whether a plan is worth a map switch.
   * @param now - current time
   * @param stage - the plan
   */
  isWorthwhile(
    now: Millis,
    {
      skewBefore,
      skewAfter,
      copyTime,
    }: Pick<StagePlan, 'skewBefore' | 'skewAfter' | 'copyTime'>,
  ): boolean {
    return skewBefore - skewAfter >= this.minGain(now, copyTime);
  }

  /** Limits planning, which takes time, to new frames with more skew. */
  private isPlanDue(now: Millis, skew: () => number): boolean {
    const {lastPlan} = this;
    if (lastPlan === undefined || now - lastPlan.at >= REPLAN_INTERVAL)
      return true;
    const {frameCount} = this.popularity;
    if (frameCount === this.lastFrameCount) return false;
    this.lastFrameCount = frameCount;
    return skew() - lastPlan.skew >= this.minGain(now, this.copyTime);
  }

  private minGain(now: Millis, copyTime: Millis): number {
    const {popularity} = this;
    // Just before a shift, the time that is left counts, not the average.
    const stablePeriod = Math.min(
      popularity.stablePeriod(now),
      2 * popularity.timeUntilShift(now),
    );
    const gain = minSkewGain(stablePeriod, SWITCH_DURATION + copyTime);
    return Math.max(MIN_SKEW_GAIN, Math.min(MAX_MIN_SKEW_GAIN, gain));
  }

  private proposedMap(map: number): ExpertMap | undefined {
    return this.proposedMaps.find(({version}) => version === map);
  }

  private currentMap(map: number): ExpertMap | undefined {
    if (map === 0) return engineDefaultMap(this.shape);
    const adopted = this.proposedMap(map);
    if (adopted !== undefined) return adopted;
    const lists: (readonly (readonly number[])[])[] = [];
    for (let rank = 0; rank < this.shape.ranks; rank++) {
      const placement = this.placements.get(rank);
      if (placement?.map !== map) return undefined;
      lists.push(placement.experts);
    }
    return mapFromLists(map, this.shape, lists);
  }
}

/**
 * Returns the skew that a map switch must remove to be worthwhile while demand
 * shifts. A shift during a switch waits for its end: half a switch on average,
 * in the fraction of intervals that a switch takes. The gain lasts half an
 * interval on average. This is for demand that shifts as fast as maps can
 * follow, where refining the last map delays the next.
 * @param stablePeriod - time between two shifts
 * @param switchDuration - time from a plan to the first pass on its map
 */
export function minSkewGain(
  stablePeriod: Millis,
  switchDuration: Millis,
): number {
  return SHIFT_SKEW * (switchDuration / stablePeriod) ** 2;
}
