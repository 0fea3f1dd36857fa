import type {Millis} from '../../core/index.js';
import type {ExpertMap, MapVersion, Rank, Step} from '../types.js';
import type {MapChange} from './change.js';
import {EventNotes} from './event_notes.js';
import {expertLists} from './expert_lists.js';
import {OrderBook} from './order_book.js';
import type {OrderFor} from './order_book.js';
import {FencedReports, OrphanWatch, clearingStep} from './clearing.js';
import {RankReports, ranksOf} from './rank_reports.js';
import {
  ARM_WITHIN,
  FRESH_WITHIN,
  PREPARE_WITHIN,
  RECOVER_WITHIN,
} from './timing.js';
import {firstToken, holderFor, tokenAfter} from './tokens.js';
import type {CutoverEvent, CutoverOrder, CutoverPhase} from './types.js';
import type {OrderOutcome, OrderWay, RankReport, RankedOrder} from './types.js';

/**
 * Takes a lock-step group from one expert map to the next by orders that
 * ranks may carry out late or twice, and never compares its own memory with
 * what a rank reports: the report stands.
 *
 * The group is held at one pass on one rank while all ranks are armed for it;
 * it is released only when all are armed alike, or none is. Each change has a
 * fencing token of its own, so that a late order of an earlier one is refused
 * by every rank that has seen an order of this one.
 *
 * The VM of the coordinator may stand still in the middle, its engine with it.
 * The hold is therefore on another VM, and the rank beside the coordinator is
 * armed last: a successor can tell that it is not, and go on without it.
 */
export class CutoverCoordinator {
  private state: CutoverPhase = 'recovering';
  private readonly reports: RankReports;
  private readonly orders = new OrderBook();
  private readonly fenced = new FencedReports();
  private token: number;
  private change: MapChange | undefined;
  private readonly orphans = new OrphanWatch();
  private phaseAt: Millis;
  private readonly events = new EventNotes();

  /**
   * @param self - rank beside which this coordinator runs
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
    this.token = firstToken(claim, self);
    this.phaseAt = now;
  }

  get phase(): CutoverPhase {
    return this.state;
  }
  get fencingToken(): number {
    return this.token;
  }

  /** Above all numbers of maps that any rank has had; none once used up. */
  get nextVersion(): MapVersion | undefined {
    return tokenAfter(this.token);
  }

  reportOf(rank: Rank): RankReport | undefined {
    return this.reports.of(rank);
  }

  /** Takes what has happened since the last call. */
  takeEvents(): CutoverEvent[] {
    return this.events.take();
  }

  /**
   * Takes a report of a rank.
   * @param now - present time
   * @param report - the report
   */
  reported(now: Millis, report: RankReport): void {
    if (!this.reports.take(now, report)) return;
    // A group that forms anew has dropped maps, armings and holds.
    this.fenced.drop(report.rank);
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
    if (outcome === 'not_given') return this.notSent(given);
    if (outcome === 'unanswered') this.orders.unanswered();
    if (outcome === 'unanswered' || outcome === 'replaced') return;
    // An engine may refuse for the epoch before it looks at the token, and
    // a release that finds no hold may not look at it at all.
    const isFenced =
      report?.epoch === given.epoch && given.order.kind !== 'release';
    if (isFenced) this.fenced.fence(report);
    else if (report !== undefined) this.fenced.update(report);
    this.orders.answered(given.rank, outcome === 'accepted');
    if (outcome === 'accepted') return;
    const {kind} = given.order;
    const isHold = kind === 'hold' && this.state === 'holding';
    // A rank has one hold: it refuses a second one while the first stands.
    if (isHold) this.holdLater(report?.heldAt ?? undefined);
    if (kind === 'prepare' && this.state === 'preparing') {
      this.cancel(now, `rank ${given.rank} refused to prepare`);
    }
    if (kind === 'arm' && this.state === 'arming') {
      this.cancel(now, `rank ${given.rank} refused to arm`);
    }
  }

