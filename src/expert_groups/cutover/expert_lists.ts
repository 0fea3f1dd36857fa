import type {GroupShape} from '../expert_map.js';
import {EMPTY_SLOT} from '../types.js';
import type {ExpertMap} from '../types.js';

/**
 * Returns the experts of each rank by set, each once: `lists[set][rank]`.
 * @param map - the map
 */
export function expertLists(map: ExpertMap): number[][][] {
  const {slotsPerRank} = map;
  return map.layers.map(layer => {
    const ranks = layer.length / slotsPerRank;
    return Array.from({length: ranks}, (_, rank) => {
      const start = rank * slotsPerRank;
      const held = layer.subarray(start, start + slotsPerRank);
      return [...new Set(held)].filter(expert => expert !== EMPTY_SLOT);
    });
  });
}

/**
 * Returns the map that engines start with: each expert once, assigned to the
 * ranks round-robin, and the remaining slots empty.
 * @param shape - sizes of the group
 */
export function engineDefaultMap(shape: GroupShape): ExpertMap {
  const {ranks, layers, experts, slotsPerRank} = shape;
  const layer = new Uint16Array(ranks * slotsPerRank).fill(EMPTY_SLOT);
  for (let expert = 0; expert < experts; expert++) {
    const rank = expert % ranks;
    layer[rank * slotsPerRank + Math.floor(expert / ranks)] = expert;
  }
  const copies = Array.from({length: layers}, () => layer.slice());
  return {version: 0, slotsPerRank, layers: copies};
}

/**
 * Returns a map built from the lists that the ranks report.
 * @param version - version of the map
 * @param shape - sizes of the group
 * @param lists - `lists[rank][set]`, the experts of a rank in a set
 */
export function mapFromLists(
  version: number,
  shape: GroupShape,
  lists: readonly (readonly (readonly number[])[])[],
): ExpertMap {
  const {ranks, layers, slotsPerRank} = shape;
  const filled = Array.from({length: layers}, (_, set) => {
    const layer = new Uint16Array(ranks * slotsPerRank).fill(EMPTY_SLOT);
    for (const [rank, sets] of lists.entries()) {
      for (const [slot, expert] of (sets[set] ?? []).entries()) {
        if (slot < slotsPerRank) layer[rank * slotsPerRank + slot] = expert;
      }
    }
    return layer;
  });
  return {version, slotsPerRank, layers: filled};
}
