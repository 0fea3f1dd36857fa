import type {ExpertMap, GroupShape} from '../../src/expert_groups/index.js';

/**
 * The baseline: places all experts anew, replicas for the most loaded first,
 * then each on the least loaded rank that has room.
 * @param shape - sizes of the group
 * @param loads - for each layer the load of each expert
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

/** Prefers ranks without a replica of the same expert. */
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
