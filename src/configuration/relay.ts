import {SECOND} from '../core/index.js';
import type {Incarnation, Millis, Offset, Version} from '../core/index.js';
import type {ConfigurationPull, ConfigurationState} from './messages.js';
import {StateCodec} from './state_codec.js';
import type {TextCodec} from './state_codec.js';
import type {FoldedState} from './types.js';

/** How often a process pulls from each of its sources. */
const PULL_EVERY: Millis = 10 * SECOND;
/** How often it does while it has no configuration. */
const PULL_EVERY_WITHOUT_STATE: Millis = SECOND;
/** A peer that has not pulled this long is told nothing more. */
const FORGET_AFTER: Millis = 3 * PULL_EVERY;
/** A source not heard this long is of no help. */
const SILENT_AFTER: Millis = 2 * PULL_EVERY + SECOND;
/** A source that has not heard from the log this long is of no help. */
const LOG_STALE_AFTER: Millis = 30 * SECOND;
/** A reader that learns of a later state gives the log this long. */
const REPAIR_AFTER: Millis = SECOND;

interface Subscriber {
  readonly version: Version;
  readonly foldedTo: Offset;
  readonly reads: boolean;
  readonly whole: boolean;
  readonly pulledAt: Millis;
}

interface Source {
  readonly pulledAt: Millis;
  readonly heardAt: Millis;
  /** When the source, or its own source, last heard from the log. */
  readonly logHeardAt: Millis;
  /** What the source had folded to. */
  readonly foldedTo: Offset;
}

/** A state and how fresh it is. */
export interface RelayView {
  readonly state: FoldedState;
  /** Time since the log was last heard, directly or through peers, ms. */
  readonly logAge: Millis;
}

/** A message of the relay and who gets it. */
export interface RelayMessage {
  readonly to: Incarnation;
  readonly message: ConfigurationPull | ConfigurationState;
}

/**
 * Passes the folded state between processes: answers pulls, tells those who
 * pulled lately of new versions, and pulls from this process's own sources.
 */
export class Relay {
  private readonly states: StateCodec;
  private readonly subscribers = new Map<Incarnation, Subscriber>();
  private readonly sources = new Map<Incarnation, Source>();
  /** Since when a source is known to be ahead. */
  private behindSince: Millis | undefined;

  /** @param codec - compresses texts */
  constructor(codec: TextCodec) {
    this.states = new StateCodec(codec);
  }

  /** Peers that pulled lately, with the version that they had. */
  get followers(): ReadonlyMap<Incarnation, {readonly version: Version}> {
    return this.subscribers;
  }

  /**
   * Answers a pull.
   * @param now - present time
   * @param from - the asker
   * @param pull - its pull
   * @param view - this process's state
   */
  answer(
    now: Millis,
    from: Incarnation,
    pull: ConfigurationPull,
    view: RelayView,
  ): ConfigurationState {
    const {version, foldedTo, reads, whole} = pull;
    const asker = {version, foldedTo, reads, whole, pulledAt: now};
    const state = this.stateFor(asker, view);
    // Later versions travel as deltas against what the asker is sent now.
    const has = state.body === undefined ? version : state.version;
    this.subscribers.set(from, {...asker, version: has, whole: false});
    return state;
  }

  /**
   * Tells the peers that pulled lately of a new version.
   * @param now - present time
   * @param view - this process's state
   */
  publish(now: Millis, view: RelayView): RelayMessage[] {
    this.states.remember(view.state);
    const messages: RelayMessage[] = [];
    for (const [to, asker] of this.subscribers) {
      if (now - asker.pulledAt > FORGET_AFTER) {
        this.subscribers.delete(to);
        continue;
      }
      if (asker.version >= view.state.version) continue;
      messages.push({to, message: this.stateFor(asker, view)});
      if (asker.reads) continue;
      const {version, foldedTo} = view.state;
      this.subscribers.set(to, {...asker, version, foldedTo, whole: false});
    }
    return messages;
  }

