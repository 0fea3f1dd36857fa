import {AdmissionQueue} from '../../src/admission/index.js';
import type {
  AvailabilityZone,
  CallId,
  Chance,
  Incarnation,
  Millis,
  ServiceName,
} from '../../src/core/index.js';
import type {ErrorName} from '../../src/errors/index.js';
import {RetryBudget, Router} from '../../src/routing/index.js';
import type {
  BulkheadLimits,
  GapPolicy,
  ReplicaPolicy,
} from '../../src/routing/index.js';
import type {VirtualClock} from './clock.js';
import {EngineModel} from './engine_model.js';
import type {EngineSpeed} from './engine_model.js';

/** Size, latency and policies of an estate. */
export interface EstateShape {
  readonly zones: number;
  readonly entriesPerZone: number;
  readonly replicasPerZone: number;
  /** One-way latency between availability zones, ms. */
  readonly zoneLatency: Millis;
  readonly speed: EngineSpeed;
  readonly concurrency: number;
  readonly queue: number;
  readonly policy: () => ReplicaPolicy;
  /** Delay and loss of cache events; undefined sends none. */
  readonly cacheEvents?: {
    readonly delay: Millis;
    readonly loss: number;
    readonly removed?: boolean;
  };
  /** Number of engine blocks per router block. */
  readonly granularity?: number;
  /** Additional delay of load reports, ms. */
  readonly reportDelay?: Millis;
  readonly budget?: () => RetryBudget;
  readonly onGap?: GapPolicy;
  readonly limits?: ReadonlyMap<ServiceName, BulkheadLimits>;
}

/** Model of an entry: its zone and router. */
export class EntryModel {
  readonly router: Router;

  constructor(
    readonly zone: AvailabilityZone,
    chance: Chance,
    {policy, budget, limits, onGap}: EstateShape,
  ) {
    const retryBudget = budget?.() ?? new RetryBudget();
    this.router = new Router(zone, chance, policy(), retryBudget, onGap);
    if (limits) this.router.configure(limits);
  }
}

/** Model of a replica: the sidecar's admission queue and an engine. */
export class ReplicaModel {
  readonly engine: EngineModel;
  readonly queue: AdmissionQueue;
  readonly startCallbacks = new Map<CallId, () => void>();
  readonly rejectCallbacks = new Map<CallId, (reason: ErrorName) => void>();
  stored: number[] = [];
  removed: number[] = [];
  seq = 0;
  /** Whether the replica is lost with its zone. */
  isLost = false;

  constructor(
    clock: VirtualClock,
    shape: EstateShape,
    readonly incarnation: Incarnation,
    readonly availabilityZone: AvailabilityZone,
    routerBlocks: ReadonlySet<number>,
  ) {
    const {concurrency, queue} = shape;
    this.queue = new AdmissionQueue({concurrency, queue});
    this.engine = new EngineModel(clock, shape.speed, (stored, removed) => {
      if (shape.cacheEvents === undefined) return;
      const isRouterBlock = (hash: number) => routerBlocks.has(hash);
      this.stored.push(...stored.filter(isRouterBlock));
      if (shape.cacheEvents.removed === false) return;
      this.removed.push(...removed.filter(isRouterBlock));
    });
  }

  rejectShedCalls(): void {
    for (const {callId: id, reason} of this.queue.takeShedCalls()) {
      this.startCallbacks.delete(id);
      this.rejectCallbacks.get(id)?.(reason);
      this.rejectCallbacks.delete(id);
    }
  }

  startAll(ids: readonly CallId[]): void {
    this.rejectShedCalls();
    for (const id of ids) {
      const start = this.startCallbacks.get(id);
      this.startCallbacks.delete(id);
      this.rejectCallbacks.delete(id);
      start?.();
    }
  }
}
