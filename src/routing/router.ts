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
import type {BulkheadLimits, BulkheadVerdict} from './bulkhead.js';
import {FirstTokenPolicy} from './first_token_policy.js';
import type {CacheMessage, LoadReport} from './messages.js';
import {OutlierDetector} from './outlier_detector.js';
import type {GapRule} from './prefix_map.js';
import type {PromptPrefix} from './prompt_prefix.js';
import {ReplicaBook} from './replica_book.js';
import type {Replica} from './replica_book.js';
import type {ReplicaPolicy} from './replica_policy.js';
import {RetryBudget, nestedRetry} from './retry_budget.js';
import type {Candidate} from './types.js';

const RETRY_AFTER: Millis = SECOND;
/** Blocks of a prompt that name its start. */
const AFFINITY_BLOCKS = 1;
/** Replicas of the own zone, and of others, that one choice weighs. */
const WEIGHED_NEAR = 16;
const WEIGHED_FAR = 8;
const STRAGGLERS_EVERY: Millis = SECOND;
/** Replicas met this soon after the start were there before this entry. */
const START_UP: Millis = 5 * SECOND;

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
export type RouteVerdict =
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
      readonly why: Exclude<BulkheadVerdict, 'fits'> | RefusalCause;
    };

/** Why no upstream is given, apart from a full bulkhead. */
export type RefusalCause =
  'no_replica' | 'all_tried' | 'retry_budget' | 'nested_retry';

/** What became of an attempt. */
export type AttemptResult = 'answered' | 'failed' | 'refused';

interface Assignment {
  readonly upstream: Incarnation;
  readonly deadlineAt: Millis;
  answered: boolean;
}

const BULKHEAD_REASONS = {
  service_full: 'overloaded',
  edge_full: 'dependency_over_limit',
  undeclared: 'undeclared_dependency',
} as const satisfies Record<string, ErrorName>;

