import type {GroupShape} from './expert_map.js';
import {countMovedSlots, skewOf} from './expert_map.js';
import {LayerPlan} from './layer_plan.js';
import type {Move, TracedMove} from './layer_plan.js';
import type {ExpertMap} from './types.js';

const GIB = 2 ** 30;
/** Moves that are tried in one layer in one plan. */
const MAX_MOVES_PER_LAYER = 48;

/** How a planner weighs a change of map. */
export interface PlannerPolicy {
  /** What a unit of skew costs each rank in each interval that it lasts. */
  readonly weightSkew: number;
  /** What a moved GiB costs. */
  readonly weightCost: number;
  /** Intervals within which a move must pay for itself. */
  readonly horizon: number;
  /** The gain of a move must be this many times its cost. */
  readonly hysteresis: number;
  /** Expert weights that one change may load. */
  readonly maxSlots: number;
  /** Below this share of fresh load reports nothing moves. */
  readonly minConfidence: number;
  /** Experts of a layer that one change may bring to a rank, if bounded. */
  readonly maxNewPerRank?: number;
}

/** Policy values that the configuration text does not set. */
export const DEFAULT_POLICY = {
  horizon: 20,
  hysteresis: 1.2,
  maxSlots: 4_096,
  minConfidence: 0.5,
} as const;

/** What a planner looks at. */
export interface PlanInput {
  readonly shape: GroupShape;
  readonly map: ExpertMap;
  /** For each layer the load of each expert. */
  readonly loads: readonly Float64Array[];
  /** For each layer the share of its load that changes in an interval. */
  readonly drift: readonly number[];
  /** Share of the loads that recent reports back, 0 to 1. */
  readonly confidence: number;
  /** How long each rank takes for a unit of load; all alike if left out. */
  readonly slowdowns?: readonly number[];
}

/** Why the planner moved, or did not. */
export type PlanReason =
  'moves' | 'balanced' | 'not_worth_its_cost' | 'low_confidence';

/** A change of map, or the reason for none. */
export interface Plan {
  readonly reason: PlanReason;
  /** In order of worth; the map is valid after each of them. */
  readonly moves: readonly Move[];
  readonly map: ExpertMap;
  readonly skewBefore: number;
  /** Skew that the loads give on the new map. */
  readonly skewAfter: number;
  /** Bytes that all ranks have to load. */
  readonly bytes: number;
}

interface Prefix {
  readonly moves: readonly TracedMove[];
  readonly slots: number;
  readonly netGain: number;
}

/**
 * Applies moves to a map.
 * @param map - the map; left as it is
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

/** Chooses which expert weights to move for the skew that they cure. */
export class Planner {
  /** @param policy - how it weighs a change */
  constructor(private readonly policy: PlannerPolicy) {}

  /**
   * Plans a change; hands back control after each layer, so that the caller
   * can do other work in between.
   * @param input - what is known; the same input gives the same plan
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

  /** The moves of a layer up to the point where they are worth the most. */
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

  /** Intervals that a gain is likely to last. */
  private expectedDuration(drift: number): number {
    const {horizon} = this.policy;
    return drift <= 0 ? horizon : Math.min(horizon, 1 / drift);
  }

  /** Layers by worth per slot, up to the most that one change may load. */
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
