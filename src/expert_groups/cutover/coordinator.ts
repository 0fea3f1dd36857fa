import type {Millis} from '../../core/index.js';
import type {ExpertMap, MapVersion, Rank, Step} from '../types.js';
import {expertLists} from './expert_lists.js';
import {OrderBook} from './order_book.js';
import type {OrderFor} from './order_book.js';
import {clearingStep} from './clearing.js';
import {RankReports} from './rank_reports.js';
import {
  ARM_WITHIN,
  FRESH_WITHIN,
  ORPHANED_AFTER,
  PREPARE_WITHIN,
  RECOVER_WITHIN,
} from './timing.js';
import {TOKENS_PER_CLAIM} from './types.js';
import type {
  CutoverEvent,
  CutoverOrder,
  CutoverPhase,
  OrderOutcome,
  RankReport,
  RankedOrder,
} from './types.js';

interface Change {
  readonly map: ExpertMap;
  readonly startedAt: Millis;
  phaseAt: Millis;
  step: Step;
}

/**
 * Takes a lock-step group from one expert map to the next by orders that
 * ranks may carry out late or twice, and never compares its own memory with
 * what a rank reports: the report stands.
 *
 * The group is held at one pass on one rank while all ranks are armed for it;
 * it is released only when all are armed alike, or none is. Each change has a
 * fencing token of its own, so that a late order of an earlier one is refused
 * by every rank that has seen an order of this one.
 */
export class CutoverCoordinator {
  private state: CutoverPhase = 'recovering';
  private readonly reports: RankReports;
  private readonly orders = new OrderBook();
  /**
   * Reports that were read after the rank had answered an order of the
   * present token. Older orders are refused there from then on, so these can
   * only change by orders of this token; other reports may be older.
   */
  private readonly planted = new Map<Rank, RankReport>();
  private token: number;
  private change: Change | undefined;
  private orphanSince: Millis | undefined;
  private phaseAt: Millis;
  private readonly events: CutoverEvent[] = [];

  /**
   * @param self - rank whose engine holds the group
   * @param size - ranks of the group
   * @param claim - number of this coordinator's claim, above all earlier ones
   * @param now - present time
   */
  constructor(
    private readonly self: Rank,
    size: number,
    claim: number,
    now: Millis,
  ) {
    this.reports = new RankReports(size);
    this.token = claim * TOKENS_PER_CLAIM;
    this.phaseAt = now;
  }

  get phase(): CutoverPhase {
    return this.state;
  }
  get fencingToken(): number {
    return this.token;
  }

  /** Above all numbers of maps that any rank has had. */
  get nextVersion(): MapVersion {
    return this.token + 1;
  }

  reportOf(rank: Rank): RankReport | undefined {
    return this.reports.of(rank);
  }

  /** Takes what has happened since the last call. */
  takeEvents(): CutoverEvent[] {
    return this.events.splice(0);
  }

  /**
   * Takes a report of a rank.
   * @param now - present time
   * @param report - the report
   */
  reported(now: Millis, report: RankReport): void {
    if (!this.reports.take(now, report)) return;
    // A group that forms anew has dropped maps, armings and holds.
    this.planted.delete(report.rank);
    if (this.state === 'idle' || this.state === 'resigned') return;
    this.cancel(now, 'group formed anew');
  }