/** Chooses the upstream of each call of one entry. */
export class Router {
  private readonly book: ReplicaBook;
  private readonly outliers = new OutlierDetector();
  private readonly bulkhead = new Bulkhead();
  private readonly budget: RetryBudget;
  private readonly assigned = new Map<CallId, Assignment>();
  private readonly stragglersAt = new Map<ServiceName, Millis>();
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
    onGap: GapRule = 'keep',
  ) {
    this.budget = budget;
    this.book = new ReplicaBook(onGap);
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
  came(now: Millis, replica: Incarnation): void {
    this.startedAt ??= now;
    this.outliers.came(now, replica, now - this.startedAt < START_UP);
  }

  /**
   * A replica is gone for good.
   * @param replica - the replica
   */
  forget(replica: Incarnation): void {
    this.book.forget(replica);
    this.outliers.forget(replica);
  }

  /**
   * Chooses the upstream of a call's next attempt.
   * @param now - present time
   * @param request - the call and who could take it
   */
  choose(now: Millis, request: RouteRequest): RouteVerdict {
    const {call, retryOf} = request;
    this.release(now, call.callId);
    const cause = this.refusalOf(request);
    if (cause !== undefined) return refuse(retryOf, cause);
    const candidates = this.candidates(now, request);
    if (candidates.length === 0) {
      const tried = request.exclude.length > 0;
      return refuse(retryOf, tried ? 'all_tried' : 'no_replica');
    }
    const verdict = this.bulkhead.enter(
      call.callId,
      call.service,
      call.callerService,
    );
    if (verdict !== 'fits') {
      const reason = BULKHEAD_REASONS[verdict];
      return {chosen: false, reason, retryAfterMs: RETRY_AFTER, why: verdict};
    }
    const prefix = call.prefix ?? [];
    const upstream = this.policy.choose(candidates, {
      now,
      chance: this.chance,
      ownZone: this.ownZone,
      promptBlocks: prefix.length,
      affinity: prefix[Math.min(prefix.length, AFFINITY_BLOCKS) - 1],
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
  answered(
    now: Millis,
    callId: CallId,
    replica: Incarnation,
    result: AttemptResult,
  ): void {
    if (result === 'failed') this.outliers.failed(now, replica);
    if (result === 'answered') this.outliers.succeeded(replica);
    const assignment = this.assigned.get(callId);
    if (assignment?.upstream !== replica || assignment.answered) return;
    assignment.answered = true;
    this.book.answered(now, replica);
  }

  /**
   * A call is over.
   * @param now - present time
   * @param callId - the call
   */
  ended(now: Millis, callId: CallId): void {
    this.release(now, callId);
    this.bulkhead.leave(callId);
  }

  /**
   * A load report came.
   * @param now - present time
   * @param replica - whose
   * @param load - the report
   */
  loaded(now: Millis, replica: Incarnation, load: LoadReport): void {
    this.book.loaded(now, replica, load);
    this.outliers.paced(replica, load.msPerToken);
  }

  /**
   * Cache events came.
   * @param replica - whose
   * @param message - the events
   * @returns whether none was lost before them
   */
  cached(replica: Incarnation, message: CacheMessage): boolean {
    return this.book.cached(replica, message);
  }

  private refusalOf(request: RouteRequest): RefusalCause | undefined {
    const {call, retryOf} = request;
    if (retryOf === undefined) {
      this.budget.fresh(call.service);
      return undefined;
    }
    if (call.callerService !== undefined && !nestedRetry(retryOf)) {
      return 'nested_retry';
    }
    const paid = this.budget.spend(call.service, retryOf);
    return paid ? undefined : 'retry_budget';
  }

  private candidates(now: Millis, request: RouteRequest): Candidate[] {
    const {call, replicas, exclude} = request;
    this.lookForStragglers(now, call.service, replicas);
    const untried = this.outliers
      .inService(now, this.subset(call, replicas))
      .filter(({incarnation}) => !exclude.includes(incarnation));
    const prefix = call.prefix ?? [];
    const candidates = this.book.candidates(now, untried, prefix);
    const warm = candidates.filter(candidate => this.hasRoom(now, candidate));
    return warm.length > 0 ? warm : candidates;
  }

  /**
   * The replicas to weigh. Of many, those that calls with the same start of a
   * prompt always get, most of them in the own zone.
   */
  private subset(
    {prefix = []}: RoutedCall,
    replicas: readonly Replica[],
  ): readonly Replica[] {
    if (replicas.length <= WEIGHED_NEAR + WEIGHED_FAR) return replicas;
    const start = prefix[0] ?? this.chance.between(0, replicas.length - 1);
    const near: Replica[] = [];
    const far: Replica[] = [];
    for (const replica of replicas) {
      const isNear = replica.availabilityZone === this.ownZone;
      (isNear ? near : far).push(replica);
    }
    return [
      ...turnFrom(near, start, WEIGHED_NEAR),
      ...turnFrom(far, start, WEIGHED_FAR),
    ];
  }

  private hasRoom(now: Millis, {incarnation, inFlight, load}: Candidate) {
    const warmth = this.outliers.warmth(now, incarnation);
    if (warmth === 1) return true;
    return inFlight < Math.max(1, warmth * (load?.concurrency ?? 1));
  }

  private lookForStragglers(
    now: Millis,
    service: ServiceName,
    replicas: readonly Replica[],
  ): void {
    const last = this.stragglersAt.get(service) ?? -Infinity;
    if (now - last < STRAGGLERS_EVERY) return;
    this.stragglersAt.set(service, now);
    const ids = replicas.map(({incarnation}) => incarnation);
    this.outliers.findStragglers(now, ids);
  }

  private assign(now: Millis, call: RoutedCall, upstream: Incarnation): void {
    this.book.sent(now, upstream, call.prefix ?? []);
    const {deadlineAt} = call;
    this.assigned.set(call.callId, {upstream, deadlineAt, answered: false});
  }

  private release(now: Millis, callId: CallId): void {
    const assignment = this.assigned.get(callId);
    if (assignment === undefined) return;
    const {upstream, answered, deadlineAt} = assignment;
    this.assigned.delete(callId);
    this.book.ended(upstream, answered);
    if (!answered && now >= deadlineAt) this.outliers.failed(now, upstream);
  }
}

function refuse(
  retryOf: ErrorName | undefined,
  why: RefusalCause,
): RouteVerdict {
  const reason = retryOf ?? 'no_upstream';
  return {chosen: false, reason, retryAfterMs: RETRY_AFTER, why};
}

/** Up to `count` items from a place on, going round. */
function turnFrom<T>(items: readonly T[], start: number, count: number): T[] {
  const taken = Math.min(count, items.length);
  return Array.from(
    {length: taken},
    (_, i) => items[(start + i) % items.length] as T,
  );
}
