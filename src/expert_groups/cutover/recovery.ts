import type {Millis} from '../../core/index.js';
import type {MapVersion, Rank} from '../types.js';
import {FencedReports, isUniform, nextCleanupStep} from './cleanup.js';
import type {EventBuffer} from './event_buffer.js';
import type {OrderFactory} from './order_tracker.js';
import {ranksOf} from './rank_reports.js';
import type {RankReports} from './rank_reports.js';
import {fenceVersion} from './tokens.js';
import type {CutoverOrder, IssuedOrder, RankReport} from './types.js';
import {VersionFence} from './version_fence.js';
import type {MapLookup} from './version_fence.js';

/** Returns the orders that are due to be sent to ranks now. */
export type OrderIssuer = (
  now: Millis,
  ranks: readonly Rank[],
  order: OrderFactory,
) => IssuedOrder[];

/** State of the fence by versions. */
interface VersionFencing {
  /** Whether ranks that have answered are to be fenced yet. */
  readonly isPending: boolean;
  /**
   * Whether no other coordinator can still arm all ranks. Until one unarmed
   * rank is fenced, it could, and release the group as a disarming arrives.
   */
  readonly canDisarm: boolean;
  readonly due: IssuedOrder[];
}

/** Clears holds and armings of an earlier coordinator or cancelled switch. */
export class GroupRecovery {
  private readonly fenced = new FencedReports();
  private readonly versionFence: VersionFence | undefined;
  /** What ranks had prepared before they were fenced by a preparation. */
  private readonly preparedBefore = new Map<Rank, MapVersion | null>();
  /** Whether ranks lack the fence, as they were armed or their map unknown. */
  private isFenceMissing = false;

  /**
   * @param reports - latest reports of the ranks
   * @param events - buffer for events
   * @param issue - returns the orders that are due
   * @param lookup - returns the map in use, where engines check no tokens
   */
  constructor(
    private readonly reports: RankReports,
    private readonly events: EventBuffer,
    private readonly issue: OrderIssuer,
    lookup: MapLookup | undefined,
  ) {
    this.versionFence = lookup && new VersionFence(lookup);
  }

  /** Removes the fences of all ranks: the token changed. */
  clear(): void {
    this.fenced.clear();
    this.versionFence?.clear();
    this.preparedBefore.clear();
    this.isFenceMissing = false;
  }

  /**
   * Removes the fence of a restarted rank.
   * @param rank - the rank
   */
  remove(rank: Rank): void {
    this.fenced.remove(rank);
    this.preparedBefore.delete(rank);
    this.versionFence?.remove(rank);
  }

  /**
   * Records the answer to an order with the current token.
   * @param given - the order
   * @param isAccepted - whether it was accepted
   * @param report - report of the rank, read after the answer
   */
  recordAnswer(
    {rank, order, epoch}: IssuedOrder,
    isAccepted: boolean,
    report: RankReport | undefined,
  ): void {
    // An engine may reject an order by its epoch before checking the token,
    // and may not check the token of a release that finds no hold.
    const isFenced = report?.epoch === epoch && order.kind !== 'release';
    const prepared = this.preparedBefore.get(rank);
    if (isFenced) this.fenced.add(report, prepared);
    else if (report !== undefined) this.fenced.update(report);
    if (order.kind === 'prepare')
      this.versionFence?.recordAnswer(rank, order.map, isAccepted, report);
  }

  /**
   * Returns whether ranks without a version fence can be given one now.
   * @param token - the current token
   */
  canFenceLater(token: number): boolean {
    return (
      this.isFenceMissing &&
      this.reports.isClean() &&
      this.fenceOrder(token) !== undefined
    );
  }

  /**
   * Returns the orders to send now.
   * @param now - current time
   * @param token - the current token
   * @returns the orders, and whether the group is clean
   */
  next(
    now: Millis,
    token: number,
  ): {readonly orders: IssuedOrder[]; readonly isClean: boolean} {
    const {fenced} = this;
    const missing = this.reports.ranks().filter(rank => !fenced.has(rank));
    const fences = this.fenceRanks(now, missing, token);
    const {isPending, canDisarm, due} = this.fenceVersions(now, token);
    const step = nextCleanupStep(fenced, missing, canDisarm);
    const orders = [...fences, ...due];
    switch (step.kind) {
      case 'wait':
        this.events.recordMissing(missing);
        return {orders, isClean: false};
      case 'look_again':
        this.clear();
        return {orders: [], isClean: false};
      case 'disarm': {
        const disarms = this.issue(now, ranksOf(step.armed), rank => ({
          kind: 'disarm',
          map: step.armed.find(r => r.rank === rank)?.armed ?? 0,
        }));
        return {orders: [...orders, ...disarms], isClean: false};
      }
      case 'release':
        this.events.recordMissing(missing);
        // An arming that is executed after the release would mix maps.
        if (!isPending) orders.push(...this.releaseHeld(now, step.held));
        return {orders, isClean: false};
      case 'clean':
        return {orders, isClean: !isPending};
    }
  }

  /**
   * Returns the orders that release held ranks.
   * @param now - current time
   * @param held - reports of these ranks
   */
  releaseHeld(now: Millis, held: readonly RankReport[]): IssuedOrder[] {
    return this.issue(now, ranksOf(held), rank => ({
      kind: 'release',
      step: this.reports.get(rank)?.heldAt ?? 0,
    }));
  }

  /** Makes ranks reject orders with earlier tokens. */
  private fenceRanks(
    now: Millis,
    ranks: readonly Rank[],
    token: number,
  ): IssuedOrder[] {
    // Orders need the epoch, which is unknown until the rank has reported.
    const reported = ranks.filter(rank => this.reports.get(rank) !== undefined);
    // The order itself has no effect, however late: no map has or gets the
    // version of a token that is in force while the group is recovered.
    const disarm: CutoverOrder = {kind: 'disarm', map: token};
    const prepare = this.fenceOrder(token);
    return this.issue(now, reported, rank => {
      const report = this.reports.get(rank);
      if (prepare === undefined || report?.armed !== null) return disarm;
      // The preparation hides that of a switch under way.
      if (!this.preparedBefore.has(rank))
        this.preparedBefore.set(rank, report.prepared);
      return prepare;
    });
  }

  /** Fences by version those unarmed ranks that have answered. */
  private fenceVersions(now: Millis, token: number): VersionFencing {
    const {versionFence} = this;
    const ranks = this.fenced.all();
    const order = this.fenceOrder(token);
    const version = fenceVersion(token);
    const unfenced =
      versionFence === undefined
        ? []
        : ranks.filter(report => !versionFence.has(report, version));
    // Ranks that are all armed alike switch together first.
    const waiting = isUniform(ranks) ? [] : unfenced;
    this.isFenceMissing =
      unfenced.length > 0 && (order === undefined || waiting.length === 0);
    if (order === undefined)
      return {isPending: false, canDisarm: true, due: []};
    const unarmed = waiting.filter(({armed}) => armed === null);
    const due = this.issue(now, ranksOf(unarmed), () => order);
    const isAnyFenced = unfenced.length < ranks.length;
    const isComplete = ranks.length === this.reports.ranks().length;
    const canDisarm = isAnyFenced || (isComplete && unarmed.length === 0);
    return {isPending: waiting.length > 0, canDisarm, due};
  }

  private fenceOrder(token: number): CutoverOrder | undefined {
    return this.versionFence?.order(fenceVersion(token), this.reports.all());
  }
}
