import type {Millis} from '../core/index.js';
import {MIN_START_DELAY} from './pending_request.js';
import type {PendingRequest} from './pending_request.js';
import type {RateWindow} from './rate_window.js';
import type {QueuedItem, ValueClass, ValueClasses} from './value_classes.js';

/** What is known of a queue and its drain rate. */
export interface QueueState<T extends PendingRequest> {
  readonly now: Millis;
  readonly classes: ValueClasses<T>;
  /** Sends of the service. */
  readonly sends: RateWindow;
  readonly isByPriority: boolean;
}

/** Fewer sends in the last second say too little about the drain rate. */
const MIN_SENDS = 3;
/**
 * The first sends after a start or a pause follow the initial limits, not the
 * capacity.
 */
const MIN_OBSERVED: Millis = 500;
/**
 * Rates of a few requests a second are off by about one standard deviation;
 * without it requests are shed that would have had their turn.
 */
const DEVIATIONS = 1;
/** Organisations of a class that one decision checks. */
const CHECKED_ORGANISATIONS = 8;
/** Times ahead for which the demand is compared with the drain rate. */
const HORIZONS: readonly Millis[] = [
  200, 400, 600, 800, 1_000, 1_300, 1_600, 2_000, 2_500, 3_000, 4_000, 6_000,
  8_000,
];

/**
 * Returns a request whose turn comes too late at the drain rate: after its
 * start target if it is in time, else after its caller has left.
 * @param state - the queue
 */
export function findUnreachable<T extends PendingRequest>(
  state: QueueState<T>,
): QueuedItem<T> | undefined {
  const {now, classes, sends, isByPriority} = state;
  const isKnown = isByPriority
    ? sends.count(now) >= MIN_SENDS && sends.observed(now) >= MIN_OBSERVED
    : sends.count(now) > 0;
  if (!isKnown) return undefined;
  const drainRate = sends.rate(now, isByPriority ? DEVIATIONS : 0);
  let [ahead, arrivalRate] = [0, 0];
  for (const one of classes.inOrder) {
    const {size} = one.turns;
    if (size > 0) {
      const rate = Math.max(0, drainRate - arrivalRate);
      const found = findInClass(state, one, {ahead, rate});
      if (found !== undefined) return found;
    }
    if (isByPriority) {
      ahead += size;
      arrivalRate += one.arrivals.rate(now, -DEVIATIONS);
    } else if (one.standing === 'late') ahead += size;
  }
  return undefined;
}

function findInClass<T extends PendingRequest>(
  {now, isByPriority}: QueueState<T>,
  {standing, turns}: ValueClass<T>,
  {ahead, rate}: {readonly ahead: number; readonly rate: number},
): QueuedItem<T> | undefined {
  const isInTime = standing === 'in_time';
  if (isInTime && !isByPriority) return undefined;
  const startsUntil = ({req: {targetAt, expiresAt}}: QueuedItem<T>) =>
    rate * ((isInTime ? targetAt : expiresAt) - MIN_START_DELAY - now);
  const isUnreachable = (item: QueuedItem<T>) =>
    ahead + turns.ahead(item) > startsUntil(item);
  for (const items of turns.nextToCheck(CHECKED_ORGANISATIONS)) {
    const {first, last} = items;
    if (first === undefined || last === undefined) continue;
    const isShort = ahead + turns.size - 1 <= startsUntil(first);
    if (!isInTime && isShort) continue;
    // The newest of the requests in time is first, so the last one tells. Of
    // late ones the earliest that is unreachable may make others reachable.
    for (const horizon of isInTime ? [] : HORIZONS) {
      const item = items.lastUpTo(now + horizon);
      if (item === last) break;
      if (item !== undefined && isUnreachable(item)) return item;
    }
    if (isUnreachable(last)) return last;
  }
  return undefined;
}
