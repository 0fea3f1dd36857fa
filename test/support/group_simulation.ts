import {Chance, incarnation} from '../../src/core/index.js';
import type {Incarnation, Millis} from '../../src/core/index.js';
import {Coordinator, RankMember} from '../../src/expert_groups/index.js';
import {applyOrder} from '../../standins/engine_orders.js';
import type {
  MapSwitchResult,
  CoordinatorEffect,
  EngineOrder,
  EngineState,
  GroupMessage,
  RankAnswer,
  RankEffect,
  RankOrder,
} from '../../src/expert_groups/index.js';

const POLL_INTERVAL: Millis = 250;
const STEP_INTERVAL: Millis = 50;
const ORDER_TIMEOUT: Millis = 1_000;
const STAGE_TIMEOUT: Millis = 5_000;
const MAX_DUPLICATE_DELAY: Millis = 4_000;

/** Random faults, injected until `heal` is called. */
export interface RandomFaults {
  /** Share of messages and orders that are lost. */
  lost: number;
  /** Share of messages and orders that are duplicated, the copy with a delay. */
  duplicated: number;
  /** Longest delay of a message, ms. */
  delay: Millis;
  /** Share of orders that are applied but whose answer is lost. */
  answerLost: number;
  /** Whether the weight store is unreachable. */
  storeDown: boolean;
}

/** One fault of a schedule. */
export interface ScheduledFault {
  readonly at: Millis;
  readonly kind:
    | 'kill_sidecar'
    | 'kill_engine'
    | 'replace'
    | 'replace_zombie'
    | 'pause'
    | 'store_down';
  readonly rank: number;
  readonly lasts: Millis;
}

/** Engine of a rank that can hold at a step; it doesn't check fencing tokens. */
class FakeEngine {
  map: number | null = null;
  step = 0;
  hold: EngineState['hold'] = null;
  next: EngineState['next'] = null;
  readonly staged = new Set<number>();

  constructor(
    readonly id: string,
    public communicator: string,
  ) {}

  state(): EngineState {
    const {id, communicator, map, step, hold, next, staged} = this;
    const base = {engine: id, communicator, map, step, hold, next};
    return {...base, staged: [...staged]};
  }

  apply(order: EngineOrder, engine: string, storeDown: boolean): void {
    if (engine !== this.id) return;
    if (order.kind === 'stage' && !storeDown) this.staged.add(order.map);
    applyOrder(this, this.step, order);
  }
}

interface Process {
  readonly id: Incarnation;
  readonly rank: number;
  readonly member: RankMember;
  readonly coordinator: Coordinator | undefined;
  readonly engine: () => FakeEngine;
  isAlive: boolean;
  /** Whether it keeps running with the engine that was replaced. */
  isZombie: boolean;
  pausedUntil: Millis;
  /** Number of the latest engine request; other answers are ignored. */
  latestRequest: number;
}

interface ScheduledEvent {
  readonly at: Millis;
  readonly sequence: number;
  readonly run: () => void;
}

/** Simulation of one group's ranks, sidecars, links and engines on its own clock. */
export class GroupSimulation {
  now: Millis = 0;
  /** Number of steps that all ranks have run. */
  completedSteps = 0;
  /** Steps in which two ranks used different maps. */
  readonly violations: string[] = [];
  readonly switchResults: MapSwitchResult[] = [];
  /** Trace of the session for golden files, if `isTraced`. */
  readonly traceLines: string[] = [];
  /** Number of ticks in which at least one rank held its step. */
  heldTicks = 0;
  faults: RandomFaults = {
    lost: 0,
    duplicated: 0,
    delay: 5,
    answerLost: 0,
    storeDown: false,
  };

  private readonly queue: ScheduledEvent[] = [];
  private readonly engines: FakeEngine[] = [];
  private readonly current: Process[] = [];
  private readonly processes = new Map<Incarnation, Process>();
  /** Map that each rank used, by step and rank. */
  private readonly mapsByStep = new Map<number, Map<number, number>>();
  private readonly chance: Chance;
  private nextSequence = 0;
  private idCount = 0;
  private generation = 1;

