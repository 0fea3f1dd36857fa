import {EMPTY_SLOT} from './types.js';
import type {ExpertMap, MapVersion} from './types.js';

/** Dimensions of a group, from the configuration. */
export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  /** Expert capacity of a rank, per layer. */
  readonly slotsPerRank: number;
  /** Weight of one expert of one layer, bytes. */
  readonly expertSize: number;
}

/**
 * Returns the initial map of a group: experts round-robin over the ranks, with
 * the remaining slots filled by replicas in the same order.
 * @param shape - dimensions of the group
 * @throws RangeError when there are fewer slots than experts
 */
export function initialMap(shape: GroupShape): ExpertMap {
  const {ranks, layers, experts, slotsPerRank} = shape;
  if (ranks * slotsPerRank < experts) {
    throw new RangeError('the group has fewer slots than experts');
  }
  const layer = new Uint16Array(ranks * slotsPerRank);
  for (let slot = 0; slot < slotsPerRank; slot++) {
    for (let rank = 0; rank < ranks; rank++) {
      layer[rank * slotsPerRank + slot] = (slot * ranks + rank) % experts;
    }
  }
  const copies = Array.from({length: layers}, () => layer.slice());
  return {version: 0, slotsPerRank, layers: copies};
}

/**
 * Validates a map.
 * @param map - the map
 * @param shape - dimensions of its group
 * @returns one message per error
 */
export function findMapErrors(map: ExpertMap, shape: GroupShape): string[] {
  const {ranks, layers, experts, slotsPerRank} = shape;
  const findings: string[] = [];
  if (map.layers.length !== layers) findings.push('wrong number of layers');
  if (map.slotsPerRank !== slotsPerRank) findings.push('wrong slots per rank');
  for (const [index, layer] of map.layers.entries()) {
    if (layer.length !== ranks * slotsPerRank) {
      findings.push(`layer ${index} has ${layer.length} slots`);
    }
    const placed = new Set(layer);
    placed.delete(EMPTY_SLOT);
    for (let expert = 0; expert < experts; expert++) {
      if (!placed.has(expert)) {
        findings.push(`layer ${index} lacks expert ${expert}`);
      }
    }
    if ([...placed].some(expert => expert >= experts)) {
      findings.push(`layer ${index} has an unknown expert`);
    }
  }
  return findings;
}

/** Identifies the weights of one expert in one layer. */
export interface ExpertWeights {
  readonly layer: number;
  readonly expert: number;
}

/**
 * Returns the weights that one rank must load to switch between maps.
 * @param from - the map in use; `undefined` when no weights are loaded
 * @param to - the target map
 * @param rank - the rank
 */
export function missingWeights(
  from: ExpertMap | undefined,
  to: ExpertMap,
  rank: number,
): ExpertWeights[] {
  const {slotsPerRank} = to;
  const [start, end] = [rank * slotsPerRank, (rank + 1) * slotsPerRank];
  return to.layers.flatMap((layer, index) => {
    const held = new Set(from?.layers[index]?.subarray(start, end));
    const wanted = new Set(layer.subarray(start, end));
    return [...wanted]
      .filter(expert => expert !== EMPTY_SLOT && !held.has(expert))
      .map(expert => ({layer: index, expert}));
  });
}

/**
 * Counts the expert weights that all ranks together must load.
 * @param from - the map in use
 * @param to - the target map
 */
export function countMovedSlots(from: ExpertMap, to: ExpertMap): number {
  const ranks = (to.layers[0]?.length ?? 0) / to.slotsPerRank;
  let moved = 0;
  for (let rank = 0; rank < ranks; rank++) {
    moved += missingWeights(from, to, rank).length;
  }
  return moved;
}

/**
 * Returns the load of each rank in one layer; replicas share load evenly.
 * @param layer - experts by rank and slot
 * @param slotsPerRank - number of slots per rank
 * @param loads - load of each expert
 */
export function rankLoads(
  layer: Uint16Array,
  slotsPerRank: number,
  loads: Float64Array,
): Float64Array {
  const replicas = new Uint16Array(loads.length);
  for (const expert of layer) {
    if (expert !== EMPTY_SLOT) replicas[expert]! += 1;
  }
  const result = new Float64Array(layer.length / slotsPerRank);
  for (const [slot, expert] of layer.entries()) {
    if (expert === EMPTY_SLOT) continue;
    const rank = Math.floor(slot / slotsPerRank);
    result[rank]! += loads[expert]! / replicas[expert]!;
  }
  return result;
}

/**
 * Returns the step-time skew, max over mean: every layer waits for its slowest
 * rank, so it is the sum of the layers' maximum loads, weighted by slowdown,
 * over the sum of their mean loads. 1 is optimal when no rank is slow.
 * @param map - the map
 * @param loads - load of each expert, by layer
 * @param slowdowns - slowdown factor of each rank; 1 by default
 */
export function skewOf(
  map: ExpertMap,
  loads: readonly Float64Array[],
  slowdowns: readonly number[] = [],
): number {
  let greatest = 0;
  let mean = 0;
  for (const [index, layer] of map.layers.entries()) {
    const perRank = rankLoads(layer, map.slotsPerRank, loads[index]!);
    const times = perRank.map((load, rank) => load * (slowdowns[rank] ?? 1));
    greatest += Math.max(...times);
    mean += perRank.reduce((sum, load) => sum + load, 0) / perRank.length;
  }
  return mean === 0 ? 1 : greatest / mean;
}

/**
 * Returns a copy of a map with another version.
 * @param map - the map
 * @param version - version of the copy
 */
export function withVersion(map: ExpertMap, version: MapVersion): ExpertMap {
  return {...map, version};
}
