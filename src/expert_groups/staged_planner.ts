import type {Millis} from '../core/index.js';
import {CopyBudget} from './copy_budget.js';
import {countMovedSlots, skewOf} from './expert_map.js';
import type {GroupShape} from './expert_map.js';
import {LayerPlan} from './layer_plan.js';
import type {Move} from './layer_plan.js';
import {applyMoves} from './planner.js';
import type {ExpertMap} from './types.js';

/** Passes take this much longer while ranks copy weights. */
const COPY_SLOWDOWN = 0.15;
/**
 * Moves of one change: more of them take longer to plan and to tell all ranks
 * of a large group than they gain.
 */
const MAX_MOVES = 160;
/** A further copy for each rank that takes off less skew ends the search. */
const MIN_SKEW_GAIN = 0.01;
/** Allowances without such a gain after which the search ends. */
const MAX_IDLE_RAISES = 2;

/** How a staged change is weighed. */
export interface StagePolicy {
  /** Time that a rank takes to copy one expert. */
  readonly copyTime: Millis;
  /** Experts of a layer that one change may bring to a rank. */
  readonly maxNewPerLayer: number;
  /** From the start of this change until a following one takes effect. */
  readonly horizon: Millis;
}

/** What a change is planned from. */
export interface StageInput {
  readonly shape: GroupShape;
  readonly map: ExpertMap;
  /** For each layer the load of each expert. */
  readonly loads: readonly Float64Array[];
  /** How long each rank takes for a unit of load. */
  readonly slowdowns: readonly number[];
}

/** A change of map that is worth its copies. */
export interface StagePlan {
  readonly moves: readonly Move[];
  readonly map: ExpertMap;
  readonly skewBefore: number;
  readonly skewAfter: number;
  /** Time that the rank with the most copies needs for them. */
  readonly copyTime: Millis;
  /** Bytes that all ranks have to load. */
  readonly bytes: number;
}

interface Candidate {
  readonly moves: number;
  readonly skew: number;
  readonly copies: number;
}

/**
 * Plans the next stage of a change of map: as many copies for each rank as pay
 * for the time that copying takes, the hottest experts first. Load that it
 * answers: demand shifts every few seconds, and a change that waits for all
 * its copies takes effect when the next shift is due. What is left out here
 * is the next stage.
 */
export class StagedPlanner {
  /** @param policy - how it weighs copies against skew */
  constructor(private readonly policy: StagePolicy) {}

  /**
   * Plans the next stage.
   * @param input - what is known; the same input gives the same plan
   * @returns nothing when no change pays
   */
  plan(input: StageInput): StagePlan | undefined {
    const {shape, map, loads, slowdowns} = input;
    const budget = new CopyBudget(shape.ranks);
    const {maxNewPerLayer, copyTime} = this.policy;
    const layers = map.layers.map(
      (slots, layer) =>
        new LayerPlan(
          layer,
          slots,
          shape.slotsPerRank,
          loads[layer]!,
          {maxNewPerRank: maxNewPerLayer, budget},
          slowdowns,
        ),
    );
    const skewBefore = skewOf(map, loads, slowdowns);
    const moves: Move[] = [];
    let best: Candidate = {moves: 0, skew: skewBefore, copies: 0};
    let lastSkew = skewBefore;
    let idle = 0;
    const maxCopies = maxNewPerLayer * layers.length;
    while (budget.allowance < maxCopies && idle < MAX_IDLE_RAISES) {
      budget.raiseAllowance();
      improveLayers(layers, moves);
      const skew = skewAcross(layers);
      const found = {moves: moves.length, skew, copies: budget.maxCopies};
      if (this.cost(skewBefore, found) < this.cost(skewBefore, best)) {
        best = found;
      }
      idle = lastSkew - skew < MIN_SKEW_GAIN ? idle + 1 : 0;
      lastSkew = skew;
    }
    if (best.moves === 0) return undefined;
    const chosen = moves.slice(0, best.moves);
    const planned = applyMoves(map, chosen);
    return {
      moves: chosen,
      map: planned,
      skewBefore,
      skewAfter: skewOf(planned, loads, slowdowns),
      copyTime: best.copies * copyTime,
      bytes: countMovedSlots(map, planned) * shape.expertSize,
    };
  }

  /** Time lost to skew until a following change takes effect. */
  private cost(skewBefore: number, {skew, copies}: Candidate): number {
    const {copyTime, horizon} = this.policy;
    const copying = copies * copyTime;
    const during = skewBefore * (1 + COPY_SLOWDOWN) - 1;
    return copying * during + Math.max(0, horizon - copying) * (skew - 1);
  }
}

/** Moves in the layer that is furthest from even, until none gains. */
function improveLayers(layers: readonly LayerPlan[], moves: Move[]): void {
  const open = new Set(layers);
  while (open.size > 0 && moves.length < MAX_MOVES) {
    const worst = [...open].reduce((a, b) =>
      excessLoad(b) > excessLoad(a) ? b : a,
    );
    const move = worst.applyBestMove();
    if (move === undefined) open.delete(worst);
    else moves.push(move);
  }
}

const excessLoad = (layer: LayerPlan) => layer.maxLoad - layer.meanLoad;

function skewAcross(layers: readonly LayerPlan[]): number {
  const sum = (of: (layer: LayerPlan) => number) =>
    layers.reduce((total, layer) => total + of(layer), 0);
  return (
    sum(layer => layer.maxLoad) /
    Math.max(
      sum(l => l.meanLoad),
      1e-9,
    )
  );
}