  constructor(
    readonly size: number,
    seed: number,
    private readonly isTraced = false,
    /** Interval between proposals of a steady coordinator, in ms. */
    private readonly proposeInterval: Millis = 1_500,
  ) {
    this.chance = new Chance(seed);
    for (let rank = 0; rank < size; rank++) this.createEngine(rank);
    for (let rank = 0; rank < size; rank++) this.startProcess(rank);
    this.repeatForever(STEP_INTERVAL, () => this.stepAll());
  }

  /** Runs all events up to a time. */
  run(until: Millis): void {
    for (;;) {
      const next = this.queue[0];
      if (next === undefined || next.at > until) break;
      this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /** Schedules faults. */
  schedule(faults: readonly ScheduledFault[]): void {
    for (const fault of faults) {
      this.runAt(fault.at, () => this.applyFault(fault));
    }
  }

  /** Ends all random faults. */
  heal(): void {
    this.faults = {
      lost: 0,
      duplicated: 0,
      delay: 5,
      answerLost: 0,
      storeDown: false,
    };
  }

  /** Returns the coordinator of the group. */
  get coordinator(): Coordinator {
    return this.current[0]!.coordinator!;
  }

  /** Returns the map in use by each rank. */
  get maps(): (number | null)[] {
    return this.engines.map(({map}) => map);
  }

  private applyFault({kind, rank, lasts}: ScheduledFault): void {
    const target = rank % this.size;
    const process = this.current[target]!;
    this.trace(`fault ${kind} rank=${target}`);
    switch (kind) {
      case 'kill_sidecar':
        process.isAlive = false;
        this.runAt(this.now + lasts, () => this.startProcess(target));
        return;
      case 'kill_engine':
        this.createEngine(target);
        return this.formCommunicator();
      case 'replace_zombie':
      case 'replace':
        process.isAlive = kind === 'replace_zombie';
        process.isZombie = process.isAlive;
        this.createEngine(target);
        this.runAt(this.now + lasts, () => this.startProcess(target));
        return this.formCommunicator();
      case 'pause':
        process.pausedUntil = this.now + lasts;
        return;
      case 'store_down':
        this.faults.storeDown = true;
        this.runAt(this.now + lasts, () => {
          this.faults.storeDown = false;
        });
    }
  }

  private createEngine(rank: number): void {
    const name = `e${this.idCount++}`;
    // A new engine has its own communicator until the group forms another.
    const isFirst = this.engines[rank] === undefined;
    const engine = new FakeEngine(name, isFirst ? 'g1' : `alone-${name}`);
    engine.staged.add(0);
    engine.step = this.completedSteps;
    this.engines[rank] = engine;
  }

  /** Forms a new communicator, which engines join after random delays. */
  private formCommunicator(): void {
    const generation = ++this.generation;
    for (const engine of this.engines) {
      const delay = this.chance.between(10, 900);
      this.runAt(this.now + delay, () => {
        if (this.generation !== generation) return;
        engine.communicator = `g${generation}`;
      });
    }
  }

  private startProcess(rank: number): void {
    const old = this.current[rank];
    // A zombie keeps its previous engine.
    const engine = this.engines[rank]!;
    const id = incarnation(`r${rank}/p${this.idCount++}`);
    const seed = this.chance.between(0, 2 ** 30);
    const process: Process = {
      id,
      rank,
      member: new RankMember('g', rank, id),
      coordinator:
        rank === 0
          ? new Coordinator('g', this.size, new Chance(seed))
          : undefined,
      engine: () =>
        this.current[rank] === process ? this.engines[rank]! : engine,
      isAlive: true,
      isZombie: false,
      pausedUntil: 0,
      latestRequest: 0,
    };
    // A slot has one process at a time.
    if (old !== undefined && !old.isZombie) old.isAlive = false;
    if (old !== undefined && !old.isAlive) this.processes.delete(old.id);
    this.current[rank] = process;
    this.processes.set(id, process);
    this.repeatWhileAlive(process, POLL_INTERVAL, () => this.poll(process));
    if (process.coordinator === undefined) return;
    this.repeatWhileAlive(process, 100, () =>
      this.applyCoordinatorEffects(
        process,
        process.coordinator!.tick(this.now),
      ),
    );
    this.repeatWhileAlive(process, this.proposeInterval, () => {
      const map = process.coordinator!.propose(this.now, STAGE_TIMEOUT);
      if (map !== undefined) this.trace(`propose map=${formatMap(map)}`);
    });
  }

  private poll(process: Process): void {
    this.requestEngine(process, () => undefined);
  }

  /** Sends a request to the engine; only the latest one's answer is used. */
  private requestEngine(
    process: Process,
    act: (engine: FakeEngine) => void,
  ): void {
    const {lost, duplicated, delay, answerLost} = this.faults;
    const request = ++process.latestRequest;
    const engine = process.engine();
    this.runAt(this.now + ORDER_TIMEOUT, () =>
      this.runUnlessPaused(process, () => {
        if (process.latestRequest !== request) return;
        this.applyRankEffects(process, process.member.observe(undefined));
      }),
    );
    if (this.chance.fraction() < duplicated) {
      const late = this.chance.between(1, MAX_DUPLICATE_DELAY);
      this.runAt(this.now + late, () => act(engine));
    }
    if (this.chance.fraction() < lost) return;
    this.runAt(this.now + this.chance.between(1, Math.max(1, delay)), () => {
      act(engine);
      const state = engine.state();
      if (this.chance.fraction() < answerLost) return;
      this.runAt(this.now + 1, () =>
        this.runUnlessPaused(process, () => {
          if (process.latestRequest !== request) return;
          process.latestRequest += 1;
          this.applyRankEffects(process, process.member.observe(state));
        }),
      );
    });
  }

  private applyRankEffects(
    process: Process,
    effects: readonly RankEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.type === 'answer') {
        this.trace(`r${process.rank} -> ${formatMessage(effect.message)}`);
        this.send(effect.to, effect.message);
        continue;
      }
      const {order, engine: id} = effect;
      this.trace(`r${process.rank} engine ${formatOrder(order)}`);
      this.requestEngine(process, engine =>
        engine.apply(order, id, this.faults.storeDown),
      );
    }
  }

