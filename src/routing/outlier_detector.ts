import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Consecutive failures after which a replica is ejected. */
const CONSECUTIVE_FAILURE_LIMIT = 5;
const BASE_EJECTION: Millis = 10 * SECOND;
const MAX_EJECTION: Millis = 160 * SECOND;
/** A replica slower than the median by more than this factor is ejected. */
const STRAGGLER_FACTOR = 3;
/** Fewest measured replicas for a meaningful median. */
const MIN_STRAGGLER_SAMPLES = 3;
/** Smallest share of a service's replicas in service. */
const MIN_IN_SERVICE_SHARE = 0.5;
/** Time until a new or readmitted replica receives its full share. */
const WARM_UP_PERIOD: Millis = 20 * SECOND;
const MIN_WARM_UP_SHARE = 0.1;

/** Why a replica is ejected. */
export type EjectionReason = 'failures' | 'straggler';

interface ReplicaHealth {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: Millis;
  reason: EjectionReason;
  /** When it was added, or when its last ejection ends. */
  warmUpStartedAt: Millis;
  msPerToken: Millis;
}

/** Outlier detection: ejects bad replicas for a time, then warms them up. */
export class OutlierDetector {
  private readonly healthByReplica = new Map<Incarnation, ReplicaHealth>();

  /**
   * Records a connected replica and starts its warm-up.
   * @param now - current time
   * @param replica - the replica
   * @param isWarm - whether to skip the warm-up
   */
  onReplicaUp(now: Millis, replica: Incarnation, isWarm: boolean): void {
    const warmUpStartedAt = isWarm ? now - WARM_UP_PERIOD : now;
    this.healthByReplica.set(replica, {
      ...this.healthOf(replica),
      warmUpStartedAt,
    });
  }

  /**
   * Discards the state of a replica.
   * @param replica - the replica
   */
  remove(replica: Incarnation): void {
    this.healthByReplica.delete(replica);
  }

  /**
   * Records a successful call, which resets the failure count.
   * @param replica - the replica
   */
  recordSuccess(replica: Incarnation): void {
    this.healthOf(replica).consecutiveFailures = 0;
  }

  /**
   * Records a failed call and ejects the replica at the limit.
   * @param now - current time
   * @param replica - the replica
   */
  recordFailure(now: Millis, replica: Incarnation): void {
    const health = this.healthOf(replica);
    health.consecutiveFailures += 1;
    if (health.consecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT)
      this.eject(now, health, 'failures');
  }

  /**
   * Records a replica's reported time per token.
   * @param replica - the replica
   * @param msPerToken - time between two tokens, ms; 0 if unknown
   */
  recordTokenTime(replica: Incarnation, msPerToken: Millis): void {
    this.healthOf(replica).msPerToken = msPerToken;
  }

  /**
   * Ejects replicas whose time per token is far above the median.
   * @param now - current time
   * @param replicas - the replicas of one service
   */
  ejectStragglers(now: Millis, replicas: readonly Incarnation[]): void {
    const measured = replicas
      .map(replica => this.healthOf(replica))
      .filter(({msPerToken}) => msPerToken > 0);
    if (measured.length < MIN_STRAGGLER_SAMPLES) return;
    const tokenTimes = measured
      .map(({msPerToken}) => msPerToken)
      .sort((a, b) => a - b);
    const median = tokenTimes[
      Math.floor((tokenTimes.length - 1) / 2)
    ] as Millis;
    for (const health of measured) {
      if (health.msPerToken <= STRAGGLER_FACTOR * median) continue;
      this.eject(now, health, 'straggler');
    }
  }

  /**
   * Returns why a replica is ejected, or undefined if it is in service.
   * @param now - current time
   * @param replica - the replica
   */
  ejectionReason(
    now: Millis,
    replica: Incarnation,
  ): EjectionReason | undefined {
    const health = this.healthByReplica.get(replica);
    if (health === undefined || health.ejectedUntil <= now) return undefined;
    return health.reason;
  }

  /**
   * Returns the replicas that aren't ejected. If too few remain, the fault is
   * probably elsewhere, and all replicas are returned.
   * @param now - current time
   * @param replicas - the replicas of one service
   */
  inService<T extends {readonly incarnation: Incarnation}>(
    now: Millis,
    replicas: readonly T[],
  ): readonly T[] {
    const remaining = replicas.filter(
      ({incarnation}) => this.ejectionReason(now, incarnation) === undefined,
    );
    return remaining.length >= replicas.length * MIN_IN_SERVICE_SHARE
      ? remaining
      : replicas;
  }

  /**
   * Returns the share of its concurrency that a replica may use, up to 1.
   * @param now - current time
   * @param replica - the replica
   */
  warmUpShare(now: Millis, replica: Incarnation): number {
    const health = this.healthByReplica.get(replica);
    if (health === undefined) return 1;
    const elapsedShare = (now - health.warmUpStartedAt) / WARM_UP_PERIOD;
    return Math.min(1, Math.max(MIN_WARM_UP_SHARE, elapsedShare));
  }

  private eject(
    now: Millis,
    health: ReplicaHealth,
    reason: EjectionReason,
  ): void {
    if (health.ejectedUntil > now) return;
    const backoff = BASE_EJECTION * 2 ** health.ejections;
    const duration = Math.min(MAX_EJECTION, backoff);
    const isBackoffReset = now - health.ejectedUntil > MAX_EJECTION;
    health.ejections = isBackoffReset ? 1 : health.ejections + 1;
    health.consecutiveFailures = 0;
    health.msPerToken = 0;
    health.reason = reason;
    health.ejectedUntil = now + (isBackoffReset ? BASE_EJECTION : duration);
    health.warmUpStartedAt = health.ejectedUntil;
  }

  private healthOf(replica: Incarnation): ReplicaHealth {
    const existing = this.healthByReplica.get(replica);
    if (existing !== undefined) return existing;
    const health: ReplicaHealth = {
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntil: -Infinity,
      reason: 'failures',
      warmUpStartedAt: -Infinity,
      msPerToken: 0,
    };
    this.healthByReplica.set(replica, health);
    return health;
  }
}
