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

/** Service of all replicas of the estate. */
export const SERVICE: ServiceName = serviceName('assistant');
const GRANULARITY = 4;
const LOCAL_LATENCY: Millis = 0.1;
const MAX_RETRIES = 2;
const SWEEP_INTERVAL: Millis = 100;
const CACHE_EVENT_INTERVAL: Millis = 200;

interface Call {
  readonly id: CallId;
  readonly arrival: Arrival;
  readonly callerService: ServiceName | undefined;
  readonly entry: EntryModel;
  readonly at: Millis;
  readonly triedReplicas: Incarnation[];
  readonly tally: Tally;
  isFinished: boolean;
  firstTokenAt: Millis | undefined;
}

/** Simulation of the entries and replicas of one service on a virtual clock. */
export class Estate {
  readonly clock = new VirtualClock();
  readonly replicas: ReplicaModel[] = [];
  private readonly entries: EntryModel[] = [];
  private readonly chance: Chance;
  /** Hashes of the engine blocks at which a router block ends. */
  private readonly routerBlocks = new Set<number>();
  private calls = 0;

  /**
   * @param shape - shape of the estate
   * @param seed - seed of all random draws
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
    this.runEvery(SWEEP_INTERVAL, () => this.sweep());
    if (shape.cacheEvents) {
      this.runEvery(CACHE_EVENT_INTERVAL, () => this.sendCacheEvents());
    }
  }

  /** Number of attempts, including the first of each call. */
  attempts = 0;

  /** Number of calls made. */
  get offered(): number {
    return this.calls;
  }

  /** Cache hit ratio of the prompt blocks over the whole run. */
  get hitShare(): number {
    const sum = (part: (engine: EngineModel) => number) =>
      this.replicas.reduce((total, {engine}) => total + part(engine), 0);
    return (
      sum(({hitBlocks}) => hitBlocks) /
      Math.max(
        1,
        sum(({requestedBlocks}) => requestedBlocks),
      )
    );
  }

  /** Fraction of the time that engines spent on prefill. */
  get utilisation(): number {
    const busy = this.replicas.reduce(
      (sum, {engine}) => sum + engine.prefillTime,
      0,
    );
    return busy / (this.replicas.length * this.clock.now);
  }

  /**
   * Sends a request through a random entry.
   * @param arrival - request to send
   * @param tally - counts the outcome
   * @param callerService - calling service, if any
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
      triedReplicas: [],
      tally,
      isFinished: false,
      firstTokenAt: undefined,
    };
    tally.recordOffered(arrival.organisation);
    this.clock.after(arrival.deadline, () => this.abort(call, 'late'));
    this.dispatch(call, undefined);
  }

  /**
   * Fails all replicas of a zone, which entries then exclude.
   * @param index - number of the zone
   */
  loseZone(index: number): void {
    const zone = availabilityZone(`zone-${index}`);
    for (const replica of this.replicas) {
      if (replica.availabilityZone === zone) replica.isLost = true;
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
      const {clock, shape, routerBlocks} = this;
      const replica = new ReplicaModel(clock, shape, id, zone, routerBlocks);
      this.replicas.push(replica);
    }
  }

  private dispatch(call: Call, retryOf: ErrorName | undefined): void {
    if (call.isFinished) return;
    const {arrival, id, entry, callerService, at} = call;
    const {deadline} = arrival;
    const prefix = this.toRouterBlocks(arrival.prefix);
    const deadlineAt = at + deadline;
    const fields = {id, callerService, prefix, deadlineAt};
    const route = entry.router.choose(this.clock.now, {
      call: {...fields, callId: id, service: SERVICE},
      replicas: this.replicas.filter(({isLost}) => !isLost),
      exclude: call.triedReplicas,
      retryOf,
    });
    if (!route.chosen) return this.abort(call, route.cause);
    this.attempts += 1;
    const chosen = route.upstream.incarnation;
    const replica = this.replicas.find(r => r.incarnation === chosen);
    if (replica === undefined) return;
    call.triedReplicas.push(chosen);
    this.runAfterLatency(call, replica, () => this.onArrival(call, replica));
  }

  private toRouterBlocks(prefix: readonly number[]): readonly number[] {
    const {granularity = GRANULARITY} = this.shape;
    const kept = prefix.filter((_, i) => (i + 1) % granularity === 0);
    for (const hash of kept) this.routerBlocks.add(hash);
    return kept;
  }

  private runAfterLatency(
    call: Call,
    replica: ReplicaModel,
    then: () => void,
  ): void {
    const local = call.entry.zone === replica.availabilityZone;
    const latency = local ? LOCAL_LATENCY : this.shape.zoneLatency;
    this.clock.after(latency, then);
  }

