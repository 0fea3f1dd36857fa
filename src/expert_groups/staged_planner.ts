import type {Millis} from '../core/index.js';
import {CopyBudget} from './copy_budget.js';
import {countMovedSlots, skewOf} from './expert_map.js';
import type {GroupShape} from './expert_map.js';
import {LayerPlan} from './layer_plan.js';
import type {Move} from './layer_plan.js';
import {applyMoves} from './planner.js';
import type {ExpertMap} from './types.js';

/** Relative slowdown of forward passes while ranks copy weights. */
const COPY_SLOWDOWN = 0.15;
/**
 * Limits the moves of one switch: in a large group, planning and distributing
 * more of them takes longer than they gain.
 */
const MAX_MOVES = 160;
/** Skew reduction below which one more copy per rank counts as idle. */
const MIN_SKEW_GAIN = 0.01;
/** Consecutive idle raises of the allowance that end the search. */
const MAX_IDLE_RAISES = 2;

/** Costs and limits of a staged map switch. */
export interface StagePolicy {
  /** Time for a rank to copy one expert. */
  readonly copyTime: Millis;
  /** Experts of a layer that one switch may add to a rank. */
  readonly maxNewPerLayer: number;
  /** Payback horizon: from this switch until the next one takes effect. */
  readonly horizon: Millis;
}

/** Input of a staged planner. */
export interface StageInput {
  readonly shape: GroupShape;
  readonly map: ExpertMap;
  /** Load of each expert, by layer. */
  readonly loads: readonly Float64Array[];
  /** Slowdown factor of each rank. */
  readonly slowdowns: readonly number[];
}

/** A planned map switch whose gain outweighs its copies. */
export interface StagePlan {
  readonly moves: readonly Move[];
  readonly map: ExpertMap;
  readonly skewBefore: number;
  readonly skewAfter: number;
  /** Copy time of the rank with the most copies. */
  readonly copyTime: Millis;
  /** Bytes that all ranks together must load. */
  readonly bytes: number;
}

interface Candidate {
  readonly moves: number;
  readonly skew: number;
  readonly copies: number;
}

/**
 * Plans the next stage of a map switch: as many copies per rank as pay back
 * their copy time, hottest experts first. Expert demand shifts every few
 * seconds; a switch that waits for all copies would take effect only when the
 * next shift is due. Remaining copies are left to the next stage.
 */
export class StagedPlanner {
  /** @param policy - costs of copies against skew */
  constructor(private readonly policy: StagePolicy) {}

  /**
   * Plans the next stage.
   * @param input - loads and current map; the plan is deterministic
   * @returns the plan; `undefined` when no switch pays back
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

  /** Returns the time lost to skew until the next switch takes effect. */
  private cost(skewBefore: number, {skew, copies}: Candidate): number {
    const {copyTime, horizon} = this.policy;
    const copying = copies * copyTime;
    const during = skewBefore * (1 + COPY_SLOWDOWN) - 1;
    return copying * during + Math.max(0, horizon - copying) * (skew - 1);
  }
}

/** Improves the layer with the highest excess load until no move gains. */
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
