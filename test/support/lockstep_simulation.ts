import {LockstepEngine} from '../../standins/lockstep_engine.js';
import {Chance} from '../../src/core/index.js';
import {
  CutoverCoordinator,
  ORDER_RETRY_INTERVAL,
  engineDefaultMap,
  expertLists,
  isHoldingPhase,
} from '../../src/expert_groups/index.js';
import type {
  ExpertLists,
  ExpertMap,
  OrderOutcome,
  RankReport,
  IssuedOrder,
} from '../../src/expert_groups/index.js';

const RANKS = 4;
const PASS_MS = 60;
const COPY_MS = 300;
const TICK_INTERVAL = 60;
const NOTICEABLE_GAP = 120;
const REPORT_INTERVAL = 100;
const SHAPE = {
  ranks: RANKS,
  layers: 1,
  experts: 8,
  slotsPerRank: 3,
  expertSize: 1,
};
const INITIAL_EXPERTS = expertLists(engineDefaultMap(SHAPE));

/** Faults to inject while maps are switched. */
export interface FaultPlan {
  /** Share of orders executed 2 to 12 s late, and unanswered. */
  readonly lateOrders: number;
  /** Share of orders executed but not answered. */
  readonly lostAnswers: number;
  /** Share of reports that arrive up to 400 ms late. */
  readonly lateReports: number;
  /** When the coordinator is paused, and for how long, ms. */
  readonly pauses: readonly (readonly [at: number, forMs: number])[];
  /** When a successor claims while the former coordinator still runs, ms. */
  readonly claims: readonly number[];
  /** Whether engines check fencing tokens; true by default. */
  readonly checksFencing?: boolean;
  /** From when coordinators know the map in use, ms; from the start by default. */
  readonly mapKnownFrom?: number;
  /** Each coordinator ends at the first of these times after its claim, ms. */
  readonly ends?: readonly number[];
  /** When no requests run, so that the group begins no pass, ms. */
  readonly idle?: readonly (readonly [at: number, forMs: number])[];
  /** When a rank and therefore the group restarts, ms. */
  readonly restarts: readonly number[];
  /**
   * Pauses the coordinator's VM, including its engine, as soon as the group is
   * held; `next` ms later a successor claims.
   */
  readonly pauseAtHold?: {
    readonly after: number;
    readonly forMs: number;
    readonly next: number;
  };
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

interface PlacedCoordinator {
  readonly rank: number;
  /** When its process ends, ms. */
  readonly endsAt: number;
  readonly coordinator: CutoverCoordinator;
}

/** Simulates a lock-step group and its coordinators under injected faults. */
export class LockstepSimulation {
  now = 0;
  step = 0;
  epoch = 1;
  /** Number of passes that began with two maps. */
  mixedPasses = 0;
  /** Number of map switches completed by all ranks. */
  mapSwitches = 0;
  longestStall = 0;
  /** Number of passes that callers notice as a gap in their streams. */
  delayedPasses = 0;
  private readonly engines: readonly LockstepEngine[];
  private readonly random: Chance;
  private readonly events: ScheduledEvent[] = [];
  private readonly coordinators: PlacedCoordinator[] = [];
  /** End of the pause of each paused rank's VM. */
  private readonly pausedUntil = new Map<number, number>();
  private wasHeld = false;
  private nextPassAt = PASS_MS;
  private nextProposalAt = 500;
  private proposals = 0;
  private lastPassAt = 0;

  /**
   * @param seed - seed of the random numbers
   * @param faults - faults to inject
   */
  constructor(
    seed: number,
    private readonly faults: FaultPlan,
  ) {
    this.random = new Chance(seed);
    this.engines = Array.from(
      {length: RANKS},
      () =>
        new LockstepEngine(
          COPY_MS,
          faults.checksFencing !== false,
          INITIAL_EXPERTS,
        ),
    );
    this.claim(0);
  }

