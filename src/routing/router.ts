import type {
  AvailabilityZone,
  CallId,
  Chance,
  Incarnation,
  Millis,
  ServiceName,
} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import {Bulkhead} from './bulkhead.js';
import type {BulkheadLimits, BulkheadResult} from './bulkhead.js';
import {FirstTokenPolicy} from './first_token_policy.js';
import type {CacheMessage, LoadReport} from './messages.js';
import {OutlierDetector} from './outlier_detector.js';
import type {GapPolicy} from './prefix_index.js';
import type {PromptPrefix} from './prompt_prefix.js';
import {ReplicaTracker} from './replica_tracker.js';
import type {Replica} from './replica_tracker.js';
import type {ReplicaPolicy} from './replica_policy.js';
import {RetryBudget, isNestedRetryAllowed} from './retry_budget.js';
import type {Candidate} from './types.js';

const DEFAULT_RETRY_AFTER: Millis = SECOND;
/** Leading prompt blocks whose hash is the affinity key. */
const AFFINITY_BLOCKS = 1;
/** Maximum replicas compared per call, in the own zone and in others. */
const MAX_LOCAL = 16;
const MAX_REMOTE = 8;
const STRAGGLER_CHECK_INTERVAL: Millis = SECOND;
/**
 * Replicas that connect this soon after the entry started were up before it,
 * and need no warm-up.
 */
const STARTUP_PERIOD: Millis = 5 * SECOND;

/** A call to be routed. */
export interface RoutedCall {
  readonly callId: CallId;
  readonly service: ServiceName;
  /** The calling service; undefined for an external caller. */
  readonly callerService?: ServiceName | undefined;
  /** Hashes of the prompt's leading blocks, if it has a prompt. */
  readonly prefix?: PromptPrefix | undefined;
  readonly deadlineAt: Millis;
}

/** Input of one routing decision. */
export interface RouteRequest {
  readonly call: RoutedCall;
  /** Upstreams of the service that accept new calls. */
  readonly replicas: readonly Replica[];
  /** Upstreams of earlier attempts. */
  readonly exclude: readonly Incarnation[];
  /** Error of the previous attempt; undefined on the first one. */
  readonly retryOf: ErrorName | undefined;
}

/** The upstream of an attempt, or why the attempt is rejected. */
export type RouteResult =
  | {
      readonly chosen: true;
      readonly upstream: Candidate;
      /** Number of candidates compared. */
      readonly considered: number;
    }
  | {
      readonly chosen: false;
      readonly reason: ErrorName;
      readonly retryAfterMs: Millis;
      readonly cause: Exclude<BulkheadResult, 'fits'> | RejectionCause;
    };

/** Why an attempt is rejected, other than by the bulkhead. */
export type RejectionCause =
  'no_replica' | 'all_tried' | 'retry_budget' | 'nested_retry';

/** First response to an attempt, or its failure. */
export type AttemptResult = 'answered' | 'failed' | 'refused';

interface Assignment {
  readonly upstream: Incarnation;
  readonly deadlineAt: Millis;
  isAnswered: boolean;
}

const BULKHEAD_REASONS = {
  service_full: 'overloaded',
  edge_full: 'dependency_over_limit',
  undeclared: 'undeclared_dependency',
} as const satisfies Record<string, ErrorName>;

/** Load balancer of one entry: selects the upstream of each call. */
export class Router {
  private readonly replicas: ReplicaTracker;
  private readonly outliers = new OutlierDetector();
  private readonly bulkhead = new Bulkhead();
  private readonly budget: RetryBudget;
  private readonly assignments = new Map<CallId, Assignment>();
  private readonly stragglerCheckedAt = new Map<ServiceName, Millis>();
  private startedAt: Millis | undefined;

