import type {Millis} from '../../core/index.js';
import type {Rank} from '../types.js';
import {ORPHAN_TIMEOUT} from './timing.js';
import {RANKS_PER_ROUND, rankOfToken} from './tokens.js';
import type {RankReport} from './types.js';

/**
 * Reports read after the rank had answered an order with the current fencing
 * token. The rank rejects older orders from then on, so only orders with this
 * token can change what these reports say; other reports may be stale.
 */
export class FencedReports {
  private readonly initial = new Map<Rank, RankReport>();
  private readonly latest = new Map<Rank, RankReport>();

  /** Removes all reports: the token changed, or the group restarted. */
  clear(): void {
    this.initial.clear();
    this.latest.clear();
  }

  /**
   * Removes the reports of a restarted rank.
   * @param rank - the rank
   */
  remove(rank: Rank): void {
    this.initial.delete(rank);
    this.latest.delete(rank);
  }

  /**
   * Adds the report of a rank that has answered an order with the token.
   * @param report - report read after the answer
   * @param prepared - map prepared before, if the order prepared another one
   */
  add(report: RankReport, prepared = report.prepared): void {
    const {rank} = report;
    if (!this.initial.has(rank)) this.initial.set(rank, {...report, prepared});
    this.latest.set(report.rank, report);
  }

  /**
   * Replaces the latest report of a rank if the rank is fenced.
   * @param report - the newer report
   */
  update(report: RankReport): void {
    if (this.latest.has(report.rank)) this.latest.set(report.rank, report);
  }

  /**
   * Returns whether a rank is fenced, that is, rejects older orders.
   * @param rank - the rank
   */
  has(rank: Rank): boolean {
    return this.latest.has(rank);
  }

  /** Returns the latest report of each fenced rank. */
  all(): RankReport[] {
    return [...this.latest.values()];
  }

  /** Returns the report of each rank as it was fenced, before any cleanup. */
  allInitial(): RankReport[] {
    return [...this.initial.values()];
  }
}

/** Timer that detects holds and armings left without a coordinator. */
export class OrphanDetector {
  private firstSeenAt: Millis | undefined;

  /**
   * Returns whether orphaned holds and armings are to be cleared now.
   * @param now - current time
   * @param isClean - whether no rank is held or armed
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

/** Next step of cleaning up a group after an unfinished switch. */
export type CleanupStep =
  /** The state of the ranks that do not answer is not certain. */
  | {readonly kind: 'wait'}
  /** The group restarted in the meantime. */
  | {readonly kind: 'look_again'}
  /** Some ranks are armed while others are neither armed nor switched. */
  | {readonly kind: 'disarm'; readonly armed: readonly RankReport[]}
  | {readonly kind: 'release'; readonly held: readonly RankReport[]}
  | {readonly kind: 'clean'};

/**
 * Returns the next step towards a group with no hold and no partial arming.
 * @param fenced - reports of the ranks that reject older orders
 * @param missing - all other ranks
 * @param canDisarm - whether no earlier coordinator can still arm all ranks
 */
export function nextCleanupStep(
  fenced: FencedReports,
  missing: readonly Rank[],
  canDisarm = true,
): CleanupStep {
  const reports = fenced.all();
  if (new Set(reports.map(r => r.epoch)).size > 1) return {kind: 'look_again'};
  const isComplete = missing.length === 0;
  if (!isComplete && !isMissingRankUnarmed(fenced.allInitial(), missing))
    return {kind: 'wait'};
  const armed = reports.filter(r => r.armed !== null);
  if (armed.length > 0 && !(isComplete && isUniform(reports))) {
    if (!canDisarm) return {kind: 'wait'};
    // The rank that is armed last is disarmed first: as long as any rank is
    // unarmed, that rank is not armed either.
    const last = armed.filter(r => r.rank === rankOfToken(r.armed ?? 0));
    return {kind: 'disarm', armed: last.length > 0 ? last : armed};
  }
  const held = reports.filter(r => r.heldAt !== null);
  if (held.length > 0) return {kind: 'release', held};
  return {kind: isComplete ? 'clean' : 'wait'};
}

/**
 * Returns whether the missing rank is certainly not armed. A coordinator arms
 * its local rank only once all others are armed. If all others have its map
 * prepared and one of them was unarmed when fenced, the local rank was not
 * armed, and will not be, because that other rank now rejects the orders.
 * @param initial - reports of the other ranks as they were fenced
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
 * Returns whether every rank uses, or is armed for, the same map, so that the
 * group may begin its next pass.
 * @param reports - reports of all ranks
 */
export function isUniform(reports: readonly RankReport[]): boolean {
  const armed = new Set(reports.flatMap(r => r.armed ?? []));
  const [target] = armed;
  return (
    armed.size === 1 &&
    reports.every(r => r.armed === target || r.map === target)
  );
}