  /**
   * Takes the outcome of an order.
   * @param now - present time
   * @param given - the order
   * @param outcome - what became of it
   * @param report - what the rank reported after it
   */
  answered(
    now: Millis,
    given: RankedOrder,
    outcome: OrderOutcome,
    report: RankReport | undefined,
  ): void {
    if (report !== undefined) this.reported(now, report);
    if (this.state === 'resigned' || given.token !== this.token) return;
    if (outcome === 'fenced') {
      this.enter(now, 'resigned');
      return;
    }
    if (outcome === 'unanswered') this.orders.unanswered(now);
    if (outcome === 'unanswered' || outcome === 'replaced') return;
    // An engine may refuse for the epoch before it looks at the token, and
    // a release that finds no hold may not look at it at all.
    const isPlanted =
      report?.epoch === given.epoch && given.order.kind !== 'release';
    if (isPlanted) this.planted.set(given.rank, report);
    else if (report !== undefined && this.planted.has(given.rank)) {
      this.planted.set(given.rank, report);
    }
    this.orders.answered(given.rank, outcome === 'accepted');
    if (outcome === 'accepted') return;
    const {kind} = given.order;
    if (kind === 'hold' && this.state === 'holding') this.holdLater(now);
    if (kind === 'prepare' && this.state === 'preparing') {
      this.cancel(now, `rank ${given.rank} refused to prepare`);
    }
    if (kind === 'arm' && this.state === 'arming') {
      this.cancel(now, `rank ${given.rank} refused to arm`);
    }
  }

  /**
   * Whether a change may start: every rank was heard lately, on one map.
   */
  isReady(now: Millis): boolean {
    return (
      this.state === 'idle' &&
      this.reports.isClean() &&
      this.reports.isSettled(now, FRESH_WITHIN)
    );
  }

  /**
   * Starts a change; only when ready.
   * @param map - the map to come; it gets the next version
   */
  propose(now: Millis, map: ExpertMap): void {
    if (!this.isReady(now)) return;
    const version = this.nextVersion;
    this.nextToken();
    const numbered = {...map, version};
    this.change = {map: numbered, startedAt: now, phaseAt: now, step: 0};
    this.enter(now, 'preparing');
  }

  /**
   * Goes on as far as the reports allow.
   * @param now - present time
   * @returns orders to give
   */
  tick(now: Millis): RankedOrder[] {
    switch (this.state) {
      case 'resigned':
        return [];
      case 'recovering':
        return this.recover(now);
      case 'idle':
        return this.watch(now);
      case 'preparing':
        return this.prepare(now);
      case 'holding':
        return this.hold(now);
      case 'arming':
        return this.arm(now);
      case 'releasing':
        return this.release(now);
      case 'switching':
        return this.settle(now);
    }
  }

  /** Clears what an earlier coordinator, or a cancelled change, has left. */
  private recover(now: Millis): RankedOrder[] {
    if (this.reports.all().some(r => !r.isOpen)) {
      // A group that is not whole begins no pass, and forms with nothing held.
      this.phaseAt = now;
      return [];
    }
    if (now - this.phaseAt > RECOVER_WITHIN) {
      this.enter(now, 'resigned');
      return [];
    }
    const unplanted = this.reports
      .ranks()
      .filter(rank => !this.planted.has(rank));
    if (unplanted.length > 0) {
      // Without a report the epoch is not known, and orders need it.
      const reported = unplanted.filter(
        rank => this.reports.of(rank) !== undefined,
      );
      // Harmless in itself; from here on older orders are refused there.
      const plant: CutoverOrder = {kind: 'disarm', map: this.nextVersion};
      return this.give(now, reported, () => plant);
    }
    const step = clearingStep([...this.planted.values()]);
    switch (step.kind) {
      case 'look_again':
        this.planted.clear();
        return [];
      case 'disarm':
        return this.give(now, step.ranks, rank => ({
          kind: 'disarm',
          map: this.planted.get(rank)?.armed ?? 0,
        }));
      case 'release':
        return this.releaseHeld(now, step.held);
      case 'clean':
        this.enter(now, 'idle');
        return [];
    }
  }

  /** Looks for holds and armings that no coordinator works on. */
  private watch(now: Millis): RankedOrder[] {
    if (this.reports.isClean()) {
      this.orphanSince = undefined;
      return [];
    }
    this.orphanSince ??= now;
    if (now - this.orphanSince < ORPHANED_AFTER) return [];
    this.orphanSince = undefined;
    this.cancel(now, 'orphaned hold or arming');
    return [];
  }