  /**
   * @param ownZone - the entry's availability zone
   * @param chance - source of randomness, such as for ties
   * @param policy - selects among the candidates
   * @param budget - limits retries
   * @param onGap - effect of lost cache events on a replica's prefix index
   */
  constructor(
    private readonly ownZone: AvailabilityZone,
    private readonly chance: Chance,
    private readonly policy: ReplicaPolicy = new FirstTokenPolicy(),
    budget = new RetryBudget(),
    onGap: GapPolicy = 'keep',
  ) {
    this.budget = budget;
    this.replicas = new ReplicaTracker(onGap);
  }

  /**
   * Applies the limits of a new configuration.
   * @param limits - limits by service
   */
  configure(limits: ReadonlyMap<ServiceName, BulkheadLimits>): void {
    this.bulkhead.configure(limits);
  }

  /**
   * Records a connected replica, and warms it up if it is new.
   * @param now - current time
   * @param replica - the replica
   */
  onReplicaUp(now: Millis, replica: Incarnation): void {
    this.startedAt ??= now;
    this.outliers.onReplicaUp(
      now,
      replica,
      now - this.startedAt < STARTUP_PERIOD,
    );
  }

  /**
   * Discards the state of a replica that won't return.
   * @param replica - the replica
   */
  removeReplica(replica: Incarnation): void {
    this.replicas.remove(replica);
    this.outliers.remove(replica);
  }

  /**
   * Selects the upstream of a call's next attempt.
   * @param now - current time
   * @param request - the call and its eligible replicas
   */
  choose(now: Millis, request: RouteRequest): RouteResult {
    const {call, retryOf} = request;
    this.release(now, call.callId);
    const cause = this.rejectionCause(request);
    if (cause !== undefined) return rejectRoute(retryOf, cause);
    const candidates = this.candidates(now, request);
    if (candidates.length === 0) {
      const hasTried = request.exclude.length > 0;
      return rejectRoute(retryOf, hasTried ? 'all_tried' : 'no_replica');
    }
    const admission = this.bulkhead.tryAcquire(
      call.callId,
      call.service,
      call.callerService,
    );
    if (admission !== 'fits') {
      const reason = BULKHEAD_REASONS[admission];
      return {
        chosen: false,
        reason,
        retryAfterMs: DEFAULT_RETRY_AFTER,
        cause: admission,
      };
    }
    const prefix = call.prefix ?? [];
    const upstream = this.policy.choose(candidates, {
      now,
      chance: this.chance,
      ownZone: this.ownZone,
      promptBlocks: prefix.length,
      affinityKey: prefix[Math.min(prefix.length, AFFINITY_BLOCKS) - 1],
    });
    this.assign(now, call, upstream.incarnation);
    return {chosen: true, upstream, considered: candidates.length};
  }

  /**
   * Records the first response to an attempt, or its failure.
   * @param now - current time
   * @param callId - the call
   * @param replica - the attempt's upstream
   * @param result - the outcome
   */
  recordResult(
    now: Millis,
    callId: CallId,
    replica: Incarnation,
    result: AttemptResult,
  ): void {
    if (result === 'failed') this.outliers.recordFailure(now, replica);
    if (result === 'answered') this.outliers.recordSuccess(replica);
    const assignment = this.assignments.get(callId);
    if (assignment?.upstream !== replica || assignment.isAnswered) return;
    assignment.isAnswered = true;
    this.replicas.recordFirstAnswer(now, replica);
  }

  /**
   * Releases the resources of a finished call.
   * @param now - current time
   * @param callId - the call
   */
  endCall(now: Millis, callId: CallId): void {
    this.release(now, callId);
    this.bulkhead.release(callId);
  }

  /**
   * Records a load report.
   * @param now - current time
   * @param replica - the reporting replica
   * @param load - the report
   */
  recordLoad(now: Millis, replica: Incarnation, load: LoadReport): void {
    this.replicas.recordLoad(now, replica, load);
    this.outliers.recordTokenTime(replica, load.msPerToken);
  }

  /**
   * Applies cache events to the replica's prefix index.
   * @param replica - the replica
   * @param message - the events
   * @returns false if events before these were lost
   */
  applyCacheEvents(replica: Incarnation, message: CacheMessage): boolean {
    return this.replicas.applyCacheEvents(replica, message);
  }

