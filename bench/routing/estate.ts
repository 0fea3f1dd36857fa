import {
  Chance,
  availabilityZone,
  callId,
  newIncarnation,
  serviceName,
  vmName,
} from '../../src/core/index.js';
import type {
  CallId,
  Incarnation,
  Millis,
  ServiceName,
} from '../../src/core/index.js';
import type {ErrorName} from '../../src/errors/index.js';
import type {CacheMessage} from '../../src/routing/index.js';
import {VirtualClock} from './clock.js';
import type {EngineModel} from './engine_model.js';
import {EntryModel, ReplicaModel} from './estate_parts.js';
import type {EstateShape} from './estate_parts.js';
import type {Tally} from './tally.js';
import type {Arrival} from './workload.js';

/** The service that every replica of the estate runs. */
export const SERVICE: ServiceName = serviceName('assistant');
const GRANULARITY = 4;
const LOCAL_LATENCY: Millis = 0.1;
const MAX_RETRIES = 2;
const SWEEP_EVERY: Millis = 100;
const EVENTS_EVERY: Millis = 200;

interface Call {
  readonly id: CallId;
  readonly arrival: Arrival;
  readonly callerService: ServiceName | undefined;
  readonly entry: EntryModel;
  readonly at: Millis;
  readonly tried: Incarnation[];
  readonly tally: Tally;
  over: boolean;
  firstTokenAt: Millis | undefined;
}

/** Entries and replicas of one service on a virtual clock. */
export class Estate {
  readonly clock = new VirtualClock();
  readonly replicas: ReplicaModel[] = [];
  private readonly entries: EntryModel[] = [];
  private readonly chance: Chance;
  /** Engine blocks that end a block of the routers. */
  private readonly known = new Set<number>();
  private calls = 0;

  /**
   * @param shape - how it is built
   * @param seed - of every draw
   */
  constructor(
    private readonly shape: EstateShape,
    seed: number,
  ) {
    this.chance = new Chance(seed);
    for (let zone = 0; zone < shape.zones; zone++) this.addZone(zone);
    for (const {router} of this.entries) {
      for (const {incarnation} of this.replicas) {
        router.onReplicaUp(0, incarnation);
      }
    }
    this.every(SWEEP_EVERY, () => this.sweep());
    if (shape.cacheEvents) this.every(EVENTS_EVERY, () => this.tellCaches());
  }

  /** Attempts of calls, the first of each included. */
  attempts = 0;

  /** Calls that were made. */
  get offered(): number {
    return this.calls;
  }

  /** Share of the prompt blocks that were cached, over the whole run. */
  get hitShare(): number {
    const sum = (part: (engine: EngineModel) => number) =>
      this.replicas.reduce((total, {engine}) => total + part(engine), 0);
    return (
      sum(({hit}) => hit) /
      Math.max(
        1,
        sum(({asked}) => asked),
      )
    );
  }

  /** Share of the time that engines spent on prefill. */
  get utilisation(): number {
    const busy = this.replicas.reduce((sum, {engine}) => sum + engine.busy, 0);
    return busy / (this.replicas.length * this.clock.now);
  }

  /**
   * A caller makes a request, through any entry.
   * @param arrival - the request
   * @param tally - counts what becomes of it
   * @param callerService - the service that makes it, if one does
   */
  request(
    arrival: Arrival,
    tally: Tally,
    callerService: ServiceName | undefined = undefined,
  ): void {
    const call: Call = {
      id: callId(`call-${this.calls++}`),
      arrival,
      callerService,
      entry: this.chance.pick(this.entries),
      at: this.clock.now,
      tried: [],
      tally,
      over: false,
      firstTokenAt: undefined,
    };
    tally.offered(arrival.organisation);
    this.clock.after(arrival.deadline, () => this.giveUp(call, 'late'));
    this.dispatch(call, undefined);
  }

