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

const POLL_EVERY: Millis = 250;
const STEP_EVERY: Millis = 50;
const ORDER_TIMEOUT: Millis = 1_000;
const STAGE_WITHIN: Millis = 5_000;
const MAX_DUPLICATE_DELAY: Millis = 4_000;

/** How a world misbehaves until it is healed. */
export interface WorldFaults {
  /** Share of messages and orders that are lost. */
  lost: number;
  /** Share of messages and orders that come twice, the second time late. */
  duplicated: number;
  /** Longest delay of a message, ms. */
  delay: Millis;
  /** Share of orders that take effect and whose answer is lost. */
  answerLost: number;
  /** The weight store does not answer. */
  storeDown: boolean;
}

/** One event of a fault schedule. */
export interface WorldFault {
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

/** A rank's engine that holds at a step; it checks no fencing numbers. */
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
  alive: boolean;
  /** Runs on with the engine that was replaced. */
  zombie: boolean;
  pausedUntil: Millis;
  /** The request to the engine whose answer counts. */
  request: number;
}

interface Timed {
  readonly at: Millis;
  readonly order: number;
  readonly run: () => void;
}

/** Ranks, sidecars, links and engines of one group on a clock of its own. */
export class GroupWorld {
  now: Millis = 0;
  /** Steps that all ranks ran. */
  completed = 0;
  /** Steps in which two ranks used two maps. */
  readonly violations: string[] = [];
  readonly ended: MapSwitchResult[] = [];
  /** The session, for golden files, when it is recorded. */
  readonly lines: string[] = [];
  /** Steps that began late because a rank held. */
  heldTicks = 0;
  faults: WorldFaults = {
    lost: 0,
    duplicated: 0,
    delay: 5,
    answerLost: 0,
    storeDown: false,
  };

  private readonly queue: Timed[] = [];
  private readonly engines: FakeEngine[] = [];
  private readonly current: Process[] = [];
  private readonly processes = new Map<Incarnation, Process>();
  /** For each step the map that each rank used. */
  private readonly used = new Map<number, Map<number, number>>();
  private readonly chance: Chance;
  private order = 0;
  private births = 0;
  private generation = 1;

  constructor(
    readonly size: number,
    seed: number,
    private readonly record = false,
    /** Time between two proposals of a steady coordinator, ms. */
    private readonly proposeEvery: Millis = 1_500,
  ) {
    this.chance = new Chance(seed);
    for (let rank = 0; rank < size; rank++) this.bear(rank);
    for (let rank = 0; rank < size; rank++) this.startProcess(rank);
    this.every(STEP_EVERY, () => this.stepAll());
  }

  /** Runs the world up to a time. */
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

