import type {Chance, ServiceName} from '../core/index.js';
import {LeastLoadedGroupPolicy} from '../direct/index.js';
import type {
  EntryShare,
  LoadTracker,
  PlacementRequest,
  RankInfo,
  Upstream,
} from '../direct/index.js';
import type {AvailabilityZone} from '../core/index.js';
import {idlePass} from './pass_model.js';
import type {PacingSettings} from './pass_model.js';
import {RankOrder, takesLayer} from './rank_order.js';

/** Prompt tokens of own requests on a rank that count as one more stream. */
const TOKENS_PER_STREAM = 4_000;
/** Length of passes for which slow ranks get less, as a fraction of the gap target. */
const FULL_LOAD_LENGTH = 0.85;
/** A rank that should get more than this part of the others' streams gets all. */
const FULL_PART = 0.9;

/** What the placement knows of the ranks and entries. */
export interface PlacementView extends RankInfo {
  /** Returns all upstreams of a service, also those that are no candidates. */
  upstreamsOf(service: ServiceName): readonly Upstream[];
  pacingOf?(service: ServiceName): PacingSettings | undefined;
}

/**
 * Places the streams of many entries, each of which has only a few, evenly over
 * the ranks of a group. Where entries choose independently, the load of a rank is
 * that of a random choice, and all ranks wait for the most loaded one. Here each
 * entry fills the ranks in an order of its own that complements those of the
 * others (`RankOrder`). A slow rank gets as many streams as it can run in the time
 * that the others need at full load, and a failing one fewer.
 */
export class ComplementaryPolicy extends LeastLoadedGroupPolicy {
  private share: EntryShare | undefined;

  /**
   * @param loads - load and health of the upstreams
   * @param zone - zone of this entry
   * @param view - the ranks and entries
   */
  constructor(
    loads: LoadTracker,
    zone: AvailabilityZone,
    private readonly view: PlacementView,
  ) {
    super(loads, zone, view);
  }

  /**
   * Sets the position of this entry among the entries.
   * @param share - the position
   */
  setShare(share: EntryShare): void {
    this.share = share;
  }

  protected override chooseRank(
    req: PlacementRequest,
    candidates: readonly Upstream[],
    chance: Chance,
  ): Upstream | undefined {
    return (
      this.chooseInOrder(candidates) ??
      super.chooseRank(req, candidates, chance)
    );
  }

  /** Returns undefined if no rank of the order is a candidate. */
  private chooseInOrder(candidates: readonly Upstream[]): Upstream | undefined {
    const [first] = candidates;
    if (first === undefined || this.share === undefined) return undefined;
    const ranks = this.ranksOf(first);
    const pacing = this.view.pacingOf?.(first.registration.service);
    const eligible = new Set(candidates.map(({incarnation}) => incarnation));
    const places = ranks.map(rank => ({
      rank,
      part: this.partOf(rank, pacing),
      isEligible: eligible.has(rank.incarnation),
      left: this.ownStreams(rank),
    }));
    const order = new RankOrder(ranks.length, this.share);
    const own = places.reduce((sum, {left}) => sum + left, 0);
    for (let i = 0; i < own + MAX_ROUNDS * ranks.length; i++) {
      const {rank: index, layer} = order.placeOf(i);
      const place = places[index]!;
      if (!takesLayer(layer, place.part)) continue;
      if (place.left > 0) place.left -= 1;
      else if (place.isEligible) return place.rank;
    }
    return undefined;
  }

  /** Ranks of a group, in an order that is the same at all entries. */
  private ranksOf(rank: Upstream): Upstream[] {
    const group = this.view.groupOf(rank);
    return this.view
      .upstreamsOf(rank.registration.service)
      .filter(other => this.view.groupOf(other) === group)
      .sort((a, b) => (a.registration.id < b.registration.id ? -1 : 1));
  }

  private ownStreams({incarnation}: Upstream): number {
    const {inFlight, tokens} = this.loads.loadOf(incarnation);
    const extra = Math.floor(tokens / TOKENS_PER_STREAM);
    return inFlight > 1 ? inFlight + extra : inFlight;
  }

  /** Part of the streams of a healthy rank that a rank should get. */
  private partOf(rank: Upstream, pacing: PacingSettings | undefined): number {
    const slowdown = this.view.slowdownOf(rank);
    const {successRate} = this.loads.loadOf(rank.incarnation);
    const part = speedPart(slowdown, pacing) * successRate ** 2;
    return part > FULL_PART ? 1 : part;
  }
}

/** Laps over all ranks in which a place for one more stream is sought. */
const MAX_ROUNDS = 4;

/**
 * Returns how many streams a slow rank runs in the time in which others make a
 * pass at full load, as a part of their streams.
 */
function speedPart(
  slowdown: number,
  pacing: PacingSettings | undefined,
): number {
  if (slowdown <= 1) return 1;
  if (pacing === undefined) return 1 / slowdown;
  const length = FULL_LOAD_LENGTH * pacing.gapTarget;
  const idle = idlePass(pacing.engine);
  return Math.max(0, (length / slowdown - idle) / (length - idle));
}