  /** An order could not be sent; it is given again at the next tick. */
  notSent({rank, token}: RankedOrder): void {
    if (token === this.token) this.orders.forget(rank);
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
   * @param map - the map to come
   * @returns the map under its version; nothing when it did not start
   */
  propose(now: Millis, map: ExpertMap): ExpertMap | undefined {
    if (!this.isReady(now)) return undefined;
    const version = this.nextVersion;
    if (version === undefined) {
      this.enter(now, 'resigned');
      return undefined;
    }
    this.nextToken(now);
    const holder = holderFor(version, this.reports.ranks());
    const numbered = {...map, version};
    this.change = {map: numbered, startedAt: now, holder, step: 0};
    this.enter(now, 'preparing');
    return numbered;
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
    const missing = this.reports.ranks().filter(rank => !this.fenced.has(rank));
    const fences = this.fence(now, missing);
    const step = clearingStep(this.fenced, missing);
    switch (step.kind) {
      case 'wait':
        this.events.waiting(missing);
        return fences;
      case 'look_again':
        this.fenced.clear();
        return [];
      case 'disarm': {
        const disarms = this.give(now, ranksOf(step.armed), rank => ({
          kind: 'disarm',
          map: step.armed.find(r => r.rank === rank)?.armed ?? 0,
        }));
        return [...fences, ...disarms];
      }
      case 'release':
        this.events.waiting(missing);
        return [...fences, ...this.releaseHeld(now, step.held)];
      case 'clean':
        this.enter(now, 'idle');
        return [];
    }
  }

  /** Makes ranks refuse the orders of earlier tokens. */
  private fence(now: Millis, ranks: readonly Rank[]): RankedOrder[] {
    const {nextVersion} = this;
    if (nextVersion === undefined) {
      this.enter(now, 'resigned');
      return [];
    }
    // Without a report the epoch is not known, and orders need it.
    const reported = ranks.filter(rank => this.reports.of(rank) !== undefined);
    // Harmless in itself: no rank has a map of that number.
    const order: CutoverOrder = {kind: 'disarm', map: nextVersion};
    return this.give(now, reported, () => order);
  }

  /** Looks for holds and armings that no coordinator works on. */
  private watch(now: Millis): RankedOrder[] {
    if (this.orphans.areDue(now, this.reports.isClean())) {
      this.cancel(now, 'orphaned hold or arming');
    }
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
      this.holdLater();
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
    const {holder, step} = change;
    if (this.reports.of(holder)?.heldAt === step) {
      this.note('held');
      this.enter(now, 'arming');
      return this.arm(now);
    }
    if (now - this.phaseAt > ARM_WITHIN) {
      this.cancel(now, 'not held in time');
      return [];
    }
    if (this.reports.lastStep() >= step) this.holdLater();
    if (this.orders.isAnswered(holder)) return [];
    // Given by this VM: the VM of the holder takes no part, and is as likely
    // to be there afterwards as any other.
    const hold: CutoverOrder = {kind: 'hold', step: change.step};
    return this.give(now, [holder], () => hold, 'direct');
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
    const others = waiting.filter(rank => rank !== this.self);
    const next = others.length > 0 ? others : waiting;
    const order: CutoverOrder = {kind: 'arm', map: map.version, step};
    return this.give(now, next, () => order);
  }

  private release(now: Millis): RankedOrder[] {
    const {step, holder} = this.change!;
    const held = this.reports.all().filter(r => r.heldAt !== null);
    if (held.length === 0 && this.orders.isAnswered(holder)) {
      this.note('released');
      this.enter(now, 'switching');
      return [];
    }
    const rest = held.filter(r => r.rank !== holder);
    return [
      ...this.give(now, [holder], () => ({kind: 'release', step})),
      ...this.releaseHeld(now, rest),
    ];
  }

  private settle(now: Millis): RankedOrder[] {
    const {version} = this.change!.map;
    if (this.reports.all().every(({map}) => map === version)) {
      this.note('switched');
      this.change = undefined;
      this.enter(now, 'idle');
    }
    return [];
  }

  private releaseHeld(now: Millis, held: readonly RankReport[]): RankedOrder[] {
    return this.give(now, ranksOf(held), rank => ({
      kind: 'release',
      step: this.reports.of(rank)?.heldAt ?? 0,
    }));
  }

  private cancel(now: Millis, detail: string): void {
    this.note('cancelled', `${this.state}: ${detail}`);
    this.change = undefined;
    this.enter(now, 'recovering');
    this.nextToken(now);
  }

  private nextToken(now: Millis): void {
    const next = tokenAfter(this.token);
    if (next === undefined) this.enter(now, 'resigned');
    else this.token = next;
    this.fenced.clear();
  }

  private holdLater(heldAt?: Step): void {
    const {change} = this;
    if (change === undefined) return;
    const latest = Math.max(change.step, this.reports.lastStep());
    const margin = this.orders.holdMargin(this.reports.passTime);
    change.step = heldAt ?? latest + margin;
    this.orders.forget(change.holder);
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
    way: OrderWay = 'beside',
  ): RankedOrder[] {
    return this.orders.give(now, ranks, rank => {
      const epoch = this.reports.of(rank)?.epoch ?? 0;
      return {rank, order: order(rank), token: this.token, epoch, way};
    });
  }

  private note(event: CutoverEvent['event'], detail?: string): void {
    this.events.note(event, this.change?.map.version, detail);
  }
}
