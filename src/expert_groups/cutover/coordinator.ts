import type {Millis} from '../../core/index.js';
import type {ExpertMap, MapVersion, Rank, Step} from '../types.js';
import type {MapSwitch} from './map_switch.js';
import {EventBuffer} from './event_buffer.js';
import {expertLists} from './expert_lists.js';
import {OrderTracker} from './order_tracker.js';
import type {OrderFactory} from './order_tracker.js';
import {FencedReports, OrphanDetector, nextCleanupStep} from './cleanup.js';
import {RankReports, ranksOf} from './rank_reports.js';
import {
  ARM_TIMEOUT,
  MAX_REPORT_AGE,
  PREPARE_TIMEOUT,
  RECOVERY_TIMEOUT,
} from './timing.js';
import {firstToken, selectHolder, nextToken} from './tokens.js';
import type {CutoverEvent, CutoverOrder, CutoverPhase} from './types.js';
import type {
  OrderOutcome,
  OrderChannel,
  RankReport,
  IssuedOrder,
} from './types.js';

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
  private readonly orders = new OrderTracker();
  private readonly fenced = new FencedReports();
  private token: number;
  private mapSwitch: MapSwitch | undefined;
  private readonly orphanDetector = new OrphanDetector();
  private phaseStartedAt: Millis;
  private readonly events = new EventBuffer();

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
    this.phaseStartedAt = now;
  }

  get phase(): CutoverPhase {
    return this.state;
  }
  get fencingToken(): number {
    return this.token;
  }

  /** Above all numbers of maps that any rank has had; none once used up. */
  get nextVersion(): MapVersion | undefined {
    return nextToken(this.token);
  }

  reportOf(rank: Rank): RankReport | undefined {
    return this.reports.get(rank);
  }

  /** Takes what has happened since the last call. */
  drainEvents(): CutoverEvent[] {
    return this.events.drain();
  }

  /**
   * Takes a report of a rank.
   * @param now - present time
   * @param report - the report
   */
  recordReport(now: Millis, report: RankReport): void {
    if (!this.reports.update(now, report)) return;
    // A group that forms anew has dropped maps, armings and holds.
    this.fenced.remove(report.rank);
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
  recordOutcome(
    now: Millis,
    given: IssuedOrder,
    outcome: OrderOutcome,
    report: RankReport | undefined,
  ): void {
    if (report !== undefined) this.recordReport(now, report);
    if (this.state === 'resigned' || given.token !== this.token) return;
    if (outcome === 'fenced') {
      this.enterPhase(now, 'resigned');
      return;
    }
    if (outcome === 'not_given') return this.recordSendFailure(given);
    if (outcome === 'unanswered') this.orders.recordTimeout();
    if (outcome === 'unanswered' || outcome === 'replaced') return;
    // An engine may refuse for the epoch before it looks at the token, and
    // a release that finds no hold may not look at it at all.
    const isFenced =
      report?.epoch === given.epoch && given.order.kind !== 'release';
    if (isFenced) this.fenced.add(report);
    else if (report !== undefined) this.fenced.update(report);
    this.orders.recordAnswer(given.rank, outcome === 'accepted');
    if (outcome === 'accepted') return;
    const {kind} = given.order;
    const isHold = kind === 'hold' && this.state === 'holding';
    // A rank has one hold: it refuses a second one while the first stands.
    if (isHold) this.postponeHold(report?.heldAt ?? undefined);
    if (kind === 'prepare' && this.state === 'preparing') {
      this.cancel(now, `rank ${given.rank} refused to prepare`);
    }
    if (kind === 'arm' && this.state === 'arming') {
      this.cancel(now, `rank ${given.rank} refused to arm`);
    }
  }

  /** An order could not be sent; it is given again at the next tick. */
  recordSendFailure({rank, token}: IssuedOrder): void {
    if (token === this.token) this.orders.reset(rank);
  }

  /**
   * Whether a change may start: every rank was heard lately, on one map.
   */
  isReady(now: Millis): boolean {
    return (
      this.state === 'idle' &&
      this.reports.isClean() &&
      this.reports.isConverged(now, MAX_REPORT_AGE)
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
      this.enterPhase(now, 'resigned');
      return undefined;
    }
    this.advanceToken(now);
    const holder = selectHolder(version, this.reports.ranks());
    const numbered = {...map, version};
    this.mapSwitch = {map: numbered, startedAt: now, holder, step: 0};
    this.enterPhase(now, 'preparing');
    return numbered;
  }

  /**
   * Goes on as far as the reports allow.
   * @param now - present time
   * @returns orders to give
   */
  tick(now: Millis): IssuedOrder[] {
    switch (this.state) {
      case 'resigned':
        return [];
      case 'recovering':
        return this.recover(now);
      case 'idle':
        return this.detectOrphans(now);
      case 'preparing':
        return this.prepare(now);
      case 'holding':
        return this.hold(now);
      case 'arming':
        return this.arm(now);
      case 'releasing':
        return this.release(now);
      case 'switching':
        return this.confirmSwitch(now);
    }
  }

  /** Clears what an earlier coordinator, or a cancelled change, has left. */
  private recover(now: Millis): IssuedOrder[] {
    if (this.reports.all().some(r => !r.isOpen)) {
      // A group that is not whole begins no pass, and forms with nothing held.
      this.phaseStartedAt = now;
      return [];
    }
    if (now - this.phaseStartedAt > RECOVERY_TIMEOUT) {
      this.enterPhase(now, 'resigned');
      return [];
    }
    const missing = this.reports.ranks().filter(rank => !this.fenced.has(rank));
    const fences = this.fenceRanks(now, missing);
    const step = nextCleanupStep(this.fenced, missing);
    switch (step.kind) {
      case 'wait':
        this.events.recordMissing(missing);
        return fences;
      case 'look_again':
        this.fenced.clear();
        return [];
      case 'disarm': {
        const disarms = this.issue(now, ranksOf(step.armed), rank => ({
          kind: 'disarm',
          map: step.armed.find(r => r.rank === rank)?.armed ?? 0,
        }));
        return [...fences, ...disarms];
      }
      case 'release':
        this.events.recordMissing(missing);
        return [...fences, ...this.releaseHeld(now, step.held)];
      case 'clean':
        this.enterPhase(now, 'idle');
        return [];
    }
  }

  /** Makes ranks refuse the orders of earlier tokens. */
  private fenceRanks(now: Millis, ranks: readonly Rank[]): IssuedOrder[] {
    const {nextVersion} = this;
    if (nextVersion === undefined) {
      this.enterPhase(now, 'resigned');
      return [];
    }
    // Without a report the epoch is not known, and orders need it.
    const reported = ranks.filter(rank => this.reports.get(rank) !== undefined);
    // Harmless in itself: no rank has a map of that number.
    const order: CutoverOrder = {kind: 'disarm', map: nextVersion};
    return this.issue(now, reported, () => order);
  }

  /** Looks for holds and armings that no coordinator works on. */
  private detectOrphans(now: Millis): IssuedOrder[] {
    if (this.orphanDetector.shouldClear(now, this.reports.isClean())) {
      this.cancel(now, 'orphaned hold or arming');
    }
    return [];
  }

  private prepare(now: Millis): IssuedOrder[] {
    const mapSwitch = this.mapSwitch!;
    if (now - mapSwitch.startedAt > PREPARE_TIMEOUT) {
      this.cancel(now, 'not prepared in time');
      return [];
    }
    const {map} = mapSwitch;
    const waiting = this.reports
      .ranks()
      .filter(rank => this.reports.get(rank)?.prepared !== map.version);
    if (waiting.length === 0) {
      this.recordEvent('prepared');
      this.postponeHold();
      this.enterPhase(now, 'holding');
      return this.hold(now);
    }
    const unasked = waiting.filter(rank => !this.orders.hasAnswered(rank));
    const experts = expertLists(map);
    return this.issue(now, unasked, () => ({
      kind: 'prepare',
      map: map.version,
      experts,
    }));
  }

  private hold(now: Millis): IssuedOrder[] {
    const mapSwitch = this.mapSwitch!;
    const {holder, step} = mapSwitch;
    if (this.reports.get(holder)?.heldAt === step) {
      this.recordEvent('held');
      this.enterPhase(now, 'arming');
      return this.arm(now);
    }
    if (now - this.phaseStartedAt > ARM_TIMEOUT) {
      this.cancel(now, 'not held in time');
      return [];
    }
    if (this.reports.lastStep() >= step) this.postponeHold();
    if (this.orders.hasAnswered(holder)) return [];
    // Given by this VM: the VM of the holder takes no part, and is as likely
    // to be there afterwards as any other.
    const hold: CutoverOrder = {kind: 'hold', step: mapSwitch.step};
    return this.issue(now, [holder], () => hold, 'direct');
  }

  private arm(now: Millis): IssuedOrder[] {
    const {map, step} = this.mapSwitch!;
    const waiting = this.reports
      .ranks()
      .filter(rank => this.reports.get(rank)?.armed !== map.version);
    if (waiting.length === 0) {
      this.recordEvent('armed');
      this.enterPhase(now, 'releasing');
      return this.release(now);
    }
    if (now - this.phaseStartedAt > ARM_TIMEOUT) {
      this.cancel(now, `not armed in time: ranks ${waiting.join(' ')}`);
      return [];
    }
    const others = waiting.filter(rank => rank !== this.self);
    const next = others.length > 0 ? others : waiting;
    const order: CutoverOrder = {kind: 'arm', map: map.version, step};
    return this.issue(now, next, () => order);
  }

  private release(now: Millis): IssuedOrder[] {
    const {step, holder} = this.mapSwitch!;
    const held = this.reports.all().filter(r => r.heldAt !== null);
    if (held.length === 0 && this.orders.hasAnswered(holder)) {
      this.recordEvent('released');
      this.enterPhase(now, 'switching');
      return [];
    }
    const rest = held.filter(r => r.rank !== holder);
    return [
      ...this.issue(now, [holder], () => ({kind: 'release', step})),
      ...this.releaseHeld(now, rest),
    ];
  }

  private confirmSwitch(now: Millis): IssuedOrder[] {
    const {version} = this.mapSwitch!.map;
    if (this.reports.all().every(({map}) => map === version)) {
      this.recordEvent('switched');
      this.mapSwitch = undefined;
      this.enterPhase(now, 'idle');
    }
    return [];
  }

  private releaseHeld(now: Millis, held: readonly RankReport[]): IssuedOrder[] {
    return this.issue(now, ranksOf(held), rank => ({
      kind: 'release',
      step: this.reports.get(rank)?.heldAt ?? 0,
    }));
  }

  private cancel(now: Millis, detail: string): void {
    this.recordEvent('cancelled', `${this.state}: ${detail}`);
    this.mapSwitch = undefined;
    this.enterPhase(now, 'recovering');
    this.advanceToken(now);
  }

  private advanceToken(now: Millis): void {
    const next = nextToken(this.token);
    if (next === undefined) this.enterPhase(now, 'resigned');
    else this.token = next;
    this.fenced.clear();
  }

  private postponeHold(heldAt?: Step): void {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) return;
    const latest = Math.max(mapSwitch.step, this.reports.lastStep());
    const margin = this.orders.holdMargin(this.reports.passTime);
    mapSwitch.step = heldAt ?? latest + margin;
    this.orders.reset(mapSwitch.holder);
  }

  private enterPhase(now: Millis, phase: CutoverPhase): void {
    this.state = phase;
    this.phaseStartedAt = now;
    this.orders.clear();
  }

  private issue(
    now: Millis,
    ranks: readonly Rank[],
    order: OrderFactory,
    way: OrderChannel = 'beside',
  ): IssuedOrder[] {
    return this.orders.issue(now, ranks, rank => {
      const epoch = this.reports.get(rank)?.epoch ?? 0;
      return {rank, order: order(rank), token: this.token, epoch, channel: way};
    });
  }

  private recordEvent(event: CutoverEvent['event'], detail?: string): void {
    this.events.record(event, this.mapSwitch?.map.version, detail);
  }
}
