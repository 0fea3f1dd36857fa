/** Experts of each rank by set: `lists[set][rank]`. */
export type ExpertLists = readonly (readonly (readonly number[])[])[];

/**
 * Changes to expert lists as a flat sequence of set, rank, position and expert,
 * with `END_OF_LIST` as the expert where a list ends at that position.
 */
export type ListChanges = readonly number[];

const END_OF_LIST = -1;
const NUMBERS_PER_CHANGE = 4;

/**
 * Returns the changes from one map to another. Each rank is ordered to prepare
 * the whole map of its group, and a switch changes few places of it; sending
 * whole maps to many ranks would fill the link of one VM.
 * @param from - lists of the previous map
 * @param to - lists of the new map, of the same shape
 */
export function diffExpertLists(from: ExpertLists, to: ExpertLists): number[] {
  const changes: number[] = [];
  for (const [set, ranks] of to.entries()) {
    for (const [rank, experts] of ranks.entries()) {
      const before = from[set]?.[rank] ?? [];
      for (const [position, expert] of experts.entries()) {
        if (before[position] === expert) continue;
        changes.push(set, rank, position, expert);
      }
      if (before.length > experts.length) {
        changes.push(set, rank, experts.length, END_OF_LIST);
      }
    }
  }
  return changes;
}

/**
 * Counts the experts that a rank has to copy for a new map.
 * @param from - lists of the previous map
 * @param to - lists of the new map, of the same shape
 * @param rank - the rank
 */
export function countCopies(
  from: ExpertLists,
  to: ExpertLists,
  rank: number,
): number {
  let copies = 0;
  for (const [set, ranks] of to.entries()) {
    const held = from[set]?.[rank] ?? [];
    const wanted = ranks[rank] ?? [];
    copies += wanted.filter(expert => !held.includes(expert)).length;
  }
  return copies;
}

/**
 * Returns the lists of a map, built from those of the previous one.
 * @param from - lists of the previous map
 * @param changes - changes to apply
 */
export function applyListChanges(
  from: ExpertLists,
  changes: ListChanges,
): number[][][] {
  const lists = from.map(set => set.map(experts => [...experts]));
  for (let i = 0; i < changes.length; i += NUMBERS_PER_CHANGE) {
    const [set = 0, rank = 0, position = 0, expert = END_OF_LIST] =
      changes.slice(i);
    const experts = lists[set]?.[rank];
    if (experts === undefined || position > experts.length) continue;
    if (expert === END_OF_LIST) experts.length = position;
    else experts[position] = expert;
  }
  return lists;
}
