import type {Incarnation} from '../core/index.js';
import {incarnation} from '../core/index.js';
import type {
  PendingSwitch,
  RankAnswer,
  RankOrder,
  UnableReason,
} from './messages.js';
import {TermGuard} from './term_guard.js';
import type {
  EngineOrder,
  EngineState,
  MapVersion,
  Rank,
  RankIncarnation,
  Step,
  Term,
} from './types.js';

/** What a rank's sidecar is to do. */
export type RankEffect =
  | {
      readonly type: 'answer';
      readonly to: Incarnation;
      readonly message: RankAnswer;
    }
  | {
      readonly type: 'order';
      readonly order: EngineOrder;
      /** The life of the engine that the order is meant for. */
      readonly engine: string;
      /** Fencing number, for engines that check it. */
      readonly fence: Term;
    };

interface Preparation {
  readonly from: MapVersion;
  readonly map: MapVersion;
  readonly step: Step;
  /** Name of the hold at the engine. */
  readonly token: string;
}

/**
 * One rank of a group, at its sidecar: obeys the coordinator with the highest
 * term, and brings its engine to what was asked, one order at a time. An order
 * without an answer is repeated after the engine's state was read again.
 */
export class RankMember {
  private readonly guard = new TermGuard();
  private engine: EngineState | undefined;
  private isOrderInFlight = false;
  /** What the rank agreed to and no decision came for. */
  private prepared: Preparation | undefined;
  /** The last decision, obeyed or not yet. */
  private decidedMap: MapVersion | undefined;
  /** The change that a rank without a map joins before. */
  private switchToJoin: PendingSwitch | null = null;
  private stagingMap: MapVersion | undefined;
  /** Whether a hold that an earlier sidecar left has this one's name. */
  private isHoldOwned = false;
  private isReportDue = false;
  /** Number of the latest order of the term. */
  private seq = 0;
  /** The order of the coordinator that has no answer yet. */
  private openOrder: RankOrder['type'] | undefined;

  /**
   * @param group - name of the group
   * @param rank - number of the rank
   * @param self - this sidecar process
   */
  constructor(
    private readonly group: string,
    private readonly rank: Rank,
    private readonly self: Incarnation,
  ) {}

  /** The highest term that the rank knows. */
  get term(): Term {
    return this.guard.term;
  }

  /** The map in use or decided on, null without one. */
  get map(): MapVersion | null {
    const {engine} = this;
    return this.decidedMap ?? engine?.next?.map ?? engine?.map ?? null;
  }

  /** Whether the rank waits for a decision or its engine for a change. */
  get isSwitching(): boolean {
    const {engine} = this;
    return this.prepared !== undefined || (engine?.hold ?? null) !== null;
  }

  /** The engine as it was read last. */
  get lastEngineState(): EngineState | undefined {
    return this.engine;
  }

  /**
   * Takes an order of a coordinator.
   * @param from - the coordinator
   * @param order - its order
   */
  receive(from: Incarnation, order: RankOrder): RankEffect[] {
    const before = this.guard.term;
    if (!this.guard.accept(order.term, from)) {
      const {group, guard} = this;
      const refused = order.term;
      const message = {type: 'group_stale', group, refused} as const;
      return [
        {type: 'answer', to: from, message: {...message, term: guard.term}},
      ];
    }
    if (order.term > before) this.resetForTerm();
    if (order.type === 'group_inquire' || order.to !== this.incarnation) {
      this.isReportDue = true;
      return this.reconcile();
    }
    // A repeat that an order after it has overtaken.
    if (order.seq < this.seq) return [];
    this.seq = order.seq;
    this.openOrder = order.type;
    switch (order.type) {
      case 'group_stage':
        this.stagingMap = order.map;
        return this.reconcile();
      case 'group_prepare':
        return this.prepare(order);
      case 'group_decide':
        return this.decide(order.map, order.pending);
    }
  }

