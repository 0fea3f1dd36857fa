import {diffExpertLists} from '../../expert_groups/index.js';
import type {
  CutoverOrder,
  ExpertLists,
  MapPatch,
  OrderOutcome,
} from '../../expert_groups/index.js';

/** A map of a group, with its number. */
export interface NumberedMap {
  readonly map: number;
  readonly experts: ExpertLists;
}

/** An order as encoded in a link message. */
export interface EncodedOrder {
  readonly order: CutoverOrder;
  readonly patch?: MapPatch;
}

/**
 * Delta encoder of prepare orders: encodes a map as a patch to the previous one
 * for sidecars that have acknowledged that, and whole for the others.
 */
export class PrepareEncoder {
  private base: NumberedMap | undefined;
  private latest: NumberedMap | undefined;
  private changes: MapPatch['changes'] = [];
  /** Number of the last map known to the sidecar of each rank. */
  private readonly ackedMaps = new Map<number, number>();

  /** Forgets all maps, as another coordinator may have sent others. */
  clear(): void {
    this.base = this.latest = undefined;
    this.ackedMaps.clear();
  }

  /**
   * Sets the default map, which all sidecars can derive, as the first base.
   * @param ranks - number of ranks in the group
   * @param map - that map
   */
  setInitialMap(ranks: number, map: NumberedMap): void {
    this.clear();
    this.latest = map;
    for (let rank = 0; rank < ranks; rank++) this.ackedMaps.set(rank, map.map);
  }

  /**
   * Encodes an order for a sidecar.
   * @param rank - its rank
   * @param order - the order
   */
  encode(rank: number, order: CutoverOrder): EncodedOrder {
    if (order.kind !== 'prepare') return {order};
    const {map, experts} = order;
    if (this.latest?.map !== map) {
      this.base = this.latest;
      this.latest = {map, experts};
      this.changes = this.base
        ? diffExpertLists(this.base.experts, experts)
        : [];
    }
    const {base, changes} = this;
    if (base === undefined || this.ackedMaps.get(rank) !== base.map) {
      return {order};
    }
    const patch = {base: base.map, changes};
    return {order: {kind: 'prepare', map, experts: []}, patch};
  }

  /**
   * Records a sidecar's answer to an order.
   * @param rank - its rank
   * @param order - the order
   * @param outcome - its outcome
   */
  recordAck(rank: number, order: CutoverOrder, outcome: OrderOutcome): void {
    if (order.kind !== 'prepare') return;
    // A sidecar stores a map that it forwarded, whatever the engine did.
    if (outcome === 'not_given') this.ackedMaps.delete(rank);
    else this.ackedMaps.set(rank, order.map);
  }
}
