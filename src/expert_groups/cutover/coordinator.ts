import type {Millis} from '../../core/index.js';
import type {ExpertMap, MapVersion, Rank, Step} from '../types.js';
import type {MapSwitch} from './map_switch.js';
import {EventBuffer} from './event_buffer.js';
import {expertLists} from './expert_lists.js';
import {OrderTracker} from './order_tracker.js';
import type {OrderFactory} from './order_tracker.js';
import {OrphanDetector} from './cleanup.js';
import {RankReports} from './rank_reports.js';
import {GroupRecovery} from './recovery.js';
import {
  ARM_TIMEOUT,
  MAX_REPORT_AGE,
  PREPARE_TIMEOUT,
  RECOVERY_TIMEOUT,
} from './timing.js';
import {claimOfToken, firstToken, selectHolder, nextToken} from './tokens.js';
import type {CutoverEvent, CutoverOrder, CutoverPhase} from './types.js';
import type {
  OrderOutcome,
  OrderChannel,
  RankReport,
  IssuedOrder,
} from './types.js';
import type {MapLookup} from './version_fence.js';

/**
 * Two-phase switch of a lock-step group from one expert map to the next.
 * Ranks may execute orders late or twice, so the rank reports, not the orders
 * sent, are the source of truth.
 *
 * One rank holds the group before a pass while all ranks are armed for that
 * pass; the hold is released only when all ranks are armed alike or none is.
 * Each switch has its own fencing token, so that every rank which has seen an
 * order of this switch rejects late orders of earlier ones.
 *
 * The coordinator's VM may pause midway, together with its engine. The hold is
 * therefore on another VM, and the coordinator's local rank is armed last: a
 * successor can tell that it is not armed, and proceed without it.
 */
export class CutoverCoordinator {
  private state: CutoverPhase = 'recovering';
  private readonly reports: RankReports;
  private readonly orders = new OrderTracker();
  private readonly recovery: GroupRecovery;
  private token: number;
  private mapSwitch: MapSwitch | undefined;
  private readonly orphanDetector = new OrphanDetector();
  private phaseStartedAt: Millis;
  private readonly events = new EventBuffer();

  /**
   * @param self - local rank, on the same VM as this coordinator
   * @param size - number of ranks in the group
   * @param claim - number of this coordinator's claim, above all earlier ones
   * @param now - current time
   * @param lookup - returns the map in use; given where engines check no tokens
   */
  constructor(
    private readonly self: Rank,
    size: number,
    claim: number,
    now: Millis,
    private readonly lookup?: MapLookup,
  ) {
    this.reports = new RankReports(size);
    this.recovery = new GroupRecovery(
      this.reports,
      this.events,
      (at, ranks, order) => this.issue(at, ranks, order),
      lookup,
    );
    this.token = firstToken(claim, self);
    this.phaseStartedAt = now;
  }

  get phase(): CutoverPhase {
    return this.state;
  }
  get fencingToken(): number {
    return this.token;
  }

  /** Next map version, above all earlier ones; undefined once exhausted. */
  get nextVersion(): MapVersion | undefined {
    return nextToken(this.token);
  }

  reportOf(rank: Rank): RankReport | undefined {
    return this.reports.get(rank);
  }

  /** Removes and returns the events since the last call. */
  drainEvents(): CutoverEvent[] {
    return this.events.drain();
  }

  /**
   * Records a report; cancels the switch if the rank or its group restarted.
   * @param now - current time
   * @param report - report of the rank
   */
  recordReport(now: Millis, report: RankReport): void {
    if (this.isSuperseded(report)) {
      this.enterPhase(now, 'resigned');
      return;
    }
    if (!this.reports.update(now, report)) return;
    // A restarted group has lost its maps, armings and holds.
    this.recovery.remove(report.rank);
    if (this.state === 'idle' || this.state === 'resigned') return;
    this.cancel(now, 'group restarted');
  }

  /** Returns whether a rank that checks no tokens has a newer claim's map. */
  private isSuperseded({map, prepared, armed}: RankReport): boolean {
    const newest = Math.max(map, prepared ?? 0, armed ?? 0);
    return (
      this.lookup !== undefined &&
      claimOfToken(newest) > claimOfToken(this.token)
    );
  }