  private applyCoordinatorEffects(
    process: Process,
    effects: readonly CoordinatorEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.type === 'ended') {
        this.switchResults.push(effect.result);
        const {map, outcome, reason} = effect.result;
        this.trace(
          `ended map=${formatMap(map)} ${outcome} ${reason}`.trimEnd(),
        );
        continue;
      }
      // A zombie keeps addressing its own rank.
      const isOwnRank = effect.to === process.rank;
      const target = isOwnRank ? process : this.current[effect.to]!;
      this.send(target.id, effect.message, process.id);
    }
  }

  private send(to: Incarnation, message: GroupMessage, from?: Incarnation) {
    const {lost, duplicated, delay} = this.faults;
    const copies = this.chance.fraction() < duplicated ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.chance.fraction() < lost) continue;
      const maxDelay = copy === 0 ? Math.max(1, delay) : MAX_DUPLICATE_DELAY;
      const at = this.now + this.chance.between(1, maxDelay);
      this.runAt(at, () => {
        const process = this.processes.get(to);
        if (process)
          this.runUnlessPaused(process, () =>
            this.receive(process, message, from),
          );
      });
    }
  }

  private receive(process: Process, message: GroupMessage, from?: Incarnation) {
    if (from !== undefined) {
      const order = message as RankOrder;
      if (order.type !== 'group_inquire') {
        this.trace(`c -> r${process.rank} ${formatMessage(order)}`);
      }
      return this.applyRankEffects(
        process,
        process.member.receive(from, order),
      );
    }
    const effects = process.coordinator?.receive(
      this.now,
      message as RankAnswer,
    );
    this.applyCoordinatorEffects(process, effects ?? []);
  }

  /** Runs now or after the pause of the process, or never if it is dead. */
  private runUnlessPaused(process: Process, run: () => void): void {
    if (!process.isAlive) return;
    if (process.pausedUntil > this.now) {
      this.runAt(process.pausedUntil, () => this.runUnlessPaused(process, run));
      return;
    }
    run();
  }

  private stepAll(): void {
    const step = this.completedSteps + 1;
    const [first] = this.engines;
    const haveJoined = this.engines.every(
      e => e.communicator === first!.communicator,
    );
    let isHeld = false;
    for (const [rank, engine] of this.engines.entries()) {
      if (!haveJoined || engine.map === null || engine.step >= step) continue;
      if (engine.hold !== null && engine.hold.step <= step) {
        isHeld = true;
        continue;
      }
      this.beginStep(rank, engine, step);
    }
    if (isHeld) this.heldTicks += 1;
    if (this.engines.every(engine => engine.step === step)) {
      this.completedSteps = step;
      this.mapsByStep.delete(step - 1);
    }
  }

  private beginStep(rank: number, engine: FakeEngine, step: number): void {
    const {next} = engine;
    if (next !== null && next.step <= step) {
      engine.map = next.map;
      engine.next = null;
      this.trace(`r${rank} step=${step} runs map=${formatMap(engine.map)}`);
    }
    engine.step = step;
    const maps = this.mapsByStep.get(step) ?? new Map<number, number>();
    this.mapsByStep.set(step, maps);
    maps.set(rank, engine.map!);
    for (const [other, map] of maps) {
      if (this.engines[other]!.step !== step || map === engine.map) continue;
      if (this.violations.length >= 3) return;
      this.trace(`violation step=${step}`);
      this.violations.push(
        `step ${step}: rank ${rank} map ${engine.map}, rank ${other} ${map}`,
      );
    }
  }

  private trace(text: string): void {
    if (this.isTraced) this.traceLines.push(`${this.now} ${text}`);
  }

  private repeatForever(period: Millis, run: () => void): void {
    this.runAt(this.now + period, () => {
      run();
      this.repeatForever(period, run);
    });
  }

  private repeatWhileAlive(
    process: Process,
    period: Millis,
    run: () => void,
  ): void {
    this.runAt(this.now + period, () => {
      if (!process.isAlive) return;
      this.runUnlessPaused(process, () => {
        run();
        this.repeatWhileAlive(process, period, run);
      });
    });
  }

  private runAt(at: Millis, run: () => void): void {
    const {queue} = this;
    queue.push({at, sequence: this.nextSequence++, run});
    let i = queue.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(queue[i]!, queue[parent]!)) break;
      [queue[i], queue[parent]] = [queue[parent]!, queue[i]!];
      i = parent;
    }
  }

  private pop(): void {
    const {queue} = this;
    const last = queue.pop()!;
    if (queue.length === 0) return;
    queue[0] = last;
    for (let i = 0; ;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < queue.length && isBefore(queue[child]!, queue[least]!)) {
          least = child;
        }
      }
      if (least === i) return;
      [queue[i], queue[least]] = [queue[least]!, queue[i]!];
      i = least;
    }
  }
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent) =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Formats a map as `term.number`. */
const formatMap = (map: number | null) =>
  map === null ? 'none' : `${Math.floor(map / 2 ** 20)}.${map % 2 ** 20}`;

function formatMessage(message: GroupMessage): string {
  const parts = [message.type.replace('group_', '')];
  if ('term' in message) parts.push(`term=${message.term}`);
  if ('map' in message) parts.push(`map=${formatMap(message.map)}`);
  if ('step' in message) parts.push(`step=${message.step}`);
  if ('reason' in message) parts.push(`reason=${message.reason}`);
  return parts.join(' ');
}

function formatOrder(order: EngineOrder): string {
  const parts: string[] = [order.kind];
  if ('map' in order) parts.push(`map=${formatMap(order.map)}`);
  if ('step' in order) parts.push(`step=${order.step}`);
  if ('replaces' in order && order.replaces !== null) parts.push('replaces');
  return parts.join(' ');
}
