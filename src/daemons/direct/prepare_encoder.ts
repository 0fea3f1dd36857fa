import {diffExpertLists} from '../../expert_groups/index.js';
import type {
  CutoverOrder,
  ExpertLists,
  MapPatch,
  OrderOutcome,
} from '../../expert_groups/index.js';

/** The map of a group under its number. */
export interface NumberedMap {
  readonly map: number;
  readonly experts: ExpertLists;
}

/** An order as it goes over a link. */
export interface EncodedOrder {
  readonly order: CutoverOrder;
  readonly patch?: MapPatch;
}

/**
 * Sends prepare orders as changes to the map before, to sidecars that have
 * taken that one; whole to the others.
 */
export class PrepareEncoder {
  private base: NumberedMap | undefined;
  private latest: NumberedMap | undefined;
  private changes: MapPatch['changes'] = [];
  /** The map that each sidecar has taken last. */
  private readonly ackedMaps = new Map<number, number>();

  /** Another coordinator may have sent maps meanwhile. */
  clear(): void {
    this.base = this.latest = undefined;
    this.ackedMaps.clear();
  }

  /**
   * A group starts with a map that all sidecars know by themselves.
   * @param ranks - ranks of the group
   * @param map - that map
   */
  setInitialMap(ranks: number, map: NumberedMap): void {
    this.clear();
    this.latest = map;
    for (let rank = 0; rank < ranks; rank++) this.ackedMaps.set(rank, map.map);
  }

  /**
   * The form of an order for a sidecar.
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
   * A sidecar has answered an order.
   * @param rank - its rank
   * @param order - the order
   * @param outcome - what became of it
   */
  recordAck(rank: number, order: CutoverOrder, outcome: OrderOutcome): void {
    if (order.kind !== 'prepare') return;
    // Whatever the engine did, its sidecar knows the map that it passed on.
    if (outcome === 'not_given') this.ackedMaps.delete(rank);
    else this.ackedMaps.set(rank, order.map);
  }
}
