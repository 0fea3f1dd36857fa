import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Failures in a row after which a replica is left out. */
const CONSECUTIVE_FAILURE_LIMIT = 5;
const BASE_EJECTION: Millis = 10 * SECOND;
const MAX_EJECTION: Millis = 160 * SECOND;
/** A replica this many times slower than the median is a straggler. */
const STRAGGLER_FACTOR = 3;
/** Replicas that must be known before a median means anything. */
const MIN_STRAGGLER_SAMPLES = 3;
/** Share of a service's replicas that always stays in. */
const MIN_IN_SERVICE_SHARE = 0.5;
/** A replica gets its full share this long after it came or came back. */
const WARM_UP_PERIOD: Millis = 20 * SECOND;
const MIN_WARM_UP_SHARE = 0.1;

/** Why a replica is left out. */
export type EjectionReason = 'failures' | 'straggler';

interface ReplicaHealth {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: Millis;
  reason: EjectionReason;
  /** Since when it takes work, after it came or came back. */
  warmUpStartedAt: Millis;
  msPerToken: Millis;
}

/** Tells which replicas to leave out for a while, and which to warm up. */
export class OutlierDetector {
  private readonly healthByReplica = new Map<Incarnation, ReplicaHealth>();

  /**
   * A replica came.
   * @param now - present time
   * @param replica - the replica
   * @param isWarm - whether it takes its full share at once
   */
  onReplicaUp(now: Millis, replica: Incarnation, isWarm: boolean): void {
    const warmUpStartedAt = isWarm ? now - WARM_UP_PERIOD : now;
    this.healthByReplica.set(replica, {
      ...this.healthOf(replica),
      warmUpStartedAt,
    });
  }

  /**
   * A replica is gone for good.
   * @param replica - the replica
   */
  remove(replica: Incarnation): void {
    this.healthByReplica.delete(replica);
  }

  /**
   * A call went well there.
   * @param replica - the replica
   */
  recordSuccess(replica: Incarnation): void {
    this.healthOf(replica).consecutiveFailures = 0;
  }

  /**
   * A call failed there.
   * @param now - present time
   * @param replica - the replica
   */
  recordFailure(now: Millis, replica: Incarnation): void {
    const health = this.healthOf(replica);
    health.consecutiveFailures += 1;
    if (health.consecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT)
      this.eject(now, health, 'failures');
  }

  /**
   * A replica told how long a token takes there.
   * @param replica - the replica
   * @param msPerToken - the time; 0 when not known
   */
  recordTokenTime(replica: Incarnation, msPerToken: Millis): void {
    this.healthOf(replica).msPerToken = msPerToken;
  }

  /**
   * Looks for replicas whose tokens take far longer than those of the others.
   * @param now - present time
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
   * Why a replica is left out, if it is.
   * @param now - present time
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
   * The replicas that take work. Never fewer than the floor: when more are
   * left out, the fault is likely not theirs, and all take work.
   * @param now - present time
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
   * Share of its places that a replica may be given, up to 1.
   * @param now - present time
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
