import type {Millis} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {TopicTiming} from './topic_timing.js';
import type {RelayEntry} from './relay_selector.js';

/*
 * Fractions of a topic's staleness bound. With them, an update is in force
 * within the bound after two consecutive failed attempts at different sources.
 */
/** Maximum wait of a listener's long poll at the relay of its zone. */
const RELAY_WAIT_FRACTION = 0.2;
/** Minimum wait of such a poll; shorter ones would follow each other closely. */
const MIN_RELAY_WAIT_FRACTION = 0.03;
/** Maximum wait of a relay's read at the store. */
const RELAYING_WAIT_FRACTION = 0.25;
/** Maximum wait at the store of a read for this entry alone. */
const DIRECT_WAIT_FRACTION = 0.5;
/** Contact age from which a read at the store responds immediately. */
const OVERDUE_FRACTION = 0.3;
/** Response timeout of the store, in addition to the wait. */
const STORE_RESPONSE_FRACTION = 0.2;
/** Response timeout of another entry, in addition to the wait. */
const PEER_RESPONSE_FRACTION = 0.15;
/** Time between reads from peers, each of which follows a failed store read. */
const PEER_SPACING_FRACTION = 0.25;
/** Maximum response timeout of any source. */
const MAX_RESPONSE_TIMEOUT: Millis = SECOND;
/** Number of peers that one read queries after the store has failed. */
const MAX_PEERS = 2;

/** A source of a topic's records. */
export type ReadSource =
  | {readonly kind: 'store'}
  /** The entry that reads the store for this zone. */
  | {readonly kind: 'relay'; readonly entry: RelayEntry}
  /** Another entry, while the store does not respond to this one. */
  | {readonly kind: 'peer'; readonly entry: RelayEntry};

/** One attempt to read a topic. */
export interface ReadStep {
  readonly source: ReadSource;
  /** Maximum time for which the source may wait for a record. */
  readonly wait: Millis;
  /** Time after which the attempt has failed. */
  readonly timeout: Millis;
}

/** State of a read. */
export interface ReadState {
  /**
   * Time as of which the entry knows all records of the topic; -Infinity for
   * the first read, which follows a listing.
   */
  readonly contactAt: Millis;
  /** Maximum wait that the caller requests. */
  readonly wait: Millis;
  /** Whether other entries read the topic through this one. */
  readonly hasListeners: boolean;
  /** Relay of this entry's zone, unless this entry reads for itself. */
  readonly relay: RelayEntry | undefined;
  /** Other entries in the order in which to query them. */
  readonly peers: readonly RelayEntry[];
  /** Number of consecutive failed reads of the store. */
  readonly storeFailures: number;
  /** Sources that this read has already tried. */
  readonly tried: readonly ReadSource[];
}

/**
 * Returns the next attempt of a read: the relay of the zone while the entry's
 * knowledge is recent enough to wait for it, then the store, then peers.
 * @param now - current time
 * @param timing - timing of the topic
 * @param state - state of the read
 * @returns undefined once all sources have failed
 */
export function nextReadStep(
  now: Millis,
  {bound, busySpacing}: TopicTiming,
  state: ReadState,
): ReadStep | undefined {
  const {contactAt, wait, relay, tried, storeFailures} = state;
  const age = contactAt === -Infinity ? 0 : now - contactAt;
  const hasTried = (kind: ReadSource['kind']) =>
    tried.some(source => source.kind === kind);
  const peerResponse = Math.min(
    MAX_RESPONSE_TIMEOUT,
    PEER_RESPONSE_FRACTION * bound,
  );
  if (relay !== undefined && !hasTried('relay') && !hasTried('store')) {
    const remaining = maxRelayAge({bound, busySpacing}) - age - peerResponse;
    const relayWait = Math.min(wait, RELAY_WAIT_FRACTION * bound, remaining);
    if (relayWait >= MIN_RELAY_WAIT_FRACTION * bound) {
      return {
        source: {kind: 'relay', entry: relay},
        wait: relayWait,
        timeout: relayWait + peerResponse,
      };
    }
  }
  if (!hasTried('store')) {
    const fraction = state.hasListeners
      ? RELAYING_WAIT_FRACTION
      : DIRECT_WAIT_FRACTION;
    const isOverdue = age > OVERDUE_FRACTION * bound || storeFailures > 0;
    const storeWait = isOverdue ? 0 : Math.min(wait, fraction * bound);
    return {
      source: {kind: 'store'},
      wait: storeWait,
      timeout: storeWait + storeResponseTimeout(bound, storeFailures),
    };
  }
  const queried = tried.flatMap(source =>
    source.kind === 'store' ? [] : [source.entry.name],
  );
  if (tried.filter(({kind}) => kind === 'peer').length >= MAX_PEERS) {
    return undefined;
  }
  const entry = state.peers.find(({name}) => !queried.includes(name));
  return (
    entry && {source: {kind: 'peer', entry}, wait: 0, timeout: peerResponse}
  );
}

/**
 * Returns the maximum age of a relay's contact with the store at which it still
 * reports that there are no new records.
 * @param timing - timing of the topic
 */
export function maxRelayAge({bound, busySpacing}: TopicTiming): Millis {
  const usualAge = Math.max(busySpacing, 0.35 * bound);
  return usualAge + RELAY_WAIT_FRACTION * bound;
}

/**
 * Returns the time between reads that peers respond to.
 * @param timing - timing of the topic
 */
export function peerSpacing({bound}: TopicTiming): Millis {
  return PEER_SPACING_FRACTION * bound;
}

/**
 * Doubles after a failure, for a store that is slow but not down. After an
 * outage the last attempt has to run out before the store is read again.
 */
function storeResponseTimeout(bound: Millis, failures: number): Millis {
  const base = STORE_RESPONSE_FRACTION * bound;
  return Math.min(MAX_RESPONSE_TIMEOUT, failures > 0 ? 2 * base : base);
}
