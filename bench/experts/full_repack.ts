import type {ExpertMap, GroupShape} from '../../src/expert_groups/index.js';

/**
 * Baseline planner: rebuilds the whole placement. Replicas go to the most
 * loaded experts first, then each to the least loaded rank with capacity.
 * @param shape - dimensions of the group
 * @param loads - load of each expert by layer
 */
export function fullRepack(
  shape: GroupShape,
  loads: readonly Float64Array[],
): ExpertMap {
  const layers = loads.map(layer => repackLayer(shape, layer));
  return {version: 0, slotsPerRank: shape.slotsPerRank, layers};
}

function repackLayer(
  {ranks, experts, slotsPerRank}: GroupShape,
  loads: Float64Array,
): Uint16Array {
  const replicas = new Uint16Array(experts).fill(1);
  const share = (expert: number) => loads[expert]! / replicas[expert]!;
  for (let spare = ranks * slotsPerRank - experts; spare > 0; spare--) {
    let most = -1;
    for (let expert = 0; expert < experts; expert++) {
      if (replicas[expert]! >= ranks) continue;
      if (most < 0 || share(expert) > share(most)) most = expert;
    }
    replicas[most]! += 1;
  }
  const items = [...replicas.keys()].flatMap(expert =>
    Array.from({length: replicas[expert]!}, () => expert),
  );
  items.sort((a, b) => share(b) - share(a) || a - b);
  const placed = Array.from({length: ranks}, () => [] as number[]);
  const total = new Float64Array(ranks);
  for (const expert of items) {
    const rank = leastLoaded(placed, total, slotsPerRank, expert);
    placed[rank]!.push(expert);
    total[rank]! += share(expert);
  }
  return Uint16Array.from(placed.flat());
}

/** Returns the least loaded rank, preferring ranks without this expert. */
function leastLoaded(
  placed: readonly number[][],
  total: Float64Array,
  slotsPerRank: number,
  expert: number,
): number {
  let best = -1;
  let bestDuplicate = -1;
  for (const [rank, held] of placed.entries()) {
    if (held.length >= slotsPerRank) continue;
    if (bestDuplicate < 0 || total[rank]! < total[bestDuplicate]!) {
      bestDuplicate = rank;
    }
    if (held.includes(expert)) continue;
    if (best < 0 || total[rank]! < total[best]!) best = rank;
  }
  return best < 0 ? bestDuplicate : best;
}