  /**
   * Records the outcome of an order.
   * @param now - current time
   * @param given - the order
   * @param outcome - outcome of the order
   * @param report - report of the rank, read after the outcome
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
    const isAccepted = outcome === 'accepted';
    this.recovery.recordAnswer(given, isAccepted, report);
    this.orders.recordAnswer(given.rank, isAccepted);
    if (isAccepted) return;
    const {kind} = given.order;
    const isHold = kind === 'hold' && this.state === 'holding';
    // A rank has one hold: it rejects a second one while the first is in place.
    if (isHold) this.postponeHold(report?.heldAt ?? undefined);
    if (kind === 'prepare' && this.state === 'preparing') {
      this.cancel(now, `rank ${given.rank} refused to prepare`);
    }
    if (kind === 'arm' && this.state === 'arming') {
      this.cancel(now, `rank ${given.rank} refused to arm`);
    }
  }

  /** Resets an order that could not be sent, so the next tick reissues it. */
  recordSendFailure({rank, token}: IssuedOrder): void {
    if (token === this.token) this.orders.reset(rank);
  }

  /** Whether a switch may start: all ranks reported recently, on one map. */
  isReady(now: Millis): boolean {
    return (
      this.state === 'idle' &&
      !this.recovery.canFenceLater(this.token) &&
      this.reports.isClean() &&
      this.reports.isConverged(now, MAX_REPORT_AGE)
    );
  }

  /**
   * Starts a switch if the group is ready.
   * @param map - target map
   * @returns the map with its new version; undefined if no switch was started
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

  /** Returns the orders to send now, after advancing as reports allow. */
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

  /** Clears holds and armings of an earlier coordinator or cancelled switch. */
  private recover(now: Millis): IssuedOrder[] {
    if (this.reports.all().some(r => !r.isOpen)) {
      // An incomplete group begins no pass, and restarts with nothing held.
      this.phaseStartedAt = now;
      return [];
    }
    if (now - this.phaseStartedAt > RECOVERY_TIMEOUT) {
      this.enterPhase(now, 'resigned');
      return [];
    }
    const {orders, isClean} = this.recovery.next(now, this.token);
    if (isClean) this.enterPhase(now, 'idle');
    return orders;
  }

  /** Cancels when a hold or an arming is left without a coordinator. */
  private detectOrphans(now: Millis): IssuedOrder[] {
    if (this.orphanDetector.shouldClear(now, this.reports.isClean())) {
      this.cancel(now, 'orphaned hold or arming');
    } else if (this.recovery.canFenceLater(this.token)) {
      this.enterPhase(now, 'recovering');
      this.advanceToken(now);
    }
    return [];
  }

  private prepare(now: Millis): IssuedOrder[] {
    const mapSwitch = this.mapSwitch!;
    if (now - mapSwitch.startedAt > PREPARE_TIMEOUT) {
      this.cancel(now, 'prepare timed out');
      return [];
    }
    if (this.lookup !== undefined && !this.reports.isClean()) {
      this.cancel(now, 'late hold or arming');
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
    const unanswered = waiting.filter(rank => !this.orders.hasAnswered(rank));
    const experts = expertLists(map);
    return this.issue(now, unanswered, () => ({
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
      this.cancel(now, 'hold timed out');
      return [];
    }
    if (this.reports.lastStep() >= step) this.postponeHold();
    if (this.orders.hasAnswered(holder)) return [];
    // Sent directly, so the holder's sidecar plays no part. The holder's VM is
    // as likely to be reachable afterwards as any other.
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
      this.cancel(now, `arm timed out: ranks ${waiting.join(' ')}`);
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
      ...this.recovery.releaseHeld(now, rest),
    ];
  }

  private confirmSwitch(now: Millis): IssuedOrder[] {
    const {version} = this.mapSwitch!.map;
    const reports = this.reports.all();
    if (reports.every(({map}) => map === version)) {
      this.recordEvent('switched');
      this.mapSwitch = undefined;
      this.enterPhase(now, 'idle');
      return [];
    }
    // A copy of the hold that arrives late, before an idle group's next pass.
    const held = reports.filter(r => r.heldAt !== null);
    return this.recovery.releaseHeld(now, held);
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
    this.recovery.clear();
  }

  private postponeHold(heldAt?: Step): void {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) return;
    const latest = Math.max(mapSwitch.step, this.reports.lastStep());
    const margin = this.orders.holdMargin(this.reports.passTime);
    // A late release of an earlier hold at the same pass would end this one.
    const unused =
      this.lookup === undefined ? 0 : this.reports.lastHeldStep() + 1;
    mapSwitch.step = heldAt ?? Math.max(latest + margin, unused);
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
