import type {EntryShare} from '../direct/index.js';

/**
 * Common sequence of the streams of all entries over the ranks of a group. The
 * streams of all entries are numbered by turns: the first of each entry, then
 * the second of each, and so on; consecutive numbers are on consecutive ranks.
 * Entries that fill their own numbers in order complement one another without
 * messages.
 */
export class RankOrder {
  private readonly period: number;

  /**
   * @param ranks - number of ranks
   * @param share - position of this entry among the entries
   */
  constructor(
    private readonly ranks: number,
    private readonly share: EntryShare,
  ) {
    const {count} = share;
    this.period = (ranks * count) / greatestCommonDivisor(ranks, count);
  }

  /**
   * Returns the place of a stream of this entry.
   * @param index - number of the stream at this entry
   */
  placeOf(index: number): {rank: number; layer: number} {
    const position = this.share.index + index * this.share.count;
    // Entries whose number shares a divisor with that of the ranks would return
    // to their first ranks after a period, and never use some of the others.
    const shift = Math.floor(position / this.period);
    return {
      rank: (position + shift) % this.ranks,
      layer: Math.floor(position / this.ranks),
    };
  }
}

/**
 * Returns whether a rank takes its stream of a layer if it should run only a part
 * of the streams that other ranks run.
 * @param layer - number of streams that other ranks have below this one
 * @param part - the part, 0 to 1
 */
export function takesLayer(layer: number, part: number): boolean {
  return Math.floor((layer + 1) * part) > Math.floor(layer * part);
}

function greatestCommonDivisor(a: number, b: number): number {
  return b === 0 ? a : greatestCommonDivisor(b, a % b);
}
