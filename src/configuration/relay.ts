import {SECOND} from '../core/index.js';
import type {Incarnation, Millis, Offset, Version} from '../core/index.js';
import type {ConfigurationPull, ConfigurationState} from './messages.js';
import {StateCodec} from './state_codec.js';
import type {TextCodec} from './state_codec.js';
import type {FoldedState} from './types.js';

/** Interval of pulls from each source. */
const PULL_INTERVAL: Millis = 10 * SECOND;
/** Pull interval while the process has no configuration or is behind. */
const FAST_PULL_INTERVAL: Millis = SECOND;
/** A peer that has not pulled for this long gets no more updates. */
const SUBSCRIPTION_TIMEOUT: Millis = 3 * PULL_INTERVAL;
/** A source without contact for this long has timed out. */
const SOURCE_TIMEOUT: Millis = 2 * PULL_INTERVAL + SECOND;
/** A source whose last contact with the log is older than this is ignored. */
const LOG_STALENESS_BOUND: Millis = 30 * SECOND;
/** How long a reader that is behind a peer waits for the log to catch up. */
const REPAIR_DELAY: Millis = SECOND;

interface Subscriber {
  readonly version: Version;
  readonly foldedTo: Offset;
  readonly reads: boolean;
  readonly whole: boolean;
  readonly pulledAt: Millis;
}

interface Source {
  readonly pulledAt: Millis;
  readonly lastSeenAt: Millis;
  /** Last contact of the source, or of its own source, with the log. */
  readonly lastLogContactAt: Millis;
  /** Offset up to which the source had folded. */
  readonly foldedTo: Offset;
}

/** A folded state and its staleness. */
export interface StateSnapshot {
  readonly state: FoldedState;
  /** Time since the last contact with the log, direct or through peers, ms. */
  readonly logAge: Millis;
}

/** A message of the relay and its receiver. */
export interface RelayMessage {
  readonly to: Incarnation;
  readonly message: ConfigurationPull | ConfigurationState;
}

/**
 * Relays the folded state between processes: answers pulls, pushes new versions
 * to recent subscribers, and pulls from this process's own sources.
 */
export class Relay {
  private readonly stateCodec: StateCodec;
  private readonly subscribers = new Map<Incarnation, Subscriber>();
  private readonly sources = new Map<Incarnation, Source>();
  /** Time since which a source is known to be ahead. */
  private behindSince: Millis | undefined;

  /** @param codec - compresses texts */
  constructor(codec: TextCodec) {
    this.stateCodec = new StateCodec(codec);
  }

  /** Peers that pulled recently, with the version that they have. */
  get followers(): ReadonlyMap<Incarnation, {readonly version: Version}> {
    return this.subscribers;
  }

  /**
   * Answers a pull.
   * @param now - current time
   * @param from - the requesting peer
   * @param pull - its pull
   * @param snapshot - this process's state
   */
  answerPull(
    now: Millis,
    from: Incarnation,
    pull: ConfigurationPull,
    snapshot: StateSnapshot,
  ): ConfigurationState {
    const {version, foldedTo, reads, whole} = pull;
    const subscriber = {version, foldedTo, reads, whole, pulledAt: now};
    const state = this.buildState(subscriber, snapshot);
    // Later versions are sent as deltas against the version sent now.
    const knownVersion = state.body === undefined ? version : state.version;
    this.subscribers.set(from, {
      ...subscriber,
      version: knownVersion,
      whole: false,
    });
    return state;
  }

  /**
   * Sends a new version to the peers that pulled recently.
   * @param now - current time
   * @param snapshot - this process's state
   */
  publish(now: Millis, snapshot: StateSnapshot): RelayMessage[] {
    this.stateCodec.cacheText(snapshot.state);
    const messages: RelayMessage[] = [];
    for (const [to, subscriber] of this.subscribers) {
      if (now - subscriber.pulledAt > SUBSCRIPTION_TIMEOUT) {
        this.subscribers.delete(to);
        continue;
      }
      if (subscriber.version >= snapshot.state.version) continue;
      messages.push({to, message: this.buildState(subscriber, snapshot)});
      if (subscriber.reads) continue;
      const {version, foldedTo} = snapshot.state;
      this.subscribers.set(to, {
        ...subscriber,
        version,
        foldedTo,
        whole: false,
      });
    }
    return messages;
  }

