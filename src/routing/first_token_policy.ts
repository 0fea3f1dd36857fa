import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import {ReplicaPolicy, backlog} from './replica_policy.js';
import type {Choice} from './replica_policy.js';
import type {Candidate} from './types.js';

/** Time of one block where nothing is known yet. */
const DEFAULT_MS_PER_BLOCK: Millis = 30;
/** Time of a call's turn in the queue where nothing is known yet. */
const DEFAULT_TURN: Millis = 100;

/** How the first-token policy weighs what it knows. */
export interface FirstTokenSettings {
  /** Added to the expected time in another availability zone. */
  readonly spillPenalty: Millis;
  /** Candidates drawn besides those that have the prompt's start cached. */
  readonly sample: number;
  /** Cached blocks count only up to this multiple of the mean backlog. */
  readonly loadBound: number;
}

/** The settings in force. */
export const FIRST_TOKEN_SETTINGS: FirstTokenSettings = {
  spillPenalty: 20,
  sample: Infinity,
  loadBound: 2,
};

/**
 * Time until the first token of a new call, as far as the entry knows.
 * @param candidate - the upstream
 * @param promptBlocks - blocks of the prompt
 * @param matched - leading blocks taken as cached
 */
export function expectedFirstToken(
  candidate: Candidate,
  promptBlocks: number,
  matched: number,
): Millis {
  const {load, loadAge, sentCalls, sentBlocks, silence} = candidate;
  const perBlock = load?.msPerBlock || DEFAULT_MS_PER_BLOCK;
  const left = Math.max(1, promptBlocks - matched);
  const own = Math.max(left * perBlock, silence);
  const sent = sentBlocks * perBlock;
  if (load === undefined) return own + sent;
  const reported = Math.max(0, load.pendingBlocks * perBlock - loadAge);
  const ahead = load.queued + load.running + sentCalls;
  const excess = ahead + 1 - load.concurrency;
  if (excess <= 0) return own + sent + reported;
  const turn =
    load.drainPerSecond > 0 ? SECOND / load.drainPerSecond : DEFAULT_TURN;
  return own + sent + reported + Math.max(0, excess * turn - loadAge);
}

/** The candidate with the shortest expected time to the first token. */
export class FirstTokenPolicy extends ReplicaPolicy {
  readonly name = 'first-token';

  /** @param settings - how it weighs what it knows */
  constructor(
    private readonly settings: FirstTokenSettings = FIRST_TOKEN_SETTINGS,
  ) {
    super();
  }

  choose(candidates: readonly Candidate[], choice: Choice): Candidate {
    const bound = this.boundOf(candidates);
    const pool = this.pool(candidates, choice);
    let best: Candidate | undefined;
    let bestTime = Infinity;
    let ties = 0;
    for (const candidate of pool) {
      const time = this.timeOf(candidate, choice, bound);
      if (time > bestTime) continue;
      ties = time < bestTime ? 1 : ties + 1;
      if (ties > 1 && choice.chance.between(1, ties) > 1) continue;
      best = candidate;
      bestTime = time;
    }
    return best ?? choice.chance.pick(candidates);
  }

  private timeOf(candidate: Candidate, choice: Choice, bound: number): Millis {
    const trusted = backlog(candidate) <= bound;
    const matched = trusted ? candidate.matched : 0;
    const away = candidate.availabilityZone !== choice.ownZone;
    const penalty = away ? this.settings.spillPenalty : 0;
    return (
      expectedFirstToken(candidate, choice.promptBlocks, matched) + penalty
    );
  }

  private boundOf(candidates: readonly Candidate[]): number {
    let sum = 0;
    for (const candidate of candidates) sum += backlog(candidate);
    return (this.settings.loadBound * sum) / candidates.length + 1;
  }

  private pool(candidates: readonly Candidate[], {chance}: Choice) {
    const {sample} = this.settings;
    if (candidates.length <= sample) return candidates;
    const drawn = chance.sample(candidates, sample);
    const cached = candidates.reduce((a, b) => (b.matched > a.matched ? b : a));
    return cached.matched > 0 ? [...drawn, cached] : drawn;
  }
}
