import type {GroupShape} from './expert_map.js';
import {countMovedSlots, skewOf} from './expert_map.js';
import {LayerPlan} from './layer_plan.js';
import type {Move, TracedMove} from './layer_plan.js';
import type {ExpertMap} from './types.js';

const GIB = 2 ** 30;
/** Moves considered per layer in one plan. */
const MAX_MOVES_PER_LAYER = 48;

/** Weights and limits of a planner. */
export interface PlannerPolicy {
  /** Cost of a unit of skew per rank and interval. */
  readonly weightSkew: number;
  /** Cost of loading one GiB of weights. */
  readonly weightCost: number;
  /** Payback horizon of a move, in intervals. */
  readonly horizon: number;
  /** Minimum ratio of the gain of a move to its cost. */
  readonly hysteresis: number;
  /** Expert weights that one map switch may load. */
  readonly maxSlots: number;
  /** Share of fresh load reports below which nothing moves. */
  readonly minConfidence: number;
  /** Experts of a layer that one switch may add to a rank, if bounded. */
  readonly maxNewPerRank?: number;
}

/** Policy values that the configuration does not set. */
export const DEFAULT_POLICY = {
  horizon: 20,
  hysteresis: 1.2,
  maxSlots: 4_096,
  minConfidence: 0.5,
} as const;

/** Input of a planner. */
export interface PlanInput {
  readonly shape: GroupShape;
  readonly map: ExpertMap;
  /** Load of each expert, by layer. */
  readonly loads: readonly Float64Array[];
  /** Share of the load that changes per interval, by layer. */
  readonly drift: readonly number[];
  /** Share of the loads backed by recent reports, 0 to 1. */
  readonly confidence: number;
  /** Slowdown factor of each rank; 1 for all by default. */
  readonly slowdowns?: readonly number[];
}

/** Verdict of a planner. */
export type PlanReason =
  'moves' | 'balanced' | 'not_worth_its_cost' | 'low_confidence';

/** A planned map, or the reason for keeping the current one. */
export interface Plan {
  readonly reason: PlanReason;
  /** In descending order of value; the map is valid after each of them. */
  readonly moves: readonly Move[];
  readonly map: ExpertMap;
  readonly skewBefore: number;
  /** Skew of the same loads on the new map. */
  readonly skewAfter: number;
  /** Bytes that all ranks together must load. */
  readonly bytes: number;
}

interface Prefix {
  readonly moves: readonly TracedMove[];
  readonly slots: number;
  readonly netGain: number;
}

/**
 * Returns a map with moves applied.
 * @param map - the map; not modified
 * @param moves - the moves, in order
 */
export function applyMoves(map: ExpertMap, moves: readonly Move[]): ExpertMap {
  const layers = [...map.layers];
  const copied = new Set<number>();
  for (const {layer, slots} of moves) {
    if (!copied.has(layer)) layers[layer] = layers[layer]!.slice();
    copied.add(layer);
    for (const {slot, expert} of slots) layers[layer]![slot] = expert;
  }
  return {...map, layers};
}

/** Chooses expert moves whose skew reduction outweighs their loading cost. */
export class Planner {
  /** @param policy - weights and limits */
  constructor(private readonly policy: PlannerPolicy) {}

  /**
   * Plans a map switch; yields after each layer, so that the caller can do
   * other work in between.
   * @param input - loads and current map; the plan is deterministic
   */
  *plan(input: PlanInput): Generator<void, Plan> {
    const {map, loads, slowdowns} = input;
    const skewBefore = skewOf(map, loads, slowdowns);
    const none = {moves: [], map, skewBefore, skewAfter: skewBefore, bytes: 0};
    if (input.confidence < this.policy.minConfidence) {
      return {...none, reason: 'low_confidence'};
    }
    const prefixes: Prefix[] = [];
    let found = 0;
    const meanOfAll = totalMean(input);
    for (const layer of map.layers.keys()) {
      const traced = this.planLayer(input, layer, meanOfAll);
      found += traced.found;
      if (traced.prefix) prefixes.push(traced.prefix);
      yield;
    }
    const moves = this.selectMoves(prefixes);
    if (moves.length === 0) {
      return {...none, reason: found === 0 ? 'balanced' : 'not_worth_its_cost'};
    }
    const planned = applyMoves(map, moves);
    const bytes = countMovedSlots(map, planned) * input.shape.expertSize;
    const skewAfter = skewOf(planned, loads, slowdowns);
    const reason = 'moves';
    return {reason, moves, map: planned, skewBefore, skewAfter, bytes};
  }

  /** Returns the prefix of the moves of a layer with the highest net gain. */
  private planLayer(
    {shape, map, loads, drift, confidence, slowdowns}: PlanInput,
    layer: number,
    meanOfAll: number,
  ): {found: number; prefix: Prefix | undefined} {
    const slots = map.layers[layer]!;
    const {maxNewPerRank} = this.policy;
    const plan = new LayerPlan(
      layer,
      slots,
      shape.slotsPerRank,
      loads[layer]!,
      maxNewPerRank === undefined ? undefined : {maxNewPerRank},
      slowdowns,
    );
    const before = plan.maxLoad;
    const moves = plan.findMoves(MAX_MOVES_PER_LAYER);
    const {weightSkew, weightCost, hysteresis} = this.policy;
    const duration = this.expectedDuration(drift[layer] ?? 0) * confidence;
    const perSkew = weightSkew * shape.ranks * duration;
    const perSlot = (weightCost * hysteresis * shape.expertSize) / GIB;
    let best: Prefix | undefined;
    let used = 0;
    for (const [index, move] of moves.entries()) {
      used += move.slots.length;
      const gain = (perSkew * (before - move.maxLoad)) / meanOfAll;
      const netGain = gain - perSlot * used;
      if (netGain <= (best?.netGain ?? 0)) continue;
      best = {moves: moves.slice(0, index + 1), slots: used, netGain};
    }
    return {found: moves.length, prefix: best};
  }

  /** Returns the intervals that a gain is expected to last. */
  private expectedDuration(drift: number): number {
    const {horizon} = this.policy;
    return drift <= 0 ? horizon : Math.min(horizon, 1 / drift);
  }

  /** Selects layers by net gain per slot, up to the limit of one switch. */
  private selectMoves(prefixes: Prefix[]): Move[] {
    const gainPerSlot = ({netGain, slots}: Prefix) => netGain / slots;
    prefixes.sort((a, b) => gainPerSlot(b) - gainPerSlot(a));
    const moves: Move[] = [];
    let left = this.policy.maxSlots;
    for (const prefix of prefixes) {
      for (const {layer, slots} of prefix.moves) {
        if (slots.length > left) return moves;
        left -= slots.length;
        moves.push({layer, slots});
      }
    }
    return moves;
  }
}

function totalMean({loads, shape}: PlanInput): number {
  let total = 0;
  for (const layer of loads) for (const load of layer) total += load;
  return Math.max(total / shape.ranks, Number.MIN_VALUE);
}
