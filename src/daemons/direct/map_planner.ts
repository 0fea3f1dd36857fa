import type {Millis} from '../../core/index.js';
import {SECOND} from '../../core/index.js';
import {
  PopularityEstimator,
  StagedPlanner,
  mapFromLists,
  skewOf,
  engineDefaultMap,
} from '../../expert_groups/index.js';
import type {
  ExpertMap,
  GroupShape,
  RankPlacement,
  StagePlan,
} from '../../expert_groups/index.js';
import type {ExpertProfile} from '../../direct/index.js';

const MEGABYTE = 2 ** 20;
/** Choices that a plan has to rest on: some passes of a busy group. */
const MIN_SELECTIONS = 20_000;
/** The same where a rank is slow: any order of popularity will do. */
const MIN_SELECTIONS_SLOW_RANK = 2_000;
/** A rank whose work takes this many times as long as usual is slow. */
export const SLOW_THRESHOLD = 1.3;
/** A change has to take off this much skew, or it is not worth its pauses. */
const MIN_SKEW_GAIN = 0.06;
/** From a plan to the first pass on its map, besides the copies. */
const SWITCH_DURATION: Millis = 0.4 * SECOND;
/** A plan is judged by what it brings until the next one takes effect. */
const HORIZON: Millis = 1.2 * SECOND;
/** Demand drifts slowly too: a plan is tried this often without a shift. */
const REPLAN_INTERVAL: Millis = SECOND;
/** Skew that a shift of what is in demand brings, over a map for it. */
const SHIFT_SKEW = 1.2;

/** Plans the maps of one group from what its ranks count. */
export class MapPlanner {
  private readonly popularity: PopularityEstimator;
  private readonly placements = new Map<number, RankPlacement>();
  private readonly planner: StagedPlanner;
  private readonly copyTime: Millis;
  /** Skew that the last plan left behind, and when that was found. */
  private lastPlan: {readonly skew: number; readonly at: Millis} | undefined;
  private lastFrameCount = -1;
  /** Maps that were proposed, the newest last. */
  private proposedMaps: readonly ExpertMap[] = [];
  private readonly shape: GroupShape;

  /**
   * @param profile - experts of the service
   * @param ranks - ranks of the group
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
   * Takes choices of experts.
   * @param now - present time
   * @param chosen - by set and expert
   * @param unit - choices that one count stands for
   */
  recordSelections(now: Millis, chosen: readonly number[], unit = 1): void {
    if (chosen.length > 0) this.popularity.add(now, chosen, unit);
  }

  /**
   * Takes what a rank holds.
   * @param rank - the rank
   * @param placement - its experts on a map
   */
  recordPlacement(rank: number, placement: RankPlacement): void {
    this.placements.set(rank, placement);
  }

  /**
   * Takes a map that is about to be in use, so that no rank has to tell its
   * part of it. The one before is kept: a change that is given up leaves the
   * ranks on it.
   * @param map - the map under its number
   * @param currentVersion - number of the map that the ranks are on
   */
  recordProposal(map: ExpertMap, currentVersion: number): void {
    const before = this.proposedMaps.filter(
      ({version}) => version === currentVersion,
    );
    this.proposedMaps = [...before, map];
  }

  /**
   * Whether the placement of a rank on a map is not known yet.
   * @param rank - the rank
   * @param map - the map that it is on
   */
  lacksPlacement(rank: number, map: number): boolean {
    if (map === 0 || this.proposedMap(map) !== undefined) return false;
    return this.placements.get(rank)?.map !== map;
  }

  /**
   * Plans once for made-up demand and forgets it: the first plan after a start
   * takes several times as long as the following ones.
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
   * Plans a change.
   * @param now - present time
   * @param map - number of the map that all ranks are on
   * @param slowdowns - how long the work of each rank takes, 1 being usual
   * @returns nothing when too little is known, or no change is worth it
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
   * Whether a plan is worth a change of map.
   * @param now - present time
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

  /** Planning takes time itself: only on fresh frames that are worse. */
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
    const stablePeriod = this.popularity.stablePeriod(now);
    return Math.max(
      MIN_SKEW_GAIN,
      minSkewGain(stablePeriod, SWITCH_DURATION + copyTime),
    );
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
 * Skew that a change has to take off while what is in demand shifts. A shift
 * that comes during a change waits for its end: half a change on average, in
 * the part of all intervals that a change takes. The gain lasts for half an
 * interval on average. Load that it answers: shifts that come as fast as maps
 * can follow, where polishing the last map delays the next.
 * @param stablePeriod - time between two shifts
 * @param switchDuration - time from a plan to the first pass on its map
 */
export function minSkewGain(
  stablePeriod: Millis,
  switchDuration: Millis,
): number {
  return SHIFT_SKEW * (switchDuration / stablePeriod) ** 2;
}