  /**
   * Returns the pulls that are due and records them as sent.
   * @param now - current time
   * @param sources - linked peers to pull from
   * @param own - this process's state
   * @param isReader - whether this process follows the log
   */
  takeDuePulls(
    now: Millis,
    sources: readonly Incarnation[],
    own: FoldedState,
    isReader: boolean,
  ): RelayMessage[] {
    this.retainSources(sources);
    const isBehind =
      this.behindSince !== undefined && now - this.behindSince >= REPAIR_DELAY;
    const interval =
      own.version === 0 || isBehind ? FAST_PULL_INTERVAL : PULL_INTERVAL;
    const messages: RelayMessage[] = [];
    for (const to of sources) {
      const source = this.sources.get(to);
      if (source !== undefined && now - source.pulledAt < interval) continue;
      const needsState = !isReader || isBehind || own.version === 0;
      messages.push({to, message: pullOf(own, !needsState, false)});
      this.sources.set(to, {
        lastSeenAt: -Infinity,
        lastLogContactAt: -Infinity,
        foldedTo: own.foldedTo,
        ...source,
        pulledAt: now,
      });
    }
    return messages;
  }

  /**
   * Processes a state of a peer.
   * @param now - current time
   * @param from - the peer
   * @param message - the state message
   * @param own - this process's state
   * @returns the state if it is newer, or a pull for the whole text
   */
  onState(
    now: Millis,
    from: Incarnation,
    message: ConfigurationState,
    own: FoldedState,
  ): {readonly state?: FoldedState; readonly retryPull?: ConfigurationPull} {
    const {version, foldedTo, logAge, body} = message;
    const known = this.sources.get(from);
    if (known !== undefined) {
      const lastLogContactAt = now - logAge;
      this.sources.set(from, {
        ...known,
        lastSeenAt: now,
        lastLogContactAt,
        foldedTo,
      });
    }
    if (foldedTo <= own.foldedTo || version < own.version) return {};
    if (version === own.version) return {state: {...own, foldedTo}};
    if (body === undefined) {
      this.behindSince ??= now;
      return {};
    }
    const text = this.stateCodec.unpack(body, own);
    if (text === undefined) return {retryPull: pullOf(own, false, true)};
    const {author, publicationId} = body;
    return {state: {version, text, author, publicationId, foldedTo}};
  }

  /**
   * Updates whether a source is ahead of the folded state.
   * @param own - this process's state
   */
  onFolded(own: FoldedState): void {
    const isBehind = [...this.sources.values()].some(
      ({foldedTo}) => foldedTo > own.foldedTo,
    );
    if (!isBehind) this.behindSince = undefined;
  }

  /**
   * Returns the last contact with the log through a responsive source.
   * @param now - current time
   * @returns a time, or nothing if no source is recent enough
   */
  lastLogContactAt(now: Millis): Millis | undefined {
    let latest: Millis | undefined;
    for (const {
      lastSeenAt,
      lastLogContactAt: lastContactAt,
    } of this.sources.values()) {
      if (now - lastSeenAt > SOURCE_TIMEOUT) continue;
      if (now - lastContactAt > LOG_STALENESS_BOUND) continue;
      latest = Math.max(latest ?? -Infinity, lastContactAt);
    }
    return latest;
  }

  /**
   * Returns whether any of the peers responded recently.
   * @param now - current time
   * @param peers - the peers
   */
  hasContact(now: Millis, peers: readonly Incarnation[]): boolean {
    return peers.some(peer => {
      const source = this.sources.get(peer);
      return source !== undefined && now - source.lastSeenAt <= SOURCE_TIMEOUT;
    });
  }

  private retainSources(wanted: readonly Incarnation[]): void {
    const retained = new Set(wanted);
    for (const known of this.sources.keys()) {
      if (!retained.has(known)) this.sources.delete(known);
    }
  }

  private buildState(
    {version: knownVersion, reads, whole}: Subscriber,
    {state, logAge}: StateSnapshot,
  ): ConfigurationState {
    const {version, foldedTo} = state;
    const watermark = {version, foldedTo, logAge};
    const message = {type: 'configuration_state', ...watermark} as const;
    if (reads || knownVersion >= version) return message;
    const base = whole || knownVersion === 0 ? undefined : knownVersion;
    return {...message, body: this.stateCodec.pack(state, base)};
  }
}

function pullOf(
  {version, foldedTo}: FoldedState,
  reads: boolean,
  whole: boolean,
): ConfigurationPull {
  return {type: 'configuration_pull', version, foldedTo, reads, whole};
}
