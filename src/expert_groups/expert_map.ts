import {EMPTY_SLOT} from './types.js';
import type {ExpertMap, MapVersion} from './types.js';

/** Sizes of a group, from the configuration. */
export interface GroupShape {
  readonly ranks: number;
  readonly layers: number;
  readonly experts: number;
  /** Expert weights that a rank has room for, per layer. */
  readonly slotsPerRank: number;
  /** Weight of one expert of one layer, bytes. */
  readonly expertSize: number;
}

/**
 * The map that a group starts with: experts in turn over the ranks, and the
 * slots that are left filled with further replicas in the same turn.
 * @param shape - sizes of the group
 * @throws RangeError when the slots do not hold all experts
 */
export function initialMap(shape: GroupShape): ExpertMap {
  const {ranks, layers, experts, slotsPerRank} = shape;
  if (ranks * slotsPerRank < experts) {
    throw new RangeError('the slots of all ranks do not hold all experts');
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
 * What is wrong with a map.
 * @param map - the map
 * @param shape - sizes of its group
 * @returns one line for each fault
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

/** Weights of one expert of one layer that a rank has to load. */
export interface ExpertWeights {
  readonly layer: number;
  readonly expert: number;
}

/**
 * What one rank has to load to go from one map to another.
 * @param from - the map in use; nothing when it has no weights
 * @param to - the map to come
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
 * Expert weights that all ranks have to load, in slots.
 * @param from - the map in use
 * @param to - the map to come
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
 * Load of each rank in one layer; the replicas of an expert share its load.
 * @param layer - experts by rank and slot
 * @param slotsPerRank - slots of each rank
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
 * Step-time skew: every layer waits for its slowest rank, so it is the sum of
 * the layers' greatest loads over the sum of their mean loads. 1 is the best.
 * @param map - the map
 * @param loads - for each layer the load of each expert
 * @param slowdowns - for each rank how long a unit of load takes there
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
 * A copy of a map under another number.
 * @param map - the map
 * @param version - the number of the copy
 */
export function withVersion(map: ExpertMap, version: MapVersion): ExpertMap {
  return {...map, version};
}
