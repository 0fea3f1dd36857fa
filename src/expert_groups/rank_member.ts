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

/** Action for the sidecar of a rank. */
export type RankEffect =
  | {
      readonly type: 'answer';
      readonly to: Incarnation;
      readonly message: RankAnswer;
    }
  | {
      readonly type: 'order';
      readonly order: EngineOrder;
      /** Incarnation of the engine that the order is for. */
      readonly engine: string;
      /** Fencing token, for engines that check it. */
      readonly fence: Term;
    };

interface Preparation {
  readonly from: MapVersion;
  readonly map: MapVersion;
  readonly step: Step;
  /** Token of the hold at the engine. */
  readonly token: string;
}

/**
 * Two-phase commit participant for one rank, run by its sidecar. It follows
 * the coordinator with the highest term and reconciles its engine with the
 * requested state, one order at a time. An unanswered order is retried after
 * the engine's state has been read again.
 */
export class RankMember {
  private readonly guard = new TermGuard();
  private engine: EngineState | undefined;
  private isOrderInFlight = false;
  /** The promised switch that awaits a decision. */
  private prepared: Preparation | undefined;
  /** Map of the last decision, whether applied or not. */
  private decidedMap: MapVersion | undefined;
  /** The pending switch before which a rank without a map joins. */
  private switchToJoin: PendingSwitch | null = null;
  private stagingMap: MapVersion | undefined;
  /** Whether any hold of the engine has a token of this sidecar. */
  private isHoldOwned = false;
  private isReportDue = false;
  /** Sequence number of the latest order of the term. */
  private seq = 0;
  /** The coordinator order that is still unanswered. */
  private openOrder: RankOrder['type'] | undefined;

  /**
   * @param group - name of the group
   * @param rank - index of the rank
   * @param self - incarnation of this sidecar process
   */
  constructor(
    private readonly group: string,
    private readonly rank: Rank,
    private readonly self: Incarnation,
  ) {}

  /** The highest accepted term. */
  get term(): Term {
    return this.guard.term;
  }

  /** The map in use or decided on; null without one. */
  get map(): MapVersion | null {
    const {engine} = this;
    return this.decidedMap ?? engine?.next?.map ?? engine?.map ?? null;
  }

  /** Whether the rank awaits a decision or its engine has a hold. */
  get isSwitching(): boolean {
    const {engine} = this;
    return this.prepared !== undefined || (engine?.hold ?? null) !== null;
  }

  /** The engine state that was read last. */
  get lastEngineState(): EngineState | undefined {
    return this.engine;
  }

  /**
   * Processes an order of a coordinator.
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
    // A duplicate that a later order has overtaken.
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
   * Records the engine's state, read after an order or by polling.
   * @param state - the state; `undefined` when the engine did not answer
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

  /** Prefix of the tokens of this sidecar's holds at this engine. */
  private get ownerId(): string {
    return `${this.self}#${this.engine?.engine ?? ''}`;
  }

  /** Drops all agreements, which a new engine process does not have. */
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

  /** Compares the target with the engine's state; returns the next action. */
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
   * Replaces the token of a hold left by an earlier sidecar before reporting,
   * so that a delayed release from that sidecar fails.
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

  /** Returns a map that must be loaded before the decision can be applied. */
  private missingMap(
    {map, staged}: EngineState,
    wanted: MapVersion,
  ): MapVersion | undefined {
    const needed = [wanted];
    if (map === null && this.switchToJoin) needed.push(this.switchToJoin.from);
    return needed.find(other => other !== map && !staged.includes(other));
  }

  /** Assigns the previous map until the step of a pending switch, if any. */
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
      // A delayed order of an earlier switch.
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

  /** Answers each order, and each retry of it, once. */
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
