import type {PendingRequest} from './pending_request.js';

/**
 * Prompt tokens that take as much engine time as one output token: placement
 * counts 4,000 prompt tokens as one running request, which has some 160.
 */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 25;
/** Output of a request without a hint on a route without hints, tokens. */
const DEFAULT_OUTPUT_TOKENS = 160;
/** Hints are often far off; this part of their distance to the mean counts. */
const HINT_WEIGHT = 0.5;
/** EWMA weight of one request in the means of its route. */
const MEAN_WEIGHT = 0.02;
/** Half octaves of work that are counted apart. */
const BUCKETS = 48;
/** Requests after which all counts are halved. */
const HALVING_TOTAL = 1_024;
/** Requests of a route before work has any influence. */
const MIN_REQUESTS = 20;
/** Requests between two revisions of the bands. */
const REVISION_INTERVAL = 16;
/** Bands of the largest requests, as fractions of a route's requests. */
const BANDS = [0.1, 0.3] as const;
/**
 * A band that is served less often than the route by this factor is not moved
 * back. The requirement is a half.
 */
const MIN_SERVED_FACTOR = 0.75;

/** Work of a request, and where it is counted. */
export interface Size {
  /** In output tokens. */
  readonly work: number;
  readonly bucket: number;
  readonly route: string;
}

interface RouteSizes {
  readonly arrived: Float64Array;
  readonly served: Float64Array;
  total: number;
  sinceRevision: number;
  meanLogOutput: number;
  meanLogWork: number;
  /** Whether the requests of a bucket are not moved back. */
  readonly isProtected: boolean[];
}

/**
 * Compares the requests of a route by their work, only so far that large ones
 * are served nearly as often as the route as a whole.
 */
export class WorkScale {
  private readonly routes = new Map<string, RouteSizes>();

  /**
   * Records the arrival of a request and returns its size.
   * @param req - the request
   */
  recordArrival(req: PendingRequest): Size {
    const {route = '', promptTokens = 0, expectedTokens} = req;
    const sizes = this.sizesOf(route);
    const {meanLogOutput} = sizes;
    let logOutput = meanLogOutput;
    if (expectedTokens !== undefined && expectedTokens > 0) {
      const hint = Math.log2(expectedTokens);
      logOutput += HINT_WEIGHT * (hint - meanLogOutput);
      sizes.meanLogOutput += MEAN_WEIGHT * (hint - meanLogOutput);
    }
    const work = 2 ** logOutput + promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    const logWork = Math.log2(work);
    if (sizes.total === 0) sizes.meanLogWork = logWork;
    sizes.meanLogWork += MEAN_WEIGHT * (logWork - sizes.meanLogWork);
    const bucket = Math.min(BUCKETS - 1, Math.max(0, Math.round(2 * logWork)));
    sizes.arrived[bucket]! += 1;
    sizes.total += 1;
    sizes.sinceRevision += 1;
    if (sizes.sinceRevision >= REVISION_INTERVAL) revise(sizes);
    return {work, bucket, route};
  }

  /**
   * Records that a request was sent.
   * @param size - its size
   */
  recordServed({route, bucket}: Size): void {
    this.sizesOf(route).served[bucket]! += 1;
  }

  /**
   * Returns how far a request moves back (up to 1) or forth (down to -1) among
   * equal ones.
   * @param size - its size
   */
  shiftOf({route, bucket, work}: Size): number {
    const sizes = this.sizesOf(route);
    if (sizes.total < MIN_REQUESTS) return 0;
    const octaves = Math.log2(work) - sizes.meanLogWork;
    if (octaves > 0 && sizes.isProtected[bucket] === true) return 0;
    return Math.min(1, Math.max(-1, octaves));
  }

  private sizesOf(route: string): RouteSizes {
    let sizes = this.routes.get(route);
    if (sizes === undefined) {
      sizes = {
        arrived: new Float64Array(BUCKETS),
        served: new Float64Array(BUCKETS),
        total: 0,
        sinceRevision: 0,
        meanLogOutput: Math.log2(DEFAULT_OUTPUT_TOKENS),
        meanLogWork: 0,
        isProtected: [],
      };
      this.routes.set(route, sizes);
    }
    return sizes;
  }
}

/** Finds the sizes that are served too rarely, and ages the counts. */
function revise(sizes: RouteSizes): void {
  const {arrived, served} = sizes;
  sizes.sinceRevision = 0;
  const allServed = served.reduce((sum, count) => sum + count, 0);
  const least = MIN_SERVED_FACTOR * (allServed / Math.max(1, sizes.total));
  let bucket = BUCKETS - 1;
  let above = 0;
  for (const share of BANDS) {
    const from = bucket;
    let bandArrived = 0;
    let bandServed = 0;
    while (bucket >= 0 && above < share * sizes.total) {
      above += arrived[bucket]!;
      bandArrived += arrived[bucket]!;
      bandServed += served[bucket]!;
      bucket -= 1;
    }
    for (let i = from; i > bucket; i--)
      sizes.isProtected[i] = bandServed < least * bandArrived;
  }
  for (; bucket >= 0; bucket--) sizes.isProtected[bucket] = false;
  if (sizes.total < HALVING_TOTAL) return;
  sizes.total /= 2;
  for (let i = 0; i < BUCKETS; i++) {
    arrived[i]! /= 2;
    served[i]! /= 2;
  }
}