  /**
   * Loses every replica of a zone; entries hear of it.
   * @param index - number of the zone
   */
  loseZone(index: number): void {
    const zone = availabilityZone(`zone-${index}`);
    for (const replica of this.replicas) {
      if (replica.availabilityZone === zone) replica.lost = true;
    }
  }

  private addZone(index: number): void {
    const {entriesPerZone, replicasPerZone} = this.shape;
    const zone = availabilityZone(`zone-${index}`);
    for (let i = 0; i < entriesPerZone; i++) {
      const chance = new Chance(this.chance.between(1, 1e9));
      this.entries.push(new EntryModel(zone, chance, this.shape));
    }
    for (let i = 0; i < replicasPerZone; i++) {
      const id = newIncarnation(vmName(`replica-${index}-${i}`), 0, 'a');
      const {clock, shape, known} = this;
      const replica = new ReplicaModel(clock, shape, id, zone, known);
      this.replicas.push(replica);
    }
  }

  private dispatch(call: Call, retryOf: ErrorName | undefined): void {
    if (call.over) return;
    const {arrival, id, entry, callerService, at} = call;
    const {deadline} = arrival;
    const prefix = this.coarse(arrival.prefix);
    const deadlineAt = at + deadline;
    const wish = {id, callerService, prefix, deadlineAt};
    const route = entry.router.choose(this.clock.now, {
      call: {...wish, callId: id, service: SERVICE},
      replicas: this.replicas.filter(({lost}) => !lost),
      exclude: call.tried,
      retryOf,
    });
    if (!route.chosen) return this.giveUp(call, route.cause);
    this.attempts += 1;
    const chosen = route.upstream.incarnation;
    const replica = this.replicas.find(r => r.incarnation === chosen);
    if (replica === undefined) return;
    call.tried.push(chosen);
    this.travel(call, replica, () => this.arrive(call, replica));
  }

  private coarse(prefix: readonly number[]): readonly number[] {
    const {granularity = GRANULARITY} = this.shape;
    const kept = prefix.filter((_, i) => (i + 1) % granularity === 0);
    for (const hash of kept) this.known.add(hash);
    return kept;
  }

  private travel(call: Call, replica: ReplicaModel, then: () => void): void {
    const local = call.entry.zone === replica.availabilityZone;
    const latency = local ? LOCAL_LATENCY : this.shape.zoneLatency;
    this.clock.after(latency, then);
  }

  private arrive(call: Call, replica: ReplicaModel): void {
    if (replica.lost) return this.lost(call);
    const {arrival, id, at} = call;
    const {granularity = GRANULARITY} = this.shape;
    const {prefix} = arrival;
    const {now} = this.clock;
    const left = prefix.length - replica.engine.cache.match(prefix);
    const verdict = replica.queue.offer(now, {
      callId: id,
      organisation: arrival.organisation,
      weight: arrival.weight,
      priority: arrival.priority,
      deadlineAt: at + arrival.deadline,
      cost: prefix.length * 64 + arrival.tokens,
      blocks: Math.ceil(left / granularity),
    });
    const refuse = (reason: ErrorName) =>
      this.answer(call, replica, () => this.refused(call, replica, reason));
    if (verdict.decision === 'refuse') refuse(verdict.reason);
    const start = () => this.start(call, replica);
    if (verdict.decision === 'wait') {
      replica.waiting.set(id, start);
      replica.refusedLate.set(id, refuse);
    }
    replica.settleRefused();
    if (verdict.decision === 'start') start();
  }

  private start(call: Call, replica: ReplicaModel): void {
    const {engine, queue} = replica;
    if (engine.fault.failing) {
      const started = queue.release(this.clock.now, call.id);
      this.answer(call, replica, () => this.failed(call, replica));
      replica.startAll(started);
      return;
    }
    engine.start({
      callId: call.id,
      prefix: call.arrival.prefix,
      tokens: call.arrival.tokens,
      firstToken: () => {
        queue.recordFirstToken(this.clock.now, call.id);
        this.answer(call, replica, () => this.firstToken(call, replica));
      },
      done: () => {
        const {tokens} = call.arrival;
        const pace = this.shape.speed.msPerToken * engine.fault.slowdown;
        queue.recordStream(tokens * pace, tokens);
        const started = queue.release(this.clock.now, call.id);
        this.answer(call, replica, () => this.done(call));
        replica.startAll(started);
      },
    });
  }

