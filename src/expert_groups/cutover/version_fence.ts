import type {MapVersion, Rank} from '../types.js';
import type {ExpertLists} from './map_patch.js';
import type {CutoverOrder, RankReport} from './types.js';

/** Refusals by an unarmed rank after which it is left without a fence. */
const MAX_REFUSALS = 5;

type PrepareOrder = Extract<CutoverOrder, {kind: 'prepare'}>;

/**
 * Returns the experts of a map in use, `lists[set][rank]`.
 * @param version - version of the map
 * @returns undefined if they are not known
 */
export type MapLookup = (version: MapVersion) => ExpertLists | undefined;

/**
 * Fence by map versions, for ranks whose engines check no tokens. A rank that
 * has prepared the map in use under the version of a cleanup rejects what late
 * orders of earlier switches need: it prepares no lower version, and arms only
 * the version that it has prepared. Such a preparation copies no weights, and
 * no order arms it.
 */
export class VersionFence {
  /** Ranks that have accepted the preparation under the current version. */
  private readonly accepted = new Map<Rank, MapVersion>();
  private readonly refusals = new Map<Rank, number>();
  /** The last order, which costs a copy of the map. */
  private lastOrder:
    {readonly inUse: MapVersion; readonly order: PrepareOrder} | undefined;

  /** @param lookup - returns the experts of the map in use */
  constructor(private readonly lookup: MapLookup) {}

  /** Removes the state of all ranks: the version changed. */
  clear(): void {
    this.accepted.clear();
    this.refusals.clear();
  }

  /**
   * Removes the state of a restarted rank.
   * @param rank - the rank
   */
  remove(rank: Rank): void {
    this.accepted.delete(rank);
    this.refusals.delete(rank);
  }

  /**
   * Returns the order that sets the fence.
   * @param version - version of the cleanup
   * @param reports - latest report of each rank
   * @returns undefined while the map in use is not known
   */
  order(
    version: MapVersion,
    reports: readonly RankReport[],
  ): CutoverOrder | undefined {
    const [first] = reports;
    if (first === undefined || reports.some(({map}) => map !== first.map)) {
      return undefined;
    }
    const {lastOrder} = this;
    if (lastOrder?.inUse === first.map && lastOrder.order.map === version)
      return lastOrder.order;
    const found = this.lookup(first.map);
    if (found === undefined) return undefined;
    const experts = found.map(set => set.map(held => [...held]));
    const order: PrepareOrder = {kind: 'prepare', map: version, experts};
    this.lastOrder = {inUse: first.map, order};
    return order;
  }

  /**
   * Records the answer to a preparation.
   * @param rank - the rank
   * @param version - version of the prepared map
   * @param isAccepted - whether it was accepted
   * @param report - report of the rank, read after the answer
   */
  recordAnswer(
    rank: Rank,
    version: MapVersion,
    isAccepted: boolean,
    report: RankReport | undefined,
  ): void {
    if (isAccepted) this.accepted.set(rank, version);
    else if (report !== undefined && report.armed === null)
      this.refusals.set(rank, (this.refusals.get(rank) ?? 0) + 1);
  }

  /**
   * Returns whether a rank is fenced. One that keeps refusing though it is not
   * armed has had a higher version, and is not waited for.
   * @param report - report of the rank, read after an answer
   * @param version - version of the cleanup
   */
  has({rank, armed, prepared}: RankReport, version: MapVersion): boolean {
    if ((this.refusals.get(rank) ?? 0) >= MAX_REFUSALS) return true;
    if (armed !== null) return false;
    return (
      prepared === version ||
      (prepared === null && this.accepted.get(rank) === version)
    );
  }
}