  /**
   * The pulls that are due.
   * @param now - present time
   * @param sources - linked peers to pull from
   * @param own - this process's state
   * @param reads - whether this process follows the log
   */
  pulls(
    now: Millis,
    sources: readonly Incarnation[],
    own: FoldedState,
    reads: boolean,
  ): RelayMessage[] {
    this.keepSources(sources);
    const isBehind =
      this.behindSince !== undefined && now - this.behindSince >= REPAIR_AFTER;
    const every =
      own.version === 0 || isBehind ? PULL_EVERY_WITHOUT_STATE : PULL_EVERY;
    const messages: RelayMessage[] = [];
    for (const to of sources) {
      const source = this.sources.get(to);
      if (source !== undefined && now - source.pulledAt < every) continue;
      const wantsState = !reads || isBehind || own.version === 0;
      messages.push({to, message: pullOf(own, !wantsState, false)});
      this.sources.set(to, {
        heardAt: -Infinity,
        logHeardAt: -Infinity,
        foldedTo: own.foldedTo,
        ...source,
        pulledAt: now,
      });
    }
    return messages;
  }

  /**
   * Takes in a state that a peer sent.
   * @param now - present time
   * @param from - the peer
   * @param message - what it sent
   * @param own - this process's state
   * @returns the state, when it is later; or a pull for the whole text
   */
  heard(
    now: Millis,
    from: Incarnation,
    message: ConfigurationState,
    own: FoldedState,
  ): {readonly state?: FoldedState; readonly again?: ConfigurationPull} {
    const {version, foldedTo, logAge, body} = message;
    const known = this.sources.get(from);
    if (known !== undefined) {
      const logHeardAt = now - logAge;
      this.sources.set(from, {...known, heardAt: now, logHeardAt, foldedTo});
    }
    if (foldedTo <= own.foldedTo || version < own.version) return {};
    if (version === own.version) return {state: {...own, foldedTo}};
    if (body === undefined) {
      this.behindSince ??= now;
      return {};
    }
    const text = this.states.unpack(body, own);
    if (text === undefined) return {again: pullOf(own, false, true)};
    const {author, publicationId} = body;
    return {state: {version, text, author, publicationId, foldedTo}};
  }

  /**
   * Notes what is folded now.
   * @param own - this process's state
   */
  folded(own: FoldedState): void {
    const ahead = [...this.sources.values()].some(
      ({foldedTo}) => foldedTo > own.foldedTo,
    );
    if (!ahead) this.behindSince = undefined;
  }

  /**
   * When the log was last heard through a source that still answers.
   * @param now - present time
   * @returns a time, or nothing when no source is of help
   */
  logHeardAt(now: Millis): Millis | undefined {
    let latest: Millis | undefined;
    for (const {heardAt, logHeardAt} of this.sources.values()) {
      if (now - heardAt > SILENT_AFTER) continue;
      if (now - logHeardAt > LOG_STALE_AFTER) continue;
      latest = Math.max(latest ?? -Infinity, logHeardAt);
    }
    return latest;
  }

  /**
   * Whether any of the peers answered lately.
   * @param now - present time
   * @param peers - the peers
   */
  hears(now: Millis, peers: readonly Incarnation[]): boolean {
    return peers.some(peer => {
      const source = this.sources.get(peer);
      return source !== undefined && now - source.heardAt <= SILENT_AFTER;
    });
  }

  private keepSources(wanted: readonly Incarnation[]): void {
    const kept = new Set(wanted);
    for (const known of this.sources.keys()) {
      if (!kept.has(known)) this.sources.delete(known);
    }
  }

  private stateFor(
    {version: has, reads, whole}: Subscriber,
    {state, logAge}: RelayView,
  ): ConfigurationState {
    const {version, foldedTo} = state;
    const watermark = {version, foldedTo, logAge};
    const message = {type: 'configuration_state', ...watermark} as const;
    if (reads || has >= version) return message;
    const base = whole || has === 0 ? undefined : has;
    return {...message, body: this.states.pack(state, base)};
  }
}

function pullOf(
  {version, foldedTo}: FoldedState,
  reads: boolean,
  whole: boolean,
): ConfigurationPull {
  return {type: 'configuration_pull', version, foldedTo, reads, whole};
}
