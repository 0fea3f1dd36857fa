import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** EWMA weight of one outcome in the success rate of an upstream. */
const OUTCOME_WEIGHT = 0.12;
/** EWMA weight of one sample in the latency of an upstream. */
const LATENCY_WEIGHT = 0.2;
/** Exponential backoff before an unreachable upstream is retried. */
const SUSPENSION_BASE: Millis = SECOND / 2;
const SUSPENSION_CAP: Millis = 4 * SECOND;

/** Load and health of one upstream, as measured by this entry. */
export interface UpstreamLoad {
  /** Requests of this entry in flight at the upstream. */
  readonly inFlight: number;
  /** Prompt tokens of these requests. */
  readonly tokens: number;
  /** Fraction of recent requests that succeeded, 0 to 1 (EWMA). */
  readonly successRate: number;
  /** Time to a response (EWMA); undefined before the first response. */
  readonly latency: Millis | undefined;
}

interface UpstreamStats {
  inFlight: number;
  tokens: number;
  successRate: number;
  latency: Millis | undefined;
  unreachable: number;
  suspendedUntil: Millis;
  backsOffUntil: Millis;
}

const IDLE: UpstreamLoad = {
  inFlight: 0,
  tokens: 0,
  successRate: 1,
  latency: undefined,
};

/** Outcome of a request, as far as it affects the upstream's health. */
export type HealthOutcome =
  /** A complete response. */
  | 'good'
  /** A response that reports an upstream fault, or an incomplete one. */
  | 'bad'
  /** No connection, or an unresponsive one. */
  | 'unreachable'
  /** No evidence: rejected for load, or the caller disconnected. */
  | 'neutral';

/** Tracks load and health of the upstreams from this entry's own requests. */
export class LoadTracker {
  private readonly stats = new Map<Incarnation, UpstreamStats>();

  /** Number of tracked upstreams. */
  get size(): number {
    return this.stats.size;
  }

  /**
   * Returns the current load of an upstream.
   * @param upstream - its incarnation
   */
  loadOf(upstream: Incarnation): UpstreamLoad {
    return this.stats.get(upstream) ?? IDLE;
  }

  /**
   * Records that a request is sent.
   * @param upstream - incarnation of its upstream
   * @param tokens - number of prompt tokens
   */
  recordSent(upstream: Incarnation, tokens: number): void {
    const row = this.statsOf(upstream);
    row.inFlight += 1;
    row.tokens += tokens;
  }

  /**
   * Records the end of a request that was sent.
   * @param now - current time
   * @param upstream - incarnation of its upstream
   * @param tokens - number of prompt tokens
   * @param verdict - outcome for the upstream's health
   * @param latency - time to the response, if there was one
   */
  recordEnded(
    now: Millis,
    upstream: Incarnation,
    tokens: number,
    verdict: HealthOutcome,
    latency?: Millis,
  ): void {
    const row = this.statsOf(upstream);
    row.inFlight -= 1;
    row.tokens -= tokens;
    if (latency !== undefined) {
      const before = row.latency ?? latency;
      row.latency = before + LATENCY_WEIGHT * (latency - before);
    }
    if (verdict === 'neutral') return;
    const outcome = verdict === 'good' ? 1 : 0;
    row.successRate += OUTCOME_WEIGHT * (outcome - row.successRate);
    if (verdict === 'unreachable') this.suspend(now, row);
    else row.unreachable = 0;
  }

  /**
   * Returns whether an upstream is in backoff after it was unreachable.
   * @param now - current time
   * @param upstream - its incarnation
   */
  isSuspended(now: Millis, upstream: Incarnation): boolean {
    return (this.stats.get(upstream)?.suspendedUntil ?? -Infinity) > now;
  }

  /**
   * Records a backoff that an upstream requested. It holds for the incarnation,
   * even if the connection that carried the response is closed.
   * @param now - current time
   * @param upstream - its incarnation
   * @param span - duration of the backoff
   */
  recordBackoff(now: Millis, upstream: Incarnation, span: Millis): void {
    const row = this.statsOf(upstream);
    row.backsOffUntil = Math.max(row.backsOffUntil, now + span);
  }

  /**
   * Returns the end of the backoff that an upstream requested.
   * @param upstream - its incarnation
   * @returns -Infinity if it never requested one
   */
  backoffUntil(upstream: Incarnation): Millis {
    return this.stats.get(upstream)?.backsOffUntil ?? -Infinity;
  }

  /**
   * Removes the upstreams that are gone and have no requests in flight.
   * @param isActive - whether an upstream may still get requests
   */
  prune(isActive: (upstream: Incarnation) => boolean): void {
    for (const [upstream, {inFlight}] of this.stats) {
      if (inFlight === 0 && !isActive(upstream)) this.stats.delete(upstream);
    }
  }

  private suspend(now: Millis, row: UpstreamStats): void {
    const span = SUSPENSION_BASE * 2 ** Math.min(row.unreachable, 8);
    row.unreachable += 1;
    row.suspendedUntil = now + Math.min(SUSPENSION_CAP, span);
  }

  private statsOf(upstream: Incarnation): UpstreamStats {
    let row = this.stats.get(upstream);
    if (row === undefined) {
      row = {
        ...IDLE,
        unreachable: 0,
        suspendedUntil: -Infinity,
        backsOffUntil: -Infinity,
      };
      this.stats.set(upstream, row);
    }
    return row;
  }
}