  /**
   * Runs the simulation.
   * @param until - end time, ms
   */
  run(until: number): void {
    const claims = [...this.faults.claims];
    const restarts = [...this.faults.restarts];
    for (; this.now < until; this.now += 5) {
      if (this.now >= (claims[0] ?? Infinity)) {
        claims.shift();
        this.claim(this.coordinators.length % RANKS);
      }
      if (this.now >= (restarts[0] ?? Infinity)) {
        restarts.shift();
        this.epoch += 1;
        for (const engine of this.engines) engine.reset();
      }
      this.runDueEvents();
      this.pauseCoordinatorAtHold();
      if (this.now >= this.nextPassAt) this.beginPass();
      this.tickCoordinators();
    }
  }

  /** Whether no engine is armed or held. */
  get isClean(): boolean {
    return this.engines.every(e => e.armed === null && e.heldAt === null);
  }

  private claim(rank: number): void {
    const claim = this.coordinators.length + 1;
    const lookup = (map: number) => this.expertsOf(map);
    const coordinator = new CutoverCoordinator(
      rank,
      RANKS,
      claim,
      this.now,
      this.faults.checksFencing === false ? lookup : undefined,
    );
    const endsAt = this.faults.ends?.find(at => at > this.now) ?? Infinity;
    this.coordinators.push({rank, coordinator, endsAt});
  }

  /** Returns the experts of a map in use, if coordinators know them. */
  private expertsOf(map: number): ExpertLists | undefined {
    if (this.now < (this.faults.mapKnownFrom ?? 0)) return undefined;
    return this.engines.find(engine => engine.map === map)?.experts;
  }

  /** Returns a map that differs from the one in use. */
  private nextMap(): ExpertMap {
    this.proposals += 1;
    const map = engineDefaultMap(SHAPE);
    // Rank 0 has its last slot to spare, and does not hold these experts.
    const extra = [1, 2, 3, 5, 6, 7];
    for (const layer of map.layers)
      layer[2] = extra[this.proposals % extra.length]!;
    return map;
  }

  private runDueEvents(): void {
    const due = this.events.filter(({at}) => at <= this.now);
    for (const event of due) {
      this.events.splice(this.events.indexOf(event), 1);
      event.run();
    }
  }

  private beginPass(): void {
    const {idle = []} = this.faults;
    if (idle.some(([at, span]) => this.now >= at && this.now < at + span)) {
      this.lastPassAt = this.now;
      return;
    }
    const next = this.step + 1;
    const isHeld = this.engines.some(e => e.heldAt === next);
    if (isHeld) {
      const stall = this.now - this.lastPassAt;
      this.longestStall = Math.max(this.longestStall, stall);
      return;
    }
    this.step = next;
    if (this.now - this.lastPassAt > NOTICEABLE_GAP) this.delayedPasses += 1;
    const before = this.engines[0]!.map;
    for (const engine of this.engines) engine.beginStep(next);
    const maps = new Set(this.engines.map(({map}) => map));
    if (maps.size > 1) this.mixedPasses += 1;
    else if (!maps.has(before)) this.mapSwitches += 1;
    this.lastPassAt = this.now;
    this.nextPassAt = this.now + PASS_MS;
  }

  private isVmPaused(rank: number): boolean {
    return this.now < (this.pausedUntil.get(rank) ?? -Infinity);
  }

  /** Pauses the VM of the newest coordinator once its group is held. */
  private pauseCoordinatorAtHold(): void {
    const {pauseAtHold} = this.faults;
    const newest = this.coordinators.at(-1);
    if (pauseAtHold === undefined || newest === undefined) return;
    const {after, forMs, next} = pauseAtHold;
    const isHeld = this.engines.some(({heldAt}) => heldAt !== null);
    const isNewlyHeld = isHeld && !this.wasHeld;
    this.wasHeld = isHeld;
    if (this.now < after || !isNewlyHeld || this.pausedUntil.size > 0) return;
    this.pausedUntil.set(newest.rank, this.now + forMs);
    this.schedule(next, () => this.claim((newest.rank + 1) % RANKS));
  }

  private isPaused(index: number): boolean {
    if (this.isVmPaused(this.coordinators[index]!.rank)) return true;
    // Only the newest coordinator is paused.
    return (
      index === this.coordinators.length - 1 &&
      this.faults.pauses.some(
        ([at, span]) => this.now >= at && this.now < at + span,
      )
    );
  }

