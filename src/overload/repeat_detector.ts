import type {Millis} from '../core/index.js';

/** Width of a bucket of times, as a factor. */
const BUCKET_FACTOR = 1.02;
/**
 * Requests after which all counts are halved. An entry gets some 1.5 requests a
 * second of a route, so that a change of the callers is noticed in a minute.
 */
const HALVING_INTERVAL = 64;
/** Counts below this are dropped. */
const MIN_COUNT = 0.5;
/** Requests of a route before any counts as repeated. */
const MIN_REQUESTS = 8;
/**
 * First attempts carry nearly one value, so that its bucket has this share.
 * Another bucket with this share has first attempts too, of other callers.
 */
const MIN_SHARE = 0.2;
/**
 * A repeated request has at most this fraction of the time of a first one. At
 * 8 s this is 0.24 s, the shortest usual Retry-After.
 */
const MAX_FRACTION = 0.97;

interface RouteTimes {
  readonly counts: Map<number, number>;
  total: number;
  sinceHalving: number;
  mode: number;
}

/**
 * Recognizes repeated requests by the time that their callers have left. First
 * attempts on a route carry nearly the same time; it is the most frequent one,
 * since the times of repeated requests are spread.
 */
export class RepeatDetector {
  private readonly routes = new Map<string, RouteTimes>();

  /**
   * Records a request and returns whether it is a repeated one.
   * @param route - name of its route
   * @param callerTimeout - time that its caller has left
   */
  observe(route: string, callerTimeout: Millis | undefined): boolean {
    if (callerTimeout === undefined || callerTimeout <= 0) return false;
    const times = this.timesOf(route);
    const bucket = Math.round(
      Math.log(callerTimeout) / Math.log(BUCKET_FACTOR),
    );
    const count = (times.counts.get(bucket) ?? 0) + 1;
    times.counts.set(bucket, count);
    times.total += 1;
    times.sinceHalving += 1;
    if (count >= (times.counts.get(times.mode) ?? 0)) times.mode = bucket;
    if (times.sinceHalving >= HALVING_INTERVAL) this.halve(times);
    if (times.total < MIN_REQUESTS) return false;
    const isFrequent = (of: number) =>
      (times.counts.get(of) ?? 0) >= MIN_SHARE * times.total;
    const typical = BUCKET_FACTOR ** times.mode;
    const isShort = callerTimeout < typical * MAX_FRACTION;
    return isShort && isFrequent(times.mode) && !isFrequent(bucket);
  }

  private timesOf(route: string): RouteTimes {
    let times = this.routes.get(route);
    if (times === undefined) {
      times = {counts: new Map(), total: 0, sinceHalving: 0, mode: 0};
      this.routes.set(route, times);
    }
    return times;
  }

  private halve(times: RouteTimes): void {
    times.sinceHalving = 0;
    times.total = 0;
    for (const [bucket, count] of times.counts) {
      const half = count / 2;
      if (half < MIN_COUNT) times.counts.delete(bucket);
      else {
        times.counts.set(bucket, half);
        times.total += half;
      }
    }
  }
}
