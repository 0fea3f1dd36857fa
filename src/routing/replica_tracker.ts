import {SECOND} from '../core/index.js';
import type {AvailabilityZone, Incarnation, Millis} from '../core/index.js';
import type {CacheMessage, LoadReport} from './messages.js';
import {PREFIX_CAPACITY, PrefixIndex} from './prefix_index.js';
import type {GapPolicy} from './prefix_index.js';
import type {PromptPrefix} from './prompt_prefix.js';
import type {Candidate} from './types.js';

/**
 * Half-life of an idle replica's reported prefill time. Reports come with
 * responses, so a replica that is never chosen would keep its last report.
 */
const IDLE_REPORT_HALF_LIFE: Millis = 10 * SECOND;
/** Reports whose prefill times differ by less than this factor are alike. */
const SIMILAR_REPORT_FACTOR = 2;
/** The half-life doubles with each report like the one before, so many times. */
const MAX_HALF_LIFE_DOUBLINGS = 5;

/** An upstream that accepts new calls. */
export interface Replica {
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
}

interface ReplicaState {
  inFlight: number;
  load: LoadReport | undefined;
  loadAt: Millis;
  /** Reports in a row that confirmed the prefill time. */
  confirmations: number;
  /** Whether the last call that ended had no response. */
  isSilent: boolean;
  sentCalls: number;
  sentBlocks: number;
  /** Calls without a first response. */
  unanswered: number;
  /** Time of the last first response, or of the first send after idleness. */
  lastContactAt: Millis;
  readonly prefixes: PrefixIndex;
}

/** Tracks the load and the cached prefixes of upstreams for one entry. */
export class ReplicaTracker {
  private readonly states = new Map<Incarnation, ReplicaState>();

  /** @param onGap - effect of lost cache events on a replica's prefix index */
  constructor(private readonly onGap: GapPolicy = 'keep') {}

  /** Number of tracked upstreams. */
  get size(): number {
    return this.states.size;
  }

  /**
   * Returns the upstreams as candidates for a policy.
   * @param now - current time
   * @param replicas - the upstreams
   * @param prefix - hashes of the call's prompt blocks
   */
  candidates(
    now: Millis,
    replicas: readonly Replica[],
    prefix: PromptPrefix,
  ): Candidate[] {
    return replicas.map(({incarnation, availabilityZone}) => {
      const state = this.stateOf(incarnation);
      return {
        incarnation,
        availabilityZone,
        inFlight: state.inFlight,
        load: state.load,
        loadAge: now - state.loadAt,
        sentCalls: state.sentCalls,
        sentBlocks: state.sentBlocks,
        reportDecay: reportDecay(now, state),
        matched: prefix.length > 0 ? state.prefixes.match(prefix) : 0,
        unresponsiveMs: state.unanswered > 0 ? now - state.lastContactAt : 0,
      };
    });
  }

  /**
   * Records a call sent to a replica.
   * @param now - current time
   * @param replica - the replica
   * @param prefix - hashes of the call's prompt blocks
   */
  recordSent(now: Millis, replica: Incarnation, prefix: PromptPrefix): void {
    const state = this.stateOf(replica);
    if (state.unanswered === 0) state.lastContactAt = now;
    state.unanswered += 1;
    state.inFlight += 1;
    state.sentCalls += 1;
    const matched = state.prefixes.match(prefix);
    state.sentBlocks += Math.max(1, prefix.length - matched);
    state.prefixes.recordUse(prefix);
  }

  /**
   * Records the first response to a call, whatever its outcome.
   * @param now - current time
   * @param replica - the responding replica
   */
  recordFirstAnswer(now: Millis, replica: Incarnation): void {
    const state = this.states.get(replica);
    if (state === undefined) return;
    state.unanswered -= 1;
    state.isSilent = false;
    state.lastContactAt = now;
  }

  /**
   * Records the end of a call.
   * @param replica - the replica it was sent to
   * @param isAnswered - whether a first response was recorded
   */
  recordEnd(replica: Incarnation, isAnswered: boolean): void {
    const state = this.states.get(replica);
    if (state === undefined) return;
    state.inFlight -= 1;
    if (isAnswered) return;
    state.unanswered -= 1;
    state.isSilent = true;
  }

  /**
   * Records a load report and resets the counts of calls sent since the last.
   * @param now - current time
   * @param replica - the reporting replica
   * @param load - the report
   */
  recordLoad(now: Millis, replica: Incarnation, load: LoadReport): void {
    const state = this.stateOf(replica);
    const isConfirmed = isSimilar(state.load, load);
    state.confirmations = isConfirmed ? state.confirmations + 1 : 0;
    state.load = load;
    state.loadAt = now;
    state.sentCalls = 0;
    state.sentBlocks = 0;
  }

  /**
   * Applies cache events to the replica's prefix index.
   * @param replica - the replica
   * @param message - the events
   * @returns false if events before these were lost
   */
  applyCacheEvents(replica: Incarnation, message: CacheMessage): boolean {
    return this.stateOf(replica).prefixes.apply(message);
  }

  /**
   * Discards the state of an upstream.
   * @param replica - the upstream
   */
  remove(replica: Incarnation): void {
    this.states.delete(replica);
  }

  private stateOf(replica: Incarnation): ReplicaState {
    const existing = this.states.get(replica);
    if (existing !== undefined) return existing;
    const state = {
      inFlight: 0,
      load: undefined,
      loadAt: 0,
      confirmations: 0,
      isSilent: false,
      sentCalls: 0,
      sentBlocks: 0,
      unanswered: 0,
      lastContactAt: 0,
      prefixes: new PrefixIndex(PREFIX_CAPACITY, undefined, this.onGap),
    };
    this.states.set(replica, state);
    return state;
  }
}

/**
 * Returns the half-lives for which the report of a replica has decayed. A busy
 * replica reports with its responses; one that does not respond is left to
 * outlier detection. Each probe that confirms a slow replica delays the next.
 */
function reportDecay(now: Millis, state: ReplicaState): number {
  if (state.load === undefined || state.inFlight > 0 || state.isSilent)
    return 0;
  const doublings = Math.min(MAX_HALF_LIFE_DOUBLINGS, state.confirmations);
  return (now - state.loadAt) / (IDLE_REPORT_HALF_LIFE * 2 ** doublings);
}

function isSimilar(before: LoadReport | undefined, load: LoadReport): boolean {
  if (before === undefined) return false;
  const [low, high] = [before.msPerBlock, load.msPerBlock].sort(
    (a, b) => a - b,
  );
  return high! <= low! * SIMILAR_REPORT_FACTOR;
}