  /** Sends an answer with a load report back to the entry. */
  private answer(call: Call, replica: ReplicaModel, then: () => void): void {
    if (replica.lost) return this.lost(call);
    const load = replica.queue.report();
    const {router} = call.entry;
    this.travel(call, replica, () => {
      const told = () =>
        router.recordLoad(this.clock.now, replica.incarnation, load);
      const {reportDelay = 0} = this.shape;
      if (reportDelay === 0) told();
      else this.clock.after(reportDelay, told);
      then();
    });
  }

  private firstToken(call: Call, replica: ReplicaModel): void {
    const {router} = call.entry;
    router.recordResult(
      this.clock.now,
      call.id,
      replica.incarnation,
      'answered',
    );
    call.firstTokenAt ??= this.clock.now;
  }

  private done(call: Call): void {
    if (call.over) return;
    const first = (call.firstTokenAt ?? this.clock.now) - call.at;
    call.tally.done(call.arrival.organisation, first);
    this.finish(call);
  }

  private refused(call: Call, replica: ReplicaModel, reason: ErrorName): void {
    const {router} = call.entry;
    router.recordResult(
      this.clock.now,
      call.id,
      replica.incarnation,
      'refused',
    );
    this.retry(call, reason);
  }

  private failed(call: Call, replica: ReplicaModel): void {
    const {router} = call.entry;
    router.recordResult(this.clock.now, call.id, replica.incarnation, 'failed');
    this.retry(call, 'upstream_failed');
  }

  private lost(call: Call): void {
    this.clock.after(this.shape.zoneLatency, () => {
      this.retry(call, 'upstream_lost');
    });
  }

  private retry(call: Call, reason: ErrorName): void {
    if (call.tried.length > MAX_RETRIES) return this.giveUp(call, reason);
    this.dispatch(call, reason);
  }

  private giveUp(call: Call, why: string): void {
    if (call.over) return;
    call.tally.refused(why, this.clock.now - call.at);
    this.finish(call);
    const last = call.tried.at(-1);
    const replica = this.replicas.find(r => r.incarnation === last);
    if (replica === undefined || replica.lost) return;
    this.travel(call, replica, () => this.cancel(call, replica));
  }

  private cancel(call: Call, replica: ReplicaModel): void {
    replica.engine.cancel(call.id);
    replica.waiting.delete(call.id);
    replica.refusedLate.delete(call.id);
    replica.startAll(replica.queue.release(this.clock.now, call.id));
  }

  private finish(call: Call): void {
    call.over = true;
    call.entry.router.endCall(this.clock.now, call.id);
  }

  private sweep(): void {
    for (const replica of this.replicas) {
      replica.queue.sweep(this.clock.now);
      replica.settleRefused();
    }
  }

  private tellCaches(): void {
    const {delay = 0, loss = 0} = this.shape.cacheEvents ?? {};
    for (const replica of this.replicas) {
      if (replica.stored.length === 0) continue;
      replica.seq += 1;
      const {seq, stored, removed, incarnation} = replica;
      replica.stored = [];
      replica.removed = [];
      const message: CacheMessage = {type: 'cache', seq, stored, removed};
      for (const {router} of this.entries) {
        if (this.chance.fraction() < loss) continue;
        this.clock.after(delay, () =>
          router.applyCacheEvents(incarnation, message),
        );
      }
    }
  }

  private every(span: Millis, run: () => void): void {
    this.clock.after(span, () => {
      run();
      this.every(span, run);
    });
  }
}