  private prepare(now: Millis): RankedOrder[] {
    const change = this.change!;
    if (now - change.startedAt > PREPARE_WITHIN) {
      this.cancel(now, 'not prepared in time');
      return [];
    }
    const {map} = change;
    const waiting = this.reports
      .ranks()
      .filter(rank => this.reports.of(rank)?.prepared !== map.version);
    if (waiting.length === 0) {
      this.note('prepared');
      this.holdLater(now);
      this.enter(now, 'holding');
      return this.hold(now);
    }
    const unasked = waiting.filter(rank => !this.orders.isAnswered(rank));
    const experts = expertLists(map);
    return this.give(now, unasked, () => ({
      kind: 'prepare',
      map: map.version,
      experts,
    }));
  }

  private hold(now: Millis): RankedOrder[] {
    const change = this.change!;
    const own = this.reports.of(this.self);
    if (own?.heldAt === change.step) {
      this.note('held');
      this.enter(now, 'arming');
      return this.arm(now);
    }
    if (now - this.phaseAt > ARM_WITHIN) {
      this.cancel(now, 'not held in time');
      return [];
    }
    if (this.reports.lastStep() >= change.step) this.holdLater(now);
    if (this.orders.isAnswered(this.self)) return [];
    return this.give(now, [this.self], () => ({
      kind: 'hold',
      step: change.step,
    }));
  }

  private arm(now: Millis): RankedOrder[] {
    const {map, step} = this.change!;
    const waiting = this.reports
      .ranks()
      .filter(rank => this.reports.of(rank)?.armed !== map.version);
    if (waiting.length === 0) {
      this.note('armed');
      this.enter(now, 'releasing');
      return this.release(now);
    }
    if (now - this.phaseAt > ARM_WITHIN) {
      this.cancel(now, `not armed in time: ranks ${waiting.join(' ')}`);
      return [];
    }
    return this.give(now, waiting, () => ({
      kind: 'arm',
      map: map.version,
      step,
    }));
  }

  private release(now: Millis): RankedOrder[] {
    const held = this.reports.all().filter(r => r.heldAt !== null);
    if (held.length === 0 && this.orders.isAnswered(this.self)) {
      this.note('released');
      this.enter(now, 'switching');
      return [];
    }
    const {step} = this.change!;
    const rest = held.filter(r => r.rank !== this.self);
    return [
      ...this.give(now, [this.self], () => ({kind: 'release', step})),
      ...this.releaseHeld(now, rest),
    ];
  }

  private settle(now: Millis): RankedOrder[] {
    const {version} = this.change!.map;
    const reports = this.reports.all();
    if (reports.every(r => r.map === version)) {
      this.note('switched');
      this.change = undefined;
      this.enter(now, 'idle');
    }
    return [];
  }

  private releaseHeld(now: Millis, held: readonly RankReport[]): RankedOrder[] {
    return this.give(
      now,
      held.map(r => r.rank),
      rank => ({
        kind: 'release',
        step: this.reports.of(rank)?.heldAt ?? 0,
      }),
    );
  }

  private cancel(now: Millis, detail: string): void {
    this.note('cancelled', `${this.state}: ${detail}`);
    this.change = undefined;
    this.nextToken();
    this.enter(now, 'recovering');
  }

  private nextToken(): void {
    this.token += 1;
    this.planted.clear();
  }

  private holdLater(now: Millis): void {
    const {change} = this;
    if (change === undefined) return;
    const latest = Math.max(change.step, this.reports.lastStep());
    change.step = latest + this.orders.holdMargin(now);
    this.orders.forget(this.self);
  }

  private enter(now: Millis, phase: CutoverPhase): void {
    this.state = phase;
    this.phaseAt = now;
    this.orders.clear();
  }

  private give(
    now: Millis,
    ranks: readonly Rank[],
    order: OrderFor,
  ): RankedOrder[] {
    return this.orders.give(now, ranks, rank => {
      const epoch = this.reports.of(rank)?.epoch ?? 0;
      return {rank, order: order(rank), token: this.token, epoch};
    });
  }

  private note(event: CutoverEvent['event'], detail?: string): void {
    this.events.push({event, map: this.change?.map.version ?? 0, detail});
  }
}