  /**
   * The engine's state was read, after an order or by itself.
   * @param state - the state; nothing when the engine did not answer
   */
  observe(state: EngineState | undefined): RankEffect[] {
    this.isOrderInFlight = false;
    if (state === undefined) return [];
    if (state.engine !== this.engine?.engine) this.resetForEngine(state);
    this.engine = state;
    return this.reconcile();
  }

  private get incarnation(): RankIncarnation {
    const {communicator = ''} = this.engine ?? {};
    return incarnation(`${this.ownerId}#${communicator}`);
  }

  /** Starts the names of this sidecar's holds at this engine. */
  private get ownerId(): string {
    return `${this.self}#${this.engine?.engine ?? ''}`;
  }

  /** Another engine process knows nothing of what was agreed. */
  private resetForEngine(state: EngineState): void {
    this.decidedMap = undefined;
    this.stagingMap = undefined;
    this.openOrder = undefined;
    this.prepared = undefined;
    this.isHoldOwned = state.hold === null;
  }

  private resetForTerm(): void {
    this.seq = 0;
    this.openOrder = undefined;
    this.stagingMap = undefined;
  }

  private prepare(
    order: Extract<RankOrder, {type: 'group_prepare'}>,
  ): RankEffect[] {
    const {from, map, step} = order;
    if (this.prepared?.map === map) return this.reconcile();
    if (this.prepared !== undefined) return this.rejectOrder(map, 'undecided');
    if (this.map === map) return this.reconcile();
    if (this.map !== from) return this.rejectOrder(map, 'other_map');
    if (this.engine?.hold || this.engine?.next) {
      return [...this.reconcile(), ...this.rejectOrder(map, 'undecided')];
    }
    const token = `${this.ownerId}@${map}`;
    this.prepared = {from, map, step, token};
    this.decidedMap = undefined;
    return this.reconcile();
  }

  private decide(map: MapVersion, pending: PendingSwitch | null): RankEffect[] {
    const {prepared} = this;
    const currentMap = this.map;
    const isConsistent =
      currentMap === null ||
      currentMap === map ||
      (prepared !== undefined && prepared.map === map);
    if (!isConsistent && (this.engine?.hold ?? null) === null) {
      return this.rejectOrder(map, 'inconsistent');
    }
    this.decidedMap = map;
    this.switchToJoin = pending;
    this.prepared = undefined;
    return this.reconcile();
  }

  /** Compares what is wanted with the engine's state: the next thing to do. */
  private reconcile(): RankEffect[] {
    const {engine} = this;
    if (engine === undefined || this.isOrderInFlight) return [];
    if (!this.isHoldOwned) return this.adoptHold(engine);
    const reports = this.isReportDue ? this.report(engine) : [];
    if (this.decidedMap !== undefined) {
      return [...reports, ...this.applyDecision(engine, this.decidedMap)];
    }
    if (this.prepared !== undefined) {
      return [...reports, ...this.holdEngine(engine, this.prepared)];
    }
    if (this.stagingMap === undefined) return reports;
    return [...reports, ...this.stageMap(engine, this.stagingMap)];
  }

  /**
   * Gives a hold that an earlier sidecar left a new name before anything is
   * reported, so that a release of that sidecar still on its way fails.
   */
  private adoptHold(engine: EngineState): RankEffect[] {
    const {hold} = engine;
    if (hold === null || hold.token.startsWith(`${this.ownerId}@`)) {
      this.isHoldOwned = true;
      return this.reconcile();
    }
    const token = `${this.ownerId}@adopted`;
    const {step} = hold;
    return this.orderEngine({kind: 'hold', token, step, replaces: hold.token});
  }

  private applyDecision(engine: EngineState, map: MapVersion): RankEffect[] {
    const {hold} = engine;
    const missing = this.missingMap(engine, map);
    if (missing !== undefined)
      return this.orderEngine({kind: 'stage', map: missing});
    if (hold !== null) {
      return this.orderEngine({kind: 'release', token: hold.token, map});
    }
    if (engine.map === null) return this.assignMap(map);
    const running = engine.next?.map ?? engine.map;
    if (running !== map) return this.rejectOrder(map, 'inconsistent');
    const settled = this.answerOnce('group_decide', {
      type: 'group_settled',
      ...this.answerFields(map),
    });
    const {stagingMap} = this;
    if (stagingMap === undefined || stagingMap === map) return settled;
    return [...settled, ...this.stageMap(engine, stagingMap)];
  }

