import type {Chance, Millis} from '../core/index.js';

/** Callers honour a Retry-After up to this fraction of their remaining time. */
const HONOURED_FRACTION = 1 / 3;
/**
 * Part of the longest delay over which callers without a place are spread. They
 * are rejected as they arrive, which spreads them already.
 */
const SPREAD = 0.15;
/** Shortest delay; a request that comes back at once meets the same queue. */
const MIN_DELAY: Millis = 50;
/** Jitter of a place, as a fraction of the delay. */
const JITTER = 0.1;

/** Capacity that is expected. */
export interface ExpectedCapacity {
  /** Time until the requests that wait now have started. */
  readonly backlogTime: Millis;
  /** Starts per ms that first attempts leave free. */
  readonly freeRate: number;
}

/**
 * Gives callers that are rejected places in the capacity that is expected to be
 * free, so that they don't come back together.
 */
export class RetrySchedule {
  private nextPlaceAt: Millis = -Infinity;

  /** @param chance - source of the jitter */
  constructor(private readonly chance: Chance) {}

  /**
   * Returns the delay after which a caller may come back.
   * @param now - current time
   * @param timeLeft - time until the caller's deadline
   * @param expected - capacity that is expected
   */
  delay(
    now: Millis,
    timeLeft: Millis,
    {backlogTime, freeRate}: ExpectedCapacity,
  ): Millis {
    const longest = Math.max(0, timeLeft) * HONOURED_FRACTION;
    // A rate below one start in this time has no place that this caller can take,
    // and a place at it would keep later callers out when the rate is high again.
    if (freeRate * longest >= 1) {
      const earliest = now + Math.max(MIN_DELAY, backlogTime);
      const placeAt = Math.max(this.nextPlaceAt, earliest);
      const delay = (placeAt - now) * (1 + JITTER * this.chance.fraction());
      if (delay <= longest) {
        this.nextPlaceAt = placeAt + 1 / freeRate;
        return delay;
      }
    }
    return longest * (1 - SPREAD * this.chance.fraction());
  }
}
