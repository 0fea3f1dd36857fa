import type {Millis} from '../../core/index.js';
import type {Rank} from '../types.js';
import {ORPHAN_TIMEOUT} from './timing.js';
import {RANKS_PER_ROUND, rankOfToken} from './tokens.js';
import type {RankReport} from './types.js';

/**
 * Reports that were read after the rank had answered an order of the present
 * token. Older orders are refused there from then on, so these can only change
 * by orders of this token; other reports may be older.
 */
export class FencedReports {
  private readonly initial = new Map<Rank, RankReport>();
  private readonly latest = new Map<Rank, RankReport>();

  /** Another token is in use, or the group formed anew. */
  clear(): void {
    this.initial.clear();
    this.latest.clear();
  }

  /**
   * A rank was reborn.
   * @param rank - the rank
   */
  remove(rank: Rank): void {
    this.initial.delete(rank);
    this.latest.delete(rank);
  }

  /**
   * A rank has answered an order of the token, and reported after it.
   * @param report - the report
   */
  add(report: RankReport): void {
    if (!this.initial.has(report.rank)) this.initial.set(report.rank, report);
    this.latest.set(report.rank, report);
  }

  /**
   * Takes a later report of a rank, if it is fenced.
   * @param report - the report
   */
  update(report: RankReport): void {
    if (this.latest.has(report.rank)) this.latest.set(report.rank, report);
  }

  /**
   * Whether older orders are refused at a rank.
   * @param rank - the rank
   */
  has(rank: Rank): boolean {
    return this.latest.has(rank);
  }

  /** The newest report of each fenced rank. */
  all(): RankReport[] {
    return [...this.latest.values()];
  }

  /** What each rank reported when it was fenced, before it was cleared. */
  allInitial(): RankReport[] {
    return [...this.initial.values()];
  }
}

/** Notices holds and armings that no coordinator works on. */
export class OrphanDetector {
  private firstSeenAt: Millis | undefined;

  /**
   * Whether it is time to clear them.
   * @param now - present time
   * @param isClean - whether there are none
   */
  shouldClear(now: Millis, isClean: boolean): boolean {
    if (isClean) {
      this.firstSeenAt = undefined;
      return false;
    }
    this.firstSeenAt ??= now;
    if (now - this.firstSeenAt < ORPHAN_TIMEOUT) return false;
    this.firstSeenAt = undefined;
    return true;
  }
}

/** What clears a group that a coordinator has left in the middle. */
export type CleanupStep =
  /** Too little is known of ranks that do not answer. */
  | {readonly kind: 'wait'}
  /** The group formed anew meanwhile. */
  | {readonly kind: 'look_again'}
  /** Some ranks are armed and others neither armed nor switched. */
  | {readonly kind: 'disarm'; readonly armed: readonly RankReport[]}
  | {readonly kind: 'release'; readonly held: readonly RankReport[]}
  | {readonly kind: 'clean'};

/**
 * The next step towards a group in which nothing is armed unevenly or held.
 * @param fenced - reports of the ranks that refuse older orders
 * @param missing - the other ranks
 */
export function nextCleanupStep(
  fenced: FencedReports,
  missing: readonly Rank[],
): CleanupStep {
  const reports = fenced.all();
  if (new Set(reports.map(r => r.epoch)).size > 1) return {kind: 'look_again'};
  const isComplete = missing.length === 0;
  if (!isComplete && !isMissingRankUnarmed(fenced.allInitial(), missing))
    return {kind: 'wait'};
  const armed = reports.filter(r => r.armed !== null);
  if (armed.length > 0 && !(isComplete && isUniform(reports))) {
    // The rank that is armed last is disarmed first: while any rank is found
    // unarmed, that one is not armed either.
    const last = armed.filter(r => r.rank === rankOfToken(r.armed ?? 0));
    return {kind: 'disarm', armed: last.length > 0 ? last : armed};
  }
  const held = reports.filter(r => r.heldAt !== null);
  if (held.length > 0) return {kind: 'release', held};
  return {kind: isComplete ? 'clean' : 'wait'};
}

/**
 * Whether the missing ranks are certainly not armed. A coordinator arms the
 * rank beside it when all others are armed. Where all others have its map
 * prepared and one was found unarmed, its own rank was not armed and, as that
 * one now refuses its orders, will not be.
 * @param initial - reports of the others as they were fenced
 * @param missing - ranks that do not answer
 */
function isMissingRankUnarmed(
  initial: readonly RankReport[],
  missing: readonly Rank[],
): boolean {
  const [rank] = missing;
  const [first] = initial;
  if (missing.length !== 1 || rank === undefined || first === undefined) {
    return false;
  }
  const {prepared: version, size} = first;
  return (
    size <= RANKS_PER_ROUND &&
    version !== null &&
    rankOfToken(version) === rank &&
    initial.every(
      r => r.prepared === version && (r.armed ?? version) === version,
    ) &&
    initial.some(r => r.armed === null)
  );
}

/**
 * Whether every rank is on, or armed for, the same map, so that the group may
 * begin its next pass.
 */
function isUniform(reports: readonly RankReport[]): boolean {
  const armed = new Set(reports.flatMap(r => r.armed ?? []));
  const [target] = armed;
  return (
    armed.size === 1 &&
    reports.every(r => r.armed === target || r.map === target)
  );
}
