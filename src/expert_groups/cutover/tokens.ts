import type {Rank} from '../types.js';

/** Ranks that a token can name; the target is groups of 128. */
export const RANKS_PER_ROUND = 2 ** 8;
/** Changes and clearings that one claim can number. */
const ROUNDS_PER_CLAIM = 2 ** 12;
export const TOKENS_PER_CLAIM = ROUNDS_PER_CLAIM * RANKS_PER_ROUND;

/**
 * The first fencing token of a claim. Maps are numbered by the tokens of their
 * changes, so that each tells whose coordinator made it.
 * @param claim - number of the claim, above all earlier ones
 * @param rank - rank beside which the coordinator runs
 */
export function firstToken(claim: number, rank: Rank): number {
  return claim * TOKENS_PER_CLAIM + (rank % RANKS_PER_ROUND);
}

/**
 * The claim that a token belongs to.
 * @param token - a fencing token
 */
export function claimOfToken(token: number): number {
  return Math.floor(token / TOKENS_PER_CLAIM);
}

/**
 * The token after another one of the same claim.
 * @param token - a fencing token
 * @returns nothing when the claim has no more
 */
export function nextToken(token: number): number | undefined {
  const next = token + RANKS_PER_ROUND;
  return claimOfToken(next) === claimOfToken(token) ? next : undefined;
}

/**
 * The rank beside which the coordinator of a token runs, in groups of up to
 * `RANKS_PER_TURN` ranks.
 * @param token - a fencing token, or the number of a map
 */
export function rankOfToken(token: number): Rank {
  return token % RANKS_PER_ROUND;
}

/**
 * The rank whose engine holds the group for a change: another one than that
 * beside the coordinator, and not always the same.
 * @param token - token of the change
 * @param ranks - all ranks of the group
 */
export function selectHolder(token: number, ranks: readonly Rank[]): Rank {
  const self = rankOfToken(token);
  const others = ranks.filter(rank => rank !== self);
  const round = Math.floor(token / RANKS_PER_ROUND);
  return others[(self + round) % others.length] ?? self;
}
