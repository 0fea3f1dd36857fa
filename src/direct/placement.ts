import type {AvailabilityZone, Chance, Millis} from '../core/index.js';
import type {LoadTracker} from './load_tracker.js';
import type {Upstream} from './upstream_table.js';

/** A request to place on an upstream. */
export interface PlacementRequest {
  /** Number of prompt tokens; 0 for plain services. */
  readonly promptTokens: number;
}

/** Chooses the upstream of a request among the eligible ones. */
export abstract class PlacementPolicy {
  /**
   * Chooses one of the candidates.
   * @param now - current time
   * @param req - the request
   * @param candidates - eligible upstreams
   * @param chance - breaks ties
   * @returns undefined only if there is no candidate
   */
  abstract choose(
    now: Millis,
    req: PlacementRequest,
    candidates: readonly Upstream[],
    chance: Chance,
  ): Upstream | undefined;
}

/** Latency assumed for an upstream that has not responded yet. */
const DEFAULT_LATENCY: Millis = 30;
/** Upper bound of the cost factor of a failing upstream. */
const MAX_PENALTY = 50;
/** Extra cost of an upstream in another zone, in requests in flight. */
const CROSS_ZONE_COST = 0.5;

/**
 * Least expected wait over independent upstreams, from requests in flight,
 * average latency and success rate. It moves load away from one upstream of few
 * that is slow or fails part of its requests.
 */
export class ExpectedWaitPolicy extends PlacementPolicy {
  /**
   * @param loads - load and health of the upstreams
   * @param zone - zone of this entry
   */
  constructor(
    private readonly loads: LoadTracker,
    private readonly zone: AvailabilityZone,
  ) {
    super();
  }

  choose(
    now: Millis,
    _req: PlacementRequest,
    candidates: readonly Upstream[],
    chance: Chance,
  ): Upstream | undefined {
    return pickCheapest(candidates, chance, upstream =>
      this.cost(now, upstream),
    );
  }

  private cost(
    now: Millis,
    {registration: entry, incarnation, warmAt}: Upstream,
  ): number {
    const load = this.loads.loadOf(incarnation);
    const latency = load.latency ?? DEFAULT_LATENCY;
    const away = entry.availabilityZone === this.zone ? 0 : CROSS_ZONE_COST;
    const penalty = Math.min(MAX_PENALTY, 1 / load.successRate ** 3);
    const isCold = now < warmAt;
    const rounds = 1 + (load.inFlight + away) / Math.max(1, entry.slots);
    return latency * rounds * penalty * (isCold ? 2 : 1);
  }
}

/** Cost of a prompt token, relative to a running request. */
const PROMPT_TOKEN_WEIGHT = 1 / 4_000;

/** Properties of a rank other than this entry's own load on it. */
export interface RankInfo {
  /** Returns the group of ranks that step together with this one. */
  groupOf(upstream: Upstream): string;
  /** Returns the slowdown factor of a rank; 1 is normal. */
  slowdownOf(upstream: Upstream): number;
}

/**
 * Least outstanding requests per slot, first over groups, then over the ranks
 * of the group. Zones do not restrict the group: a zone with more callers would
 * fill its own groups while others are idle. A step lasts as long as the
 * slowest rank's part, so work within a group is spread evenly; there the zone
 * breaks ties, and a slow rank gets less. It balances many concurrent streams,
 * unevenly distributed over zones and with long prompts among them.
 */
export class LeastLoadedGroupPolicy extends PlacementPolicy {
  /**
   * @param loads - load and health of the upstreams
   * @param zone - zone of this entry
   * @param rankInfo - groups and slowdown factors of the ranks
   */
  constructor(
    protected readonly loads: LoadTracker,
    private readonly zone: AvailabilityZone,
    private readonly rankInfo: RankInfo,
  ) {
    super();
  }

  choose(
    _now: Millis,
    req: PlacementRequest,
    candidates: readonly Upstream[],
    chance: Chance,
  ): Upstream | undefined {
    const groups = new Map<string, Upstream[]>();
    for (const rank of candidates) {
      const name = this.rankInfo.groupOf(rank);
      const known = groups.get(name);
      if (known === undefined) groups.set(name, [rank]);
      else known.push(rank);
    }
    const group = pickCheapest([...groups.values()], chance, ranks =>
      this.groupCost(ranks),
    );
    if (group === undefined) return undefined;
    return this.chooseRank(req, group, chance);
  }

  /**
   * Chooses one of the ranks of a group.
   * @param req - the request
   * @param candidates - eligible ranks of the group
   * @param chance - breaks ties
   */
  protected chooseRank(
    req: PlacementRequest,
    candidates: readonly Upstream[],
    chance: Chance,
  ): Upstream | undefined {
    return pickCheapest(candidates, chance, rank => this.rankCost(req, rank));
  }

  private groupCost(ranks: readonly Upstream[]): number {
    const sum = (of: (rank: Upstream) => number) =>
      ranks.reduce((total, rank) => total + of(rank), 0);
    const work = sum(
      ({incarnation}) => this.loads.loadOf(incarnation).inFlight,
    );
    const slots = sum(({registration: entry}) => entry.slots);
    const health = sum(({incarnation}) => successRate(this.loads, incarnation));
    return ((work + 1) * ranks.length) / (slots * health);
  }

  private rankCost(req: PlacementRequest, rank: Upstream): number {
    const {registration: entry, incarnation} = rank;
    const load = this.loads.loadOf(incarnation);
    const away = entry.availabilityZone === this.zone ? 0 : TIE_BREAK_COST;
    const tokens = (load.tokens + req.promptTokens) * PROMPT_TOKEN_WEIGHT;
    const work = load.inFlight + tokens + 1;
    const penalty = 1 / successRate(this.loads, incarnation);
    return work * penalty * this.rankInfo.slowdownOf(rank) + away;
  }
}

function successRate(
  loads: LoadTracker,
  rank: Upstream['incarnation'],
): number {
  return Math.max(MIN_SUCCESS_RATE, loads.loadOf(rank).successRate);
}

/** Far less than the cost of one request, but more than rounding errors. */
const TIE_BREAK_COST = 0.05;
const MIN_SUCCESS_RATE = 0.2;

function pickCheapest<T>(
  candidates: readonly T[],
  chance: Chance,
  cost: (candidate: T) => number,
): T | undefined {
  let best: T[] = [];
  let lowest = Infinity;
  for (const candidate of candidates) {
    const value = cost(candidate);
    if (value < lowest) {
      lowest = value;
      best = [candidate];
    } else if (value === lowest) best.push(candidate);
  }
  return best.length === 0 ? undefined : chance.pick(best);
}
