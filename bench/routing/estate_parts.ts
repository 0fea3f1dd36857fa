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

/** How an estate is built. */
export interface EstateShape {
  readonly zones: number;
  readonly entriesPerZone: number;
  readonly replicasPerZone: number;
  /** One way between availability zones, ms. */
  readonly zoneLatency: Millis;
  readonly speed: EngineSpeed;
  readonly concurrency: number;
  readonly queue: number;
  readonly policy: () => ReplicaPolicy;
  /** Late and lossy cache events, if entries get them. */
  readonly cacheEvents?: {
    readonly delay: Millis;
    readonly loss: number;
    readonly removed?: boolean;
  };
  /** Blocks of the engine that one block of the routers stands for. */
  readonly granularity?: number;
  /** Load reports take this much longer. */
  readonly reportDelay?: Millis;
  readonly budget?: () => RetryBudget;
  readonly onGap?: GapPolicy;
  readonly limits?: ReadonlyMap<ServiceName, BulkheadLimits>;
}

/** One entry: a router and what it needs of the run. */
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

/** One replica: the sidecar's queue before an engine. */
export class ReplicaModel {
  readonly engine: EngineModel;
  readonly queue: AdmissionQueue;
  readonly startCallbacks = new Map<CallId, () => void>();
  readonly rejectCallbacks = new Map<CallId, (reason: ErrorName) => void>();
  stored: number[] = [];
  removed: number[] = [];
  seq = 0;
  /** Whether it and its zone are gone. */
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