  private rejectionCause(request: RouteRequest): RejectionCause | undefined {
    const {call, retryOf} = request;
    if (retryOf === undefined) {
      this.budget.recordCall(call.service);
      return undefined;
    }
    if (call.callerService !== undefined && !isNestedRetryAllowed(retryOf)) {
      return 'nested_retry';
    }
    const isWithinBudget = this.budget.trySpend(call.service, retryOf);
    return isWithinBudget ? undefined : 'retry_budget';
  }

  private candidates(now: Millis, request: RouteRequest): Candidate[] {
    const {call, replicas, exclude} = request;
    this.ejectStragglers(now, call.service, replicas);
    const untried = this.outliers
      .inService(now, this.subset(call, replicas))
      .filter(({incarnation}) => !exclude.includes(incarnation));
    const prefix = call.prefix ?? [];
    const candidates = this.replicas.candidates(now, untried, prefix);
    const available = candidates.filter(candidate =>
      this.hasCapacity(now, candidate),
    );
    return available.length > 0 ? available : candidates;
  }

  /**
   * Returns a bounded subset of the replicas, mostly in the entry's own zone.
   * Prompts with the same first block always get the same subset.
   */
  private subset(
    {prefix = []}: RoutedCall,
    replicas: readonly Replica[],
  ): readonly Replica[] {
    if (replicas.length <= MAX_LOCAL + MAX_REMOTE) return replicas;
    const start = prefix[0] ?? this.chance.between(0, replicas.length - 1);
    const local: Replica[] = [];
    const remote: Replica[] = [];
    for (const replica of replicas) {
      const isLocal = replica.availabilityZone === this.ownZone;
      (isLocal ? local : remote).push(replica);
    }
    return [
      ...rotatedSlice(local, start, MAX_LOCAL),
      ...rotatedSlice(remote, start, MAX_REMOTE),
    ];
  }

  private hasCapacity(now: Millis, {incarnation, inFlight, load}: Candidate) {
    const warmUpShare = this.outliers.warmUpShare(now, incarnation);
    if (warmUpShare === 1) return true;
    return inFlight < Math.max(1, warmUpShare * (load?.concurrency ?? 1));
  }

  private ejectStragglers(
    now: Millis,
    service: ServiceName,
    replicas: readonly Replica[],
  ): void {
    const lastCheck = this.stragglerCheckedAt.get(service) ?? -Infinity;
    if (now - lastCheck < STRAGGLER_CHECK_INTERVAL) return;
    this.stragglerCheckedAt.set(service, now);
    const ids = replicas.map(({incarnation}) => incarnation);
    this.outliers.ejectStragglers(now, ids);
  }

  private assign(now: Millis, call: RoutedCall, upstream: Incarnation): void {
    this.replicas.recordSent(now, upstream, call.prefix ?? []);
    const {deadlineAt} = call;
    this.assignments.set(call.callId, {
      upstream,
      deadlineAt,
      isAnswered: false,
    });
  }

  private release(now: Millis, callId: CallId): void {
    const assignment = this.assignments.get(callId);
    if (assignment === undefined) return;
    const {upstream, isAnswered, deadlineAt} = assignment;
    this.assignments.delete(callId);
    this.replicas.recordEnd(upstream, isAnswered);
    if (!isAnswered && now >= deadlineAt) {
      this.outliers.recordFailure(now, upstream);
    }
  }
}

function rejectRoute(
  retryOf: ErrorName | undefined,
  cause: RejectionCause,
): RouteResult {
  const reason = retryOf ?? 'no_upstream';
  return {
    chosen: false,
    reason,
    retryAfterMs: DEFAULT_RETRY_AFTER,
    cause,
  };
}

/** Returns up to `count` items from index `start`, wrapping around. */
function rotatedSlice<T>(
  items: readonly T[],
  start: number,
  count: number,
): T[] {
  const size = Math.min(count, items.length);
  return Array.from(
    {length: size},
    (_, i) => items[(start + i) % items.length] as T,
  );
}
