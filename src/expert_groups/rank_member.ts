import type {Incarnation} from '../core/index.js';
import {incarnation} from '../core/index.js';
import type {Pending, RankAnswer, RankOrder, UnableReason} from './messages.js';
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
  private busy = false;
  /** What the rank agreed to and no decision came for. */
  private prepared: Preparation | undefined;
  /** The last decision, obeyed or not yet. */
  private decided: MapVersion | undefined;
  /** The change that a rank without a map joins before. */
  private joining: Pending | null = null;
  private staging: MapVersion | undefined;
  /** Whether a hold that an earlier sidecar left has this one's name. */
  private adopted = false;
  private owesReport = false;
  /** Number of the latest order of the term. */
  private seq = 0;
  /** The order of the coordinator that has no answer yet. */
  private asked: RankOrder['type'] | undefined;

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
    return this.decided ?? engine?.next?.map ?? engine?.map ?? null;
  }

  /** Whether the rank waits for a decision or its engine for a change. */
  get changing(): boolean {
    const {engine} = this;
    return this.prepared !== undefined || (engine?.hold ?? null) !== null;
  }

  /** The engine as it was read last. */
  get lastState(): EngineState | undefined {
    return this.engine;
  }

  /**
   * Takes an order of a coordinator.
   * @param from - the coordinator
   * @param order - its order
   */
  receive(from: Incarnation, order: RankOrder): RankEffect[] {
    const before = this.guard.term;
    if (!this.guard.accepts(order.term, from)) {
      const {group, guard} = this;
      const refused = order.term;
      const message = {type: 'group_stale', group, refused} as const;
      return [
        {type: 'answer', to: from, message: {...message, term: guard.term}},
      ];
    }
    if (order.term > before) this.newTerm();
    if (order.type === 'group_inquire' || order.to !== this.incarnation) {
      this.owesReport = true;
      return this.reconcile();
    }
    // A repeat that an order after it has overtaken.
    if (order.seq < this.seq) return [];
    this.seq = order.seq;
    this.asked = order.type;
    switch (order.type) {
      case 'group_stage':
        this.staging = order.map;
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
    this.busy = false;
    if (state === undefined) return [];
    if (state.engine !== this.engine?.engine) this.forget(state);
    this.engine = state;
    return this.reconcile();
  }

  private get incarnation(): RankIncarnation {
    const {communicator = ''} = this.engine ?? {};
    return incarnation(`${this.owner}#${communicator}`);
  }

  /** Starts the names of this sidecar's holds at this engine. */
  private get owner(): string {
    return `${this.self}#${this.engine?.engine ?? ''}`;
  }

  /** Another engine process knows nothing of what was agreed. */
  private forget(state: EngineState): void {
    this.decided = undefined;
    this.staging = undefined;
    this.asked = undefined;
    this.prepared = undefined;
    this.adopted = state.hold === null;
  }

  private newTerm(): void {
    this.seq = 0;
    this.asked = undefined;
    this.staging = undefined;
  }

  private prepare(
    order: Extract<RankOrder, {type: 'group_prepare'}>,
  ): RankEffect[] {
    const {from, map, step} = order;
    if (this.prepared?.map === map) return this.reconcile();
    if (this.prepared !== undefined) return this.unable(map, 'undecided');
    if (this.map === map) return this.reconcile();
    if (this.map !== from) return this.unable(map, 'other_map');
    if (this.engine?.hold || this.engine?.next) {
      return [...this.reconcile(), ...this.unable(map, 'undecided')];
    }
    const token = `${this.owner}@${map}`;
    this.prepared = {from, map, step, token};
    this.decided = undefined;
    return this.reconcile();
  }

  private decide(map: MapVersion, pending: Pending | null): RankEffect[] {
    const {prepared} = this;
    const known = this.map;
    const fits =
      known === null ||
      known === map ||
      (prepared !== undefined && prepared.map === map);
    if (!fits && (this.engine?.hold ?? null) === null) {
      return this.unable(map, 'inconsistent');
    }
    this.decided = map;
    this.joining = pending;
    this.prepared = undefined;
    return this.reconcile();
  }

  /** Compares what is wanted with the engine's state: the next thing to do. */
  private reconcile(): RankEffect[] {
    const {engine} = this;
    if (engine === undefined || this.busy) return [];
    if (!this.adopted) return this.adopt(engine);
    const reports = this.owesReport ? this.report(engine) : [];
    if (this.decided !== undefined) {
      return [...reports, ...this.obey(engine, this.decided)];
    }
    if (this.prepared !== undefined) {
      return [...reports, ...this.holdFor(engine, this.prepared)];
    }
    if (this.staging === undefined) return reports;
    return [...reports, ...this.load(engine, this.staging)];
  }

  /**
   * Gives a hold that an earlier sidecar left a new name before anything is
   * reported, so that a release of that sidecar still on its way fails.
   */
  private adopt(engine: EngineState): RankEffect[] {
    const {hold} = engine;
    if (hold === null || hold.token.startsWith(`${this.owner}@`)) {
      this.adopted = true;
      return this.reconcile();
    }
    const token = `${this.owner}@adopted`;
    const {step} = hold;
    return this.order({kind: 'hold', token, step, replaces: hold.token});
  }

  private obey(engine: EngineState, map: MapVersion): RankEffect[] {
    const {hold} = engine;
    const lacking = this.lacking(engine, map);
    if (lacking !== undefined) return this.order({kind: 'stage', map: lacking});
    if (hold !== null) {
      return this.order({kind: 'release', token: hold.token, map});
    }
    if (engine.map === null) return this.join(map);
    const running = engine.next?.map ?? engine.map;
    if (running !== map) return this.unable(map, 'inconsistent');
    const settled = this.tell('group_decide', {
      type: 'group_settled',
      ...this.about(map),
    });
    const {staging} = this;
    if (staging === undefined || staging === map) return settled;
    return [...settled, ...this.load(engine, staging)];
  }

  /** A map that has to be loaded before the decision can be obeyed. */
  private lacking(
    {map, staged}: EngineState,
    wanted: MapVersion,
  ): MapVersion | undefined {
    const needed = [wanted];
    if (map === null && this.joining) needed.push(this.joining.from);
    return needed.find(other => other !== map && !staged.includes(other));
  }

  /** The others run on the map before until the step of the change. */
  private join(map: MapVersion): RankEffect[] {
    if (this.joining === null) {
      return this.order({kind: 'assign', map, next: null});
    }
    const {from, step} = this.joining;
    return this.order({kind: 'assign', map: from, next: {map, step}});
  }

  private holdFor(engine: EngineState, wanted: Preparation): RankEffect[] {
    const {map, step, token} = wanted;
    const {hold} = engine;
    if (hold?.token === token) {
      const about = this.about(map);
      const message = {type: 'group_promised', ...about} as const;
      return this.tell('group_prepare', {...message, step: hold.step});
    }
    if (hold !== null) {
      // An order of an earlier change that came late.
      const release = {kind: 'release', token: hold.token} as const;
      return this.order({...release, map: wanted.from});
    }
    if (engine.step >= step) {
      this.prepared = undefined;
      this.decided = wanted.from;
      return [...this.unable(map, 'step_passed'), ...this.reconcile()];
    }
    return this.order({kind: 'hold', token, step, replaces: null});
  }

  private load(engine: EngineState, map: MapVersion): RankEffect[] {
    if (!engine.staged.includes(map) && engine.map !== map) {
      return this.order({kind: 'stage', map});
    }
    this.staging = undefined;
    return this.tell('group_stage', {
      type: 'group_staged',
      ...this.about(map),
    });
  }

  private report(engine: EngineState): RankEffect[] {
    this.owesReport = false;
    const {group, rank, incarnation, map} = this;
    return this.answer({
      type: 'group_report',
      ...{group, rank, incarnation, map},
      term: this.guard.term,
      step: engine.step,
      pending: this.pending(engine),
      communicator: engine.communicator,
    });
  }

  private pending({map, hold, next}: EngineState): Pending | null {
    const step = next?.step ?? hold?.step;
    if (map === null || step === undefined || this.map === map) return null;
    return {from: map, step};
  }

  private unable(map: MapVersion, reason: UnableReason): RankEffect[] {
    const {asked} = this;
    if (asked === undefined) return [];
    const message = {type: 'group_unable', ...this.about(map)} as const;
    return this.tell(asked, {...message, reason});
  }

  private about(map: MapVersion) {
    const {group, rank, incarnation, guard, seq} = this;
    const step = this.engine?.step ?? 0;
    return {group, rank, incarnation, map, step, term: guard.term, seq};
  }

  /** Answers each order, and each repeat of it, once. */
  private tell(asked: RankOrder['type'], message: RankAnswer): RankEffect[] {
    if (this.asked !== asked) return [];
    this.asked = undefined;
    return this.answer(message);
  }

  private answer(message: RankAnswer): RankEffect[] {
    const to = this.guard.coordinator;
    return to === undefined ? [] : [{type: 'answer', to, message}];
  }

  private order(order: EngineOrder): RankEffect[] {
    this.busy = true;
    const engine = this.engine?.engine ?? '';
    return [{type: 'order', order, engine, fence: this.guard.term}];
  }
}
