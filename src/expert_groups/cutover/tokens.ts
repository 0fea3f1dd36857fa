import type {Rank} from '../types.js';

/** Number of ranks that a token can encode; groups of 128 are the target. */
export const RANKS_PER_ROUND = 2 ** 8;
/** Number of switches and cleanups that one claim can number. */
const ROUNDS_PER_CLAIM = 2 ** 12;
export const TOKENS_PER_CLAIM = ROUNDS_PER_CLAIM * RANKS_PER_ROUND;

/**
 * Returns the first fencing token of a claim. A map's version is the token of
 * its switch, and therefore identifies the coordinator that made it.
 * @param claim - number of the claim, above all earlier ones
 * @param rank - local rank of the coordinator
 */
export function firstToken(claim: number, rank: Rank): number {
  return claim * TOKENS_PER_CLAIM + (rank % RANKS_PER_ROUND);
}

/**
 * Returns the claim that a token belongs to.
 * @param token - a fencing token
 */
export function claimOfToken(token: number): number {
  return Math.floor(token / TOKENS_PER_CLAIM);
}

/**
 * Returns the next token of the same claim.
 * @param token - a fencing token
 * @returns undefined when the tokens of the claim are exhausted
 */
export function nextToken(token: number): number | undefined {
  const next = token + RANKS_PER_ROUND;
  return claimOfToken(next) === claimOfToken(token) ? next : undefined;
}

/**
 * Returns the local rank of the coordinator that issued a token, in groups of
 * up to `RANKS_PER_ROUND` ranks.
 * @param token - a fencing token, or the version of a map
 */
export function rankOfToken(token: number): Rank {
  return token % RANKS_PER_ROUND;
}

/**
 * Returns the version that fences ranks during a cleanup. It is below the next
 * token, and names no rank: only a map of a switch tells which rank is armed
 * last.
 * @param token - token of the cleanup
 */
export function fenceVersion(token: number): number {
  return token - rankOfToken(token) + RANKS_PER_ROUND - 1;
}

/**
 * Returns the rank whose engine holds the group for a switch: never the
 * coordinator's local rank if there is another, and rotating among the others.
 * @param token - token of the switch
 * @param ranks - all ranks of the group
 */
export function selectHolder(token: number, ranks: readonly Rank[]): Rank {
  const self = rankOfToken(token);
  const others = ranks.filter(rank => rank !== self);
  const round = Math.floor(token / RANKS_PER_ROUND);
  return others[(self + round) % others.length] ?? self;
}
