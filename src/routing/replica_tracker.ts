import type {AvailabilityZone, Incarnation, Millis} from '../core/index.js';
import type {CacheMessage, LoadReport} from './messages.js';
import {PREFIX_CAPACITY, PrefixIndex} from './prefix_index.js';
import type {GapPolicy} from './prefix_index.js';
import type {PromptPrefix} from './prompt_prefix.js';
import type {Candidate} from './types.js';

/** An upstream that takes new work. */
export interface Replica {
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
}

interface ReplicaState {
  inFlight: number;
  load: LoadReport | undefined;
  loadAt: Millis;
  sentCalls: number;
  sentBlocks: number;
  /** Calls that got no first byte yet. */
  unanswered: number;
  /** When it last answered, or was first sent a call after it had none. */
  lastContactAt: Millis;
  readonly prefixes: PrefixIndex;
}

/** What one entry knows of the load and the caches of upstreams. */
export class ReplicaTracker {
  private readonly states = new Map<Incarnation, ReplicaState>();

  /** @param onGap - what lost cache events do to a replica's map */
  constructor(private readonly onGap: GapPolicy = 'keep') {}

  /** Upstreams known. */
  get size(): number {
    return this.states.size;
  }

  /**
   * Describes upstreams to a policy.
   * @param now - present time
   * @param replicas - the upstreams
   * @param prefix - hashes of the call's prompt
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
        matched: prefix.length > 0 ? state.prefixes.match(prefix) : 0,
        unresponsiveMs: state.unanswered > 0 ? now - state.lastContactAt : 0,
      };
    });
  }

  /**
   * A call was sent.
   * @param now - present time
   * @param replica - where to
   * @param prefix - hashes of its prompt
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
   * The first answer to a call came, whatever it says.
   * @param now - present time
   * @param replica - who answered
   */
  recordFirstAnswer(now: Millis, replica: Incarnation): void {
    const state = this.states.get(replica);
    if (state === undefined) return;
    state.unanswered -= 1;
    state.lastContactAt = now;
  }

  /**
   * A call that was sent is over.
   * @param replica - where it was
   * @param isAnswered - whether any answer to it came
   */
  recordEnd(replica: Incarnation, isAnswered: boolean): void {
    const state = this.states.get(replica);
    if (state === undefined) return;
    state.inFlight -= 1;
    if (!isAnswered) state.unanswered -= 1;
  }

  /**
   * A load report came.
   * @param now - present time
   * @param replica - whose
   * @param load - the report
   */
  recordLoad(now: Millis, replica: Incarnation, load: LoadReport): void {
    const state = this.stateOf(replica);
    state.load = load;
    state.loadAt = now;
    state.sentCalls = 0;
    state.sentBlocks = 0;
  }

  /**
   * Cache events came.
   * @param replica - whose
   * @param message - the events
   * @returns whether none was lost before them
   */
  applyCacheEvents(replica: Incarnation, message: CacheMessage): boolean {
    return this.stateOf(replica).prefixes.apply(message);
  }

  /**
   * Forgets an upstream that is gone.
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
