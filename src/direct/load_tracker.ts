import type {Incarnation, Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';

/** Weight of one outcome in the success rate of an upstream. */
const OUTCOME_WEIGHT = 0.12;
/** Weight of one latency in the usual latency of an upstream. */
const LATENCY_WEIGHT = 0.2;
/** Unreachable upstreams are tried again after this time, doubling. */
const SUSPENSION_BASE: Millis = SECOND / 2;
const SUSPENSION_CAP: Millis = 4 * SECOND;

/** What this entry knows of the work at one upstream. */
export interface UpstreamLoad {
  /** Requests of this entry that are there now. */
  readonly inFlight: number;
  /** Prompt tokens of these requests. */
  readonly tokens: number;
  /** Share of recent requests that went well, 0 to 1. */
  readonly successRate: number;
  /** Usual time to an answer; nothing before the first. */
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

/** How a request ended at an upstream, as far as its health goes. */
export type HealthOutcome =
  /** A whole answer. */
  | 'good'
  /** An answer that reports a fault of the upstream, or none that is whole. */
  | 'bad'
  /** No connection, or a silent one. */
  | 'unreachable'
  /** Tells nothing: refused for load, or the caller left. */
  | 'neutral';

/** Work and health of the upstreams, as seen from this entry alone. */
export class LoadTracker {
  private readonly stats = new Map<Incarnation, UpstreamStats>();

  /** Upstreams that something is known of. */
  get size(): number {
    return this.stats.size;
  }

  /**
   * The present load of an upstream.
   * @param upstream - its life
   */
  loadOf(upstream: Incarnation): UpstreamLoad {
    return this.stats.get(upstream) ?? IDLE;
  }

  /**
   * A request is sent.
   * @param upstream - where to
   * @param tokens - tokens of its prompt
   */
  recordSent(upstream: Incarnation, tokens: number): void {
    const row = this.statsOf(upstream);
    row.inFlight += 1;
    row.tokens += tokens;
  }

  /**
   * A request that was sent has ended.
   * @param now - present time
   * @param upstream - where it was
   * @param tokens - tokens of its prompt
   * @param verdict - what it tells of the upstream
   * @param latency - time to its answer, if there was one
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
   * Whether an upstream was unreachable a short time ago.
   * @param now - present time
   * @param upstream - its life
   */
  isSuspended(now: Millis, upstream: Incarnation): boolean {
    return (this.stats.get(upstream)?.suspendedUntil ?? -Infinity) > now;
  }

  /**
   * An upstream asked for a pause. Kept for its whole life, whatever becomes
   * of the connection that the answer came on.
   * @param now - present time
   * @param upstream - its life
   * @param span - how long it wants no requests
   */
  recordBackoff(now: Millis, upstream: Incarnation, span: Millis): void {
    const row = this.statsOf(upstream);
    row.backsOffUntil = Math.max(row.backsOffUntil, now + span);
  }

  /**
   * Until when an upstream wants no requests.
   * @param upstream - its life
   * @returns -infinity when it never asked for a pause
   */
  backoffUntil(upstream: Incarnation): Millis {
    return this.stats.get(upstream)?.backsOffUntil ?? -Infinity;
  }

  /**
   * Forgets the upstreams that are gone and have no work left.
   * @param isActive - whether an upstream may still get work
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