  private onArrival(call: Call, replica: ReplicaModel): void {
    if (replica.isLost) return this.onLost(call);
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
    const reject = (reason: ErrorName) =>
      this.sendAnswer(call, replica, () =>
        this.onRejected(call, replica, reason),
      );
    if (verdict.decision === 'refuse') reject(verdict.reason);
    const start = () => this.start(call, replica);
    if (verdict.decision === 'wait') {
      replica.startCallbacks.set(id, start);
      replica.rejectCallbacks.set(id, reject);
    }
    replica.rejectShedCalls();
    if (verdict.decision === 'start') start();
  }

  private start(call: Call, replica: ReplicaModel): void {
    const {engine, queue} = replica;
    if (engine.fault.failing) {
      const started = queue.release(this.clock.now, call.id);
      this.sendAnswer(call, replica, () => this.onFailed(call, replica));
      replica.startAll(started);
      return;
    }
    engine.start({
      callId: call.id,
      prefix: call.arrival.prefix,
      tokens: call.arrival.tokens,
      firstToken: () => {
        queue.recordFirstToken(this.clock.now, call.id);
        this.sendAnswer(call, replica, () => this.onFirstToken(call, replica));
      },
      done: () => {
        const {tokens} = call.arrival;
        const msPerToken = this.shape.speed.msPerToken * engine.fault.slowdown;
        queue.recordStream(tokens * msPerToken, tokens);
        const started = queue.release(this.clock.now, call.id);
        this.sendAnswer(call, replica, () => this.onDone(call));
        replica.startAll(started);
      },
    });
  }

  /** Returns an answer with a load report to the entry. */
  private sendAnswer(
    call: Call,
    replica: ReplicaModel,
    then: () => void,
  ): void {
    if (replica.isLost) return this.onLost(call);
    const load = replica.queue.report();
    const {router} = call.entry;
    this.runAfterLatency(call, replica, () => {
      const recordLoad = () =>
        router.recordLoad(this.clock.now, replica.incarnation, load);
      const {reportDelay = 0} = this.shape;
      if (reportDelay === 0) recordLoad();
      else this.clock.after(reportDelay, recordLoad);
      then();
    });
  }

  private onFirstToken(call: Call, replica: ReplicaModel): void {
    const {router} = call.entry;
    router.recordResult(
      this.clock.now,
      call.id,
      replica.incarnation,
      'answered',
    );
    call.firstTokenAt ??= this.clock.now;
  }

  private onDone(call: Call): void {
    if (call.isFinished) return;
    const first = (call.firstTokenAt ?? this.clock.now) - call.at;
    call.tally.recordDone(call.arrival.organisation, first);
    this.finish(call);
  }

  private onRejected(
    call: Call,
    replica: ReplicaModel,
    reason: ErrorName,
  ): void {
    const {router} = call.entry;
    router.recordResult(
      this.clock.now,
      call.id,
      replica.incarnation,
      'refused',
    );
    this.retry(call, reason);
  }

  private onFailed(call: Call, replica: ReplicaModel): void {
    const {router} = call.entry;
    router.recordResult(this.clock.now, call.id, replica.incarnation, 'failed');
    this.retry(call, 'upstream_failed');
  }

  private onLost(call: Call): void {
    this.clock.after(this.shape.zoneLatency, () => {
      this.retry(call, 'upstream_lost');
    });
  }

  private retry(call: Call, reason: ErrorName): void {
    if (call.triedReplicas.length > MAX_RETRIES) {
      return this.abort(call, reason);
    }
    this.dispatch(call, reason);
  }

  private abort(call: Call, reason: string): void {
    if (call.isFinished) return;
    call.tally.recordRejected(reason, this.clock.now - call.at);
    this.finish(call);
    const last = call.triedReplicas.at(-1);
    const replica = this.replicas.find(r => r.incarnation === last);
    if (replica === undefined || replica.isLost) return;
    this.runAfterLatency(call, replica, () => this.cancel(call, replica));
  }

  private cancel(call: Call, replica: ReplicaModel): void {
    replica.engine.cancel(call.id);
    replica.startCallbacks.delete(call.id);
    replica.rejectCallbacks.delete(call.id);
    replica.startAll(replica.queue.release(this.clock.now, call.id));
  }

  private finish(call: Call): void {
    call.isFinished = true;
    call.entry.router.endCall(this.clock.now, call.id);
  }

  private sweep(): void {
    for (const replica of this.replicas) {
      replica.queue.sweep(this.clock.now);
      replica.rejectShedCalls();
    }
  }

  private sendCacheEvents(): void {
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

  private runEvery(span: Millis, run: () => void): void {
    this.clock.after(span, () => {
      run();
      this.runEvery(span, run);
    });
  }
}