  /** A map that has to be loaded before the decision can be obeyed. */
  private missingMap(
    {map, staged}: EngineState,
    wanted: MapVersion,
  ): MapVersion | undefined {
    const needed = [wanted];
    if (map === null && this.switchToJoin) needed.push(this.switchToJoin.from);
    return needed.find(other => other !== map && !staged.includes(other));
  }

  /** The others run on the map before until the step of the change. */
  private assignMap(map: MapVersion): RankEffect[] {
    if (this.switchToJoin === null) {
      return this.orderEngine({kind: 'assign', map, next: null});
    }
    const {from, step} = this.switchToJoin;
    return this.orderEngine({kind: 'assign', map: from, next: {map, step}});
  }

  private holdEngine(engine: EngineState, wanted: Preparation): RankEffect[] {
    const {map, step, token} = wanted;
    const {hold} = engine;
    if (hold?.token === token) {
      const fields = this.answerFields(map);
      const message = {type: 'group_promised', ...fields} as const;
      return this.answerOnce('group_prepare', {...message, step: hold.step});
    }
    if (hold !== null) {
      // An order of an earlier change that came late.
      const release = {kind: 'release', token: hold.token} as const;
      return this.orderEngine({...release, map: wanted.from});
    }
    if (engine.step >= step) {
      this.prepared = undefined;
      this.decidedMap = wanted.from;
      return [...this.rejectOrder(map, 'step_passed'), ...this.reconcile()];
    }
    return this.orderEngine({kind: 'hold', token, step, replaces: null});
  }

  private stageMap(engine: EngineState, map: MapVersion): RankEffect[] {
    if (!engine.staged.includes(map) && engine.map !== map) {
      return this.orderEngine({kind: 'stage', map});
    }
    this.stagingMap = undefined;
    return this.answerOnce('group_stage', {
      type: 'group_staged',
      ...this.answerFields(map),
    });
  }

  private report(engine: EngineState): RankEffect[] {
    this.isReportDue = false;
    const {group, rank, incarnation, map} = this;
    return this.answer({
      type: 'group_report',
      ...{group, rank, incarnation, map},
      term: this.guard.term,
      step: engine.step,
      pending: this.unfinishedSwitch(engine),
      communicator: engine.communicator,
    });
  }

  private unfinishedSwitch({
    map,
    hold,
    next,
  }: EngineState): PendingSwitch | null {
    const step = next?.step ?? hold?.step;
    if (map === null || step === undefined || this.map === map) return null;
    return {from: map, step};
  }

  private rejectOrder(map: MapVersion, reason: UnableReason): RankEffect[] {
    const {openOrder} = this;
    if (openOrder === undefined) return [];
    const message = {type: 'group_unable', ...this.answerFields(map)} as const;
    return this.answerOnce(openOrder, {...message, reason});
  }

  private answerFields(map: MapVersion) {
    const {group, rank, incarnation, guard, seq} = this;
    const step = this.engine?.step ?? 0;
    return {group, rank, incarnation, map, step, term: guard.term, seq};
  }

  /** Answers each order, and each repeat of it, once. */
  private answerOnce(
    orderType: RankOrder['type'],
    message: RankAnswer,
  ): RankEffect[] {
    if (this.openOrder !== orderType) return [];
    this.openOrder = undefined;
    return this.answer(message);
  }

  private answer(message: RankAnswer): RankEffect[] {
    const to = this.guard.coordinator;
    return to === undefined ? [] : [{type: 'answer', to, message}];
  }

  private orderEngine(order: EngineOrder): RankEffect[] {
    this.isOrderInFlight = true;
    const engine = this.engine?.engine ?? '';
    return [{type: 'order', order, engine, fence: this.guard.term}];
  }
}