  /** Puts a schedule of faults in the queue. */
  schedule(faults: readonly WorldFault[]): void {
    for (const fault of faults) {
      this.at(fault.at, () => this.strike(fault));
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

  /** The coordinator of the group. */
  get coordinator(): Coordinator {
    return this.current[0]!.coordinator!;
  }

  /** Maps in use, by rank. */
  get maps(): (number | null)[] {
    return this.engines.map(({map}) => map);
  }

  private strike({kind, rank, lasts}: WorldFault): void {
    const target = rank % this.size;
    const process = this.current[target]!;
    this.note(`fault ${kind} rank=${target}`);
    switch (kind) {
      case 'kill_sidecar':
        process.alive = false;
        this.at(this.now + lasts, () => this.startProcess(target));
        return;
      case 'kill_engine':
        this.bear(target);
        return this.reform();
      case 'replace_zombie':
      case 'replace':
        process.alive = kind === 'replace_zombie';
        process.zombie = process.alive;
        this.bear(target);
        this.at(this.now + lasts, () => this.startProcess(target));
        return this.reform();
      case 'pause':
        process.pausedUntil = this.now + lasts;
        return;
      case 'store_down':
        this.faults.storeDown = true;
        this.at(this.now + lasts, () => {
          this.faults.storeDown = false;
        });
    }
  }

  private bear(rank: number): void {
    const name = `e${this.births++}`;
    // A new engine steps with nobody until the others have met it.
    const first = this.engines[rank] === undefined;
    const engine = new FakeEngine(name, first ? 'g1' : `alone-${name}`);
    engine.staged.add(0);
    engine.step = this.completed;
    this.engines[rank] = engine;
  }

  /** The engines find one another again, each in its own time. */
  private reform(): void {
    const generation = ++this.generation;
    for (const engine of this.engines) {
      const delay = this.chance.between(10, 900);
      this.at(this.now + delay, () => {
        if (this.generation !== generation) return;
        engine.communicator = `g${generation}`;
      });
    }
  }

  private startProcess(rank: number): void {
    const old = this.current[rank];
    // A zombie keeps the engine that it had.
    const engine = this.engines[rank]!;
    const id = incarnation(`r${rank}/p${this.births++}`);
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
      alive: true,
      zombie: false,
      pausedUntil: 0,
      request: 0,
    };
    // A slot has one process at a time.
    if (old !== undefined && !old.zombie) old.alive = false;
    if (old !== undefined && !old.alive) this.processes.delete(old.id);
    this.current[rank] = process;
    this.processes.set(id, process);
    this.repeat(process, POLL_EVERY, () => this.poll(process));
    if (process.coordinator === undefined) return;
    this.repeat(process, 100, () =>
      this.coordinate(process, process.coordinator!.tick(this.now)),
    );
    this.repeat(process, this.proposeEvery, () => {
      const map = process.coordinator!.propose(this.now, STAGE_WITHIN);
      if (map !== undefined) this.note(`propose map=${short(map)}`);
    });
  }

  private poll(process: Process): void {
    this.ask(process, () => undefined);
  }

  /** One request to the engine; the latest one's answer counts. */
  private ask(process: Process, act: (engine: FakeEngine) => void): void {
    const {lost, duplicated, delay, answerLost} = this.faults;
    const request = ++process.request;
    const engine = process.engine();
    this.at(this.now + ORDER_TIMEOUT, () =>
      this.wake(process, () => {
        if (process.request !== request) return;
        this.act(process, process.member.observe(undefined));
      }),
    );
    if (this.chance.fraction() < duplicated) {
      const late = this.chance.between(1, MAX_DUPLICATE_DELAY);
      this.at(this.now + late, () => act(engine));
    }
    if (this.chance.fraction() < lost) return;
    this.at(this.now + this.chance.between(1, Math.max(1, delay)), () => {
      act(engine);
      const state = engine.state();
      if (this.chance.fraction() < answerLost) return;
      this.at(this.now + 1, () =>
        this.wake(process, () => {
          if (process.request !== request) return;
          process.request += 1;
          this.act(process, process.member.observe(state));
        }),
      );
    });
  }

  private act(process: Process, effects: readonly RankEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'answer') {
        this.note(`r${process.rank} -> ${line(effect.message)}`);
        this.send(effect.to, effect.message);
        continue;
      }
      const {order, engine: id} = effect;
      this.note(`r${process.rank} engine ${orderLine(order)}`);
      this.ask(process, engine =>
        engine.apply(order, id, this.faults.storeDown),
      );
    }
  }

  private coordinate(
    process: Process,
    effects: readonly CoordinatorEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.type === 'ended') {
        this.ended.push(effect.result);
        const {map, outcome, reason} = effect.result;
        this.note(`ended map=${short(map)} ${outcome} ${reason}`.trimEnd());
        continue;
      }
      // A zombie goes on with its own rank.
      const own = effect.to === process.rank;
      const target = own ? process : this.current[effect.to]!;
      this.send(target.id, effect.message, process.id);
    }
  }

  private send(to: Incarnation, message: GroupMessage, from?: Incarnation) {
    const {lost, duplicated, delay} = this.faults;
    const copies = this.chance.fraction() < duplicated ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.chance.fraction() < lost) continue;
      const most = copy === 0 ? Math.max(1, delay) : MAX_DUPLICATE_DELAY;
      const at = this.now + this.chance.between(1, most);
      this.at(at, () => {
        const process = this.processes.get(to);
        if (process)
          this.wake(process, () => this.take(process, message, from));
      });
    }
  }

  private take(process: Process, message: GroupMessage, from?: Incarnation) {
    if (from !== undefined) {
      const order = message as RankOrder;
      if (order.type !== 'group_inquire') {
        this.note(`c -> r${process.rank} ${line(order)}`);
      }
      return this.act(process, process.member.receive(from, order));
    }
    const effects = process.coordinator?.receive(
      this.now,
      message as RankAnswer,
    );
    this.coordinate(process, effects ?? []);
  }

  /** Runs now, after a pause, or never when the process is dead. */
  private wake(process: Process, run: () => void): void {
    if (!process.alive) return;
    if (process.pausedUntil > this.now) {
      this.at(process.pausedUntil, () => this.wake(process, run));
      return;
    }
    run();
  }

  private stepAll(): void {
    const step = this.completed + 1;
    const [first] = this.engines;
    const joined = this.engines.every(
      e => e.communicator === first!.communicator,
    );
    let held = false;
    for (const [rank, engine] of this.engines.entries()) {
      if (!joined || engine.map === null || engine.step >= step) continue;
      if (engine.hold !== null && engine.hold.step <= step) {
        held = true;
        continue;
      }
      this.begin(rank, engine, step);
    }
    if (held) this.heldTicks += 1;
    if (this.engines.every(engine => engine.step === step)) {
      this.completed = step;
      this.used.delete(step - 1);
    }
  }

  private begin(rank: number, engine: FakeEngine, step: number): void {
    const {next} = engine;
    if (next !== null && next.step <= step) {
      engine.map = next.map;
      engine.next = null;
      this.note(`r${rank} step=${step} runs map=${short(engine.map)}`);
    }
    engine.step = step;
    const maps = this.used.get(step) ?? new Map<number, number>();
    this.used.set(step, maps);
    maps.set(rank, engine.map!);
    for (const [other, map] of maps) {
      if (this.engines[other]!.step !== step || map === engine.map) continue;
      if (this.violations.length >= 3) return;
      this.note(`violation step=${step}`);
      this.violations.push(
        `step ${step}: rank ${rank} map ${engine.map}, rank ${other} ${map}`,
      );
    }
  }

  private note(text: string): void {
    if (this.record) this.lines.push(`${this.now} ${text}`);
  }

  private every(period: Millis, run: () => void): void {
    this.at(this.now + period, () => {
      run();
      this.every(period, run);
    });
  }

  private repeat(process: Process, period: Millis, run: () => void): void {
    this.at(this.now + period, () => {
      if (!process.alive) return;
      this.wake(process, () => {
        run();
        this.repeat(process, period, run);
      });
    });
  }

  private at(at: Millis, run: () => void): void {
    const {queue} = this;
    queue.push({at, order: this.order++, run});
    let i = queue.length - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!before(queue[i]!, queue[parent]!)) break;
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
        if (child < queue.length && before(queue[child]!, queue[least]!)) {
          least = child;
        }
      }
      if (least === i) return;
      [queue[i], queue[least]] = [queue[least]!, queue[i]!];
      i = least;
    }
  }
}

const before = (a: Timed, b: Timed) =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Maps are shown as term.number. */
const short = (map: number | null) =>
  map === null ? 'none' : `${Math.floor(map / 2 ** 20)}.${map % 2 ** 20}`;

function line(message: GroupMessage): string {
  const parts = [message.type.replace('group_', '')];
  if ('term' in message) parts.push(`term=${message.term}`);
  if ('map' in message) parts.push(`map=${short(message.map)}`);
  if ('step' in message) parts.push(`step=${message.step}`);
  if ('reason' in message) parts.push(`reason=${message.reason}`);
  return parts.join(' ');
}

function orderLine(order: EngineOrder): string {
  const parts: string[] = [order.kind];
  if ('map' in order) parts.push(`map=${short(order.map)}`);
  if ('step' in order) parts.push(`step=${order.step}`);
  if ('replaces' in order && order.replaces !== null) parts.push('replaces');
  return parts.join(' ');
}
