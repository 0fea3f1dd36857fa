import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {ReplicaPolicy, backlog} from './replica_policy.js';
import type {RoutingContext} from './replica_policy.js';
import type {Candidate} from './types.js';

/** Prefill time per block without a reported value. */
const DEFAULT_MS_PER_BLOCK: Millis = 30;
/** Above this, a replica is slow: it gets few calls, if any. */
const SLOW_MS_PER_BLOCK: Millis = 60;
/** Time per queued call without a reported drain rate. */
const DEFAULT_MS_PER_CALL: Millis = 100;

/** Parameters of the first-token policy. */
export interface FirstTokenSettings {
  /** Added to the expected time for another availability zone. */
  readonly spillPenalty: Millis;
  /** Random candidates compared, besides the best prefix match. */
  readonly sampleSize: number;
  /** Prefix matches are ignored above this multiple of the mean backlog. */
  readonly loadBound: number;
}

export const DEFAULT_FIRST_TOKEN_SETTINGS: FirstTokenSettings = {
  spillPenalty: 20,
  sampleSize: Infinity,
  loadBound: 2,
};

/**
 * Estimates the time to first token of a new call.
 * @param candidate - the upstream
 * @param promptBlocks - blocks of the prompt
 * @param matched - leading blocks assumed to be cached
 * @returns the estimate, ms
 */
export function timeToFirstToken(
  candidate: Candidate,
  promptBlocks: number,
  matched: number,
): Millis {
  const {load, loadAge, sentCalls, sentBlocks, unresponsiveMs} = candidate;
  const msPerBlock = prefillTimePerBlock(candidate);
  const uncachedBlocks = Math.max(1, promptBlocks - matched);
  const ownPrefill = Math.max(uncachedBlocks * msPerBlock, unresponsiveMs);
  const sentPrefill = sentBlocks * msPerBlock;
  if (load === undefined) return ownPrefill + sentPrefill;
  const reportedPrefill = Math.max(
    0,
    load.pendingBlocks * msPerBlock - loadAge,
  );
  const callsAhead = load.queued + load.running + sentCalls;
  const excess = callsAhead + 1 - load.concurrency;
  if (excess <= 0) return ownPrefill + sentPrefill + reportedPrefill;
  const msPerCall =
    load.drainPerSecond > 0
      ? SECOND / load.drainPerSecond
      : DEFAULT_MS_PER_CALL;
  return (
    ownPrefill +
    sentPrefill +
    reportedPrefill +
    Math.max(0, excess * msPerCall - loadAge)
  );
}

/**
 * Returns the reported prefill time per block. That of a slow upstream decays to
 * zero while it is idle, so that it is probed by a single call at a time and can
 * report its recovery.
 */
function prefillTimePerBlock({load, reportDecay}: Candidate): Millis {
  const reported = load?.msPerBlock || DEFAULT_MS_PER_BLOCK;
  return reported > SLOW_MS_PER_BLOCK ? reported * 2 ** -reportDecay : reported;
}

/** Selects the candidate with the shortest expected time to first token. */
export class FirstTokenPolicy extends ReplicaPolicy {
  readonly name = 'first-token';

  /** @param settings - penalty, sample size and load bound */
  constructor(
    private readonly settings: FirstTokenSettings = DEFAULT_FIRST_TOKEN_SETTINGS,
  ) {
    super();
  }

  choose(candidates: readonly Candidate[], context: RoutingContext): Candidate {
    const bound = this.backlogBound(candidates);
    const pool = this.pool(candidates, context);
    let best: Candidate | undefined;
    let bestTime = Infinity;
    let ties = 0;
    for (const candidate of pool) {
      const time = this.expectedTime(candidate, context, bound);
      if (time > bestTime) continue;
      ties = time < bestTime ? 1 : ties + 1;
      if (ties > 1 && context.chance.between(1, ties) > 1) continue;
      best = candidate;
      bestTime = time;
    }
    return best ?? context.chance.pick(candidates);
  }

  private expectedTime(
    candidate: Candidate,
    context: RoutingContext,
    bound: number,
  ): Millis {
    const isWithinBound = backlog(candidate) <= bound;
    const matched = isWithinBound ? candidate.matched : 0;
    const isRemote = candidate.availabilityZone !== context.ownZone;
    const penalty = isRemote ? this.settings.spillPenalty : 0;
    return timeToFirstToken(candidate, context.promptBlocks, matched) + penalty;
  }

  private backlogBound(candidates: readonly Candidate[]): number {
    let sum = 0;
    for (const candidate of candidates) sum += backlog(candidate);
    return (this.settings.loadBound * sum) / candidates.length + 1;
  }

  private pool(candidates: readonly Candidate[], {chance}: RoutingContext) {
    const {sampleSize} = this.settings;
    if (candidates.length <= sampleSize) return candidates;
    const drawn = chance.sample(candidates, sampleSize);
    const bestMatch = candidates.reduce((a, b) =>
      b.matched > a.matched ? b : a,
    );
    return bestMatch.matched > 0 ? [...drawn, bestMatch] : drawn;
  }
}
