import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Failures in a row after which a replica is left out. */
const FAILURES = 5;
const BASE_EJECTION: Millis = 10 * SECOND;
const MAX_EJECTION: Millis = 160 * SECOND;
/** A replica this many times slower than the median is a straggler. */
const STRAGGLER_FACTOR = 3;
/** Replicas that must be known before a median means anything. */
const STRAGGLER_QUORUM = 3;
/** Share of a service's replicas that always stays in. */
const FLOOR = 0.5;
/** A replica gets its full share this long after it came or came back. */
const WARM_UP: Millis = 20 * SECOND;
const LEAST_WARMTH = 0.1;

/** Why a replica is left out. */
export type EjectionReason = 'failures' | 'straggler';

interface Health {
  failures: number;
  ejections: number;
  ejectedUntil: Millis;
  reason: EjectionReason;
  /** Since when it takes work, after it came or came back. */
  warmSince: Millis;
  msPerToken: Millis;
}

/** Tells which replicas to leave out for a while, and which to warm up. */
export class OutlierDetector {
  private readonly healths = new Map<Incarnation, Health>();

  /**
   * A replica came.
   * @param now - present time
   * @param replica - the replica
   * @param warm - whether it takes its full share at once
   */
  came(now: Millis, replica: Incarnation, warm: boolean): void {
    const warmSince = warm ? now - WARM_UP : now;
    this.healths.set(replica, {...this.healthOf(replica), warmSince});
  }

  /**
   * A replica is gone for good.
   * @param replica - the replica
   */
  forget(replica: Incarnation): void {
    this.healths.delete(replica);
  }

  /**
   * A call went well there.
   * @param replica - the replica
   */
  succeeded(replica: Incarnation): void {
    this.healthOf(replica).failures = 0;
  }

  /**
   * A call failed there.
   * @param now - present time
   * @param replica - the replica
   */
  failed(now: Millis, replica: Incarnation): void {
    const health = this.healthOf(replica);
    health.failures += 1;
    if (health.failures >= FAILURES) this.eject(now, health, 'failures');
  }

  /**
   * A replica told how long a token takes there.
   * @param replica - the replica
   * @param msPerToken - the time; 0 when not known
   */
  paced(replica: Incarnation, msPerToken: Millis): void {
    this.healthOf(replica).msPerToken = msPerToken;
  }

  /**
   * Looks for replicas whose tokens take far longer than those of the others.
   * @param now - present time
   * @param replicas - the replicas of one service
   */
  findStragglers(now: Millis, replicas: readonly Incarnation[]): void {
    const known = replicas
      .map(replica => this.healthOf(replica))
      .filter(({msPerToken}) => msPerToken > 0);
    if (known.length < STRAGGLER_QUORUM) return;
    const paces = known.map(({msPerToken}) => msPerToken).sort((a, b) => a - b);
    const median = paces[Math.floor((paces.length - 1) / 2)] as Millis;
    for (const health of known) {
      if (health.msPerToken <= STRAGGLER_FACTOR * median) continue;
      this.eject(now, health, 'straggler');
    }
  }

  /**
   * Why a replica is left out, if it is.
   * @param now - present time
   * @param replica - the replica
   */
  ejection(now: Millis, replica: Incarnation): EjectionReason | undefined {
    const health = this.healths.get(replica);
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
    const kept = replicas.filter(
      ({incarnation}) => this.ejection(now, incarnation) === undefined,
    );
    return kept.length >= replicas.length * FLOOR ? kept : replicas;
  }

  /**
   * Share of its places that a replica may be given, up to 1.
   * @param now - present time
   * @param replica - the replica
   */
  warmth(now: Millis, replica: Incarnation): number {
    const health = this.healths.get(replica);
    if (health === undefined) return 1;
    const age = (now - health.warmSince) / WARM_UP;
    return Math.min(1, Math.max(LEAST_WARMTH, age));
  }

  private eject(now: Millis, health: Health, reason: EjectionReason): void {
    if (health.ejectedUntil > now) return;
    const longest = BASE_EJECTION * 2 ** health.ejections;
    const span = Math.min(MAX_EJECTION, longest);
    const quiet = now - health.ejectedUntil > MAX_EJECTION;
    health.ejections = quiet ? 1 : health.ejections + 1;
    health.failures = 0;
    health.msPerToken = 0;
    health.reason = reason;
    health.ejectedUntil = now + (quiet ? BASE_EJECTION : span);
    health.warmSince = health.ejectedUntil;
  }

  private healthOf(replica: Incarnation): Health {
    const known = this.healths.get(replica);
    if (known !== undefined) return known;
    const health: Health = {
      failures: 0,
      ejections: 0,
      ejectedUntil: -Infinity,
      reason: 'failures',
      warmSince: -Infinity,
      msPerToken: 0,
    };
    this.healths.set(replica, health);
    return health;
  }
}
