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
/** Blocks of a prompt that name its start. */
const AFFINITY_BLOCKS = 1;
/** Replicas of the own zone, and of others, that one choice weighs. */
const MAX_LOCAL = 16;
const MAX_REMOTE = 8;
const STRAGGLER_CHECK_INTERVAL: Millis = SECOND;
/** Replicas met this soon after the start were there before this entry. */
const STARTUP_PERIOD: Millis = 5 * SECOND;

/** A call that needs an upstream. */
export interface RoutedCall {
  readonly callId: CallId;
  readonly service: ServiceName;
  /** The service that makes the call, if one does. */
  readonly callerService?: ServiceName | undefined;
  /** Hashes of its prompt, if it has one. */
  readonly prefix?: PromptPrefix | undefined;
  readonly deadlineAt: Millis;
}

/** One wish for an upstream. */
export interface RouteRequest {
  readonly call: RoutedCall;
  /** Upstreams of the service that take new work. */
  readonly replicas: readonly Replica[];
  /** Upstreams that were tried. */
  readonly exclude: readonly Incarnation[];
  /** Why this is not the first attempt, if it is not. */
  readonly retryOf: ErrorName | undefined;
}

/** Where a call goes, or why it goes nowhere. */
export type RouteResult =
  | {
      readonly chosen: true;
      readonly upstream: Candidate;
      /** Upstreams that were weighed. */
      readonly considered: number;
    }
  | {
      readonly chosen: false;
      readonly reason: ErrorName;
      readonly retryAfterMs: Millis;
      readonly cause: Exclude<BulkheadResult, 'fits'> | RejectionCause;
    };

/** Why no upstream is given, apart from a full bulkhead. */
export type RejectionCause =
  'no_replica' | 'all_tried' | 'retry_budget' | 'nested_retry';

/** What became of an attempt. */
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

/** Chooses the upstream of each call of one entry. */
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
   * @param chance - draws among equals
   * @param policy - how to choose
   * @param budget - bounds the retries
   * @param onGap - what lost cache events do to a replica's map
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
   * Takes the limits of a new configuration.
   * @param limits - the limits of each service
   */
  configure(limits: ReadonlyMap<ServiceName, BulkheadLimits>): void {
    this.bulkhead.configure(limits);
  }

  /**
   * A replica came within reach.
   * @param now - present time
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
   * A replica is gone for good.
   * @param replica - the replica
   */
  removeReplica(replica: Incarnation): void {
    this.replicas.remove(replica);
    this.outliers.remove(replica);
  }

  /**
   * Chooses the upstream of a call's next attempt.
   * @param now - present time
   * @param request - the call and who could take it
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
   * An attempt was answered for the first time, or ended badly.
   * @param now - present time
   * @param callId - the call
   * @param replica - who answered
   * @param result - what it said
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
   * A call is over.
   * @param now - present time
   * @param callId - the call
   */
  endCall(now: Millis, callId: CallId): void {
    this.release(now, callId);
    this.bulkhead.release(callId);
  }

  /**
   * A load report came.
   * @param now - present time
   * @param replica - whose
   * @param load - the report
   */
  recordLoad(now: Millis, replica: Incarnation, load: LoadReport): void {
    this.replicas.recordLoad(now, replica, load);
    this.outliers.recordTokenTime(replica, load.msPerToken);
  }

  /**
   * Cache events came.
   * @param replica - whose
   * @param message - the events
   * @returns whether none was lost before them
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
   * The replicas to weigh. Of many, those that calls with the same start of a
   * prompt always get, most of them in the own zone.
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

/** Up to `count` items from a place on, going round. */
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
