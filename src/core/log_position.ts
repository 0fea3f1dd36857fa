import type {Era, Offset} from './ids.js';

/**
 * Position in a topic of the store. A store that comes back from an older copy
 * gives out offsets again, so offsets only compare within one era.
 */
export interface LogPosition {
  readonly era: Era;
  readonly offset: Offset;
}

/**
 * Compares two positions of a topic; what a later era holds is newer.
 * @param a - a position
 * @param b - another position
 * @returns negative if `a` comes first, positive if `b` does, 0 if equal
 */
export function comparePositions(a: LogPosition, b: LogPosition): number {
  return a.era - b.era || a.offset - b.offset;
}