  private tickCoordinators(): void {
    for (const [index, {coordinator, endsAt}] of this.coordinators.entries()) {
      if (this.now >= endsAt || this.isPaused(index)) continue;
      if (this.now % REPORT_INTERVAL === 0) this.sendReports(coordinator);
      const interval = isHoldingPhase(coordinator.phase)
        ? ORDER_RETRY_INTERVAL
        : TICK_INTERVAL;
      if (this.now % interval !== 0) continue;
      if (coordinator.isReady(this.now) && this.now >= this.nextProposalAt) {
        this.nextProposalAt = this.now + 400;
        coordinator.propose(this.now, this.nextMap());
      }
      this.advance(coordinator);
    }
  }

  private advance(coordinator: CutoverCoordinator): void {
    for (const given of coordinator.tick(this.now)) {
      this.deliverOrder(coordinator, given);
    }
  }

  /** Delivers an order's outcome to a coordinator once its VM is not paused. */
  private deliverOutcome(
    coordinator: CutoverCoordinator,
    given: IssuedOrder,
    outcome: OrderOutcome,
    report: RankReport | undefined,
  ): void {
    const index = this.coordinators.findIndex(
      ({coordinator: other}) => other === coordinator,
    );
    if (this.now >= (this.coordinators[index]?.endsAt ?? Infinity)) return;
    if (this.isPaused(index)) {
      this.schedule(5, () =>
        this.deliverOutcome(coordinator, given, outcome, report),
      );
      return;
    }
    coordinator.recordOutcome(this.now, given, outcome, report);
    this.advance(coordinator);
  }

  private sendReports(coordinator: CutoverCoordinator): void {
    for (let rank = 0; rank < RANKS; rank++) {
      if (this.isVmPaused(rank)) continue;
      const report = this.report(rank);
      const isLate = this.random.fraction() < this.faults.lateReports;
      this.schedule(isLate ? this.random.between(10, 400) : 2, () =>
        coordinator.recordReport(this.now, report),
      );
    }
  }

  private deliverOrder(
    coordinator: CutoverCoordinator,
    given: IssuedOrder,
  ): void {
    const {lateOrders, lostAnswers} = this.faults;
    const draw = this.random.fraction();
    if (draw < lateOrders) {
      this.schedule(this.random.between(2_000, 12_000), () =>
        this.executeOrder(given),
      );
      this.schedule(100, () => {
        const report = this.report(given.rank);
        this.deliverOutcome(coordinator, given, 'unanswered', report);
      });
      return;
    }
    this.schedule(this.random.between(1, 15), () => {
      if (this.isVmPaused(given.rank)) {
        // The order stays in the VM's buffers until the VM resumes.
        const remainingMs = this.pausedUntil.get(given.rank)! - this.now;
        this.schedule(remainingMs, () => this.executeOrder(given));
        this.schedule(100, () =>
          this.deliverOutcome(coordinator, given, 'unanswered', undefined),
        );
        return;
      }
      const outcome = this.executeOrder(given);
      const report = this.report(given.rank);
      const received = draw < lateOrders + lostAnswers ? 'unanswered' : outcome;
      this.schedule(this.random.between(1, 15), () =>
        this.deliverOutcome(coordinator, given, received, report),
      );
    });
  }

  private executeOrder({rank, order, token, epoch}: IssuedOrder): OrderOutcome {
    if (epoch !== this.epoch) return 'refused';
    return this.engines[rank]!.applyOrder(this.now, this.step, order, token);
  }

  private report(rank: number): RankReport {
    const engine = this.engines[rank]!;
    const isPrepared = this.now >= engine.preparedAt;
    return {
      group: 'g',
      rank,
      size: RANKS,
      epoch: this.epoch,
      isOpen: true,
      step: this.step,
      map: engine.map,
      prepared: isPrepared ? engine.prepared : null,
      armed: engine.armed?.map ?? null,
      heldAt: engine.heldAt,
      running: 1,
      queued: 0,
      pace: 1,
      bornAt: 0,
    };
  }

  private schedule(delay: number, run: () => void): void {
    this.events.push({at: this.now + delay, run});
  }
}
