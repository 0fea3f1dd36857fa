import type {CopyBudget} from './copy_budget.js';
import {EMPTY_SLOT} from './types.js';

/** Placement change within one layer. Every expert keeps a replica. */
export interface Move {
  readonly layer: number;
  /** Reassigned slots: one, or two that are exchanged. */
  readonly slots: readonly {readonly slot: number; readonly expert: number}[];
}

/** A move and its effect. */
export interface TracedMove extends Move {
  /** Maximum load of a rank afterwards. */
  readonly maxLoad: number;
}

/** Bounds the copies that one map switch brings to a rank. */
export interface CopyLimit {
  /** Experts of the layer that may be added to a rank. */
  readonly maxNewPerRank: number;
  /** Bounds the copies of a rank over all layers, if given. */
  readonly budget?: CopyBudget;
}

interface MoveOption {
  readonly slots: Move['slots'];
  /** Reduction of the sum of squared rank loads, per loaded slot. */
  readonly score: number;
}

/** Least loaded ranks considered as the other side of a move. */
const MAX_COLD_RANKS = 10;
/** Variance of an expert's load between reports, relative to its square. */
const LOAD_VARIANCE = 0.5;
/** Minimum gain, as a share of the mean load; the search ends below it. */
const MIN_GAIN = 2e-3;

/**
 * Greedy placement optimiser for one layer, starting at the hottest rank. Each
 * move adds a replica of an expert in place of a spare replica of another,
 * exchanges two experts, or drops a replica from a slow rank.
 */
export class LayerPlan {
  private readonly slots: Uint16Array;
  private readonly replicas: Uint16Array;
  private readonly rankLoads: Float64Array;
  /** Load of one replica of each expert. */
  private readonly replicaLoads: Float64Array;
  private readonly mean: number;
  /** Ranks of the replicas of each expert. */
  private readonly hostsOf: number[][];
  /** Load change of each rank by the move under evaluation. */
  private readonly delta: Float64Array;
  private readonly touchedRanks: number[] = [];
  /** Whether a rank initially hosts an expert: `rank * experts + expert`. */
  private readonly initialHosts: Uint8Array;
  /** The same for the current placement. */
  private readonly currentHosts: Uint8Array;
  /** Experts of each rank that it did not initially host. */
  private readonly copyCounts: Uint16Array;
  private currentMaxLoad = 0;

  /**
   * @param layer - index of the layer
   * @param slots - experts by rank and slot; not modified
   * @param slotsPerRank - slots of each rank
   * @param loads - load of each expert
   * @param limit - bounds the copies of each rank, if given
   * @param slowdowns - slowdown factor of each rank against a healthy one; 1
   * for all by default
   */
  constructor(
    private readonly layer: number,
    slots: Uint16Array,
    private readonly slotsPerRank: number,
    private readonly loads: Float64Array,
    private readonly limit?: CopyLimit,
    private readonly slowdowns?: readonly number[],
  ) {
    this.slots = slots.slice();
    this.replicas = new Uint16Array(loads.length);
    const ranks = slots.length / slotsPerRank;
    this.initialHosts = new Uint8Array(ranks * loads.length);
    this.copyCounts = new Uint16Array(ranks);
    this.hostsOf = Array.from(loads, () => []);
    for (const [slot, expert] of slots.entries()) {
      if (expert === EMPTY_SLOT) continue;
      this.replicas[expert]! += 1;
      this.hostsOf[expert]!.push(this.rankOf(slot));
      this.initialHosts[this.rankOf(slot) * loads.length + expert] = 1;
    }
    this.currentHosts = this.initialHosts.slice();
    this.rankLoads = new Float64Array(ranks);
    this.replicaLoads = new Float64Array(loads.length);
    this.delta = new Float64Array(this.rankLoads.length);
    this.updateLoads();
    const placed = loads.filter((_, expert) => this.replicas[expert]! > 0);
    const total = placed.reduce((sum, load) => sum + load, 0);
    this.mean = total / this.rankLoads.length;
  }

  /** Maximum load of a rank, weighted by its slowdown factor. */
  get maxLoad(): number {
    return this.currentMaxLoad;
  }

  /** Mean load of the ranks. */
  get meanLoad(): number {
    return this.mean;
  }

  /**
   * Applies and returns moves, the best first.
   * @param maxMoves - maximum number of moves
   */
  findMoves(maxMoves: number): TracedMove[] {
    const moves: TracedMove[] = [];
    while (moves.length < maxMoves) {
      const move = this.applyBestMove();
      if (move === undefined) break;
      moves.push(move);
    }
    return moves;
  }

  /**
   * Applies the best move.
   * @returns the move; `undefined` when none gains enough
   */
  applyBestMove(): TracedMove | undefined {
    const option = this.bestOption();
    if (option === undefined) return undefined;
    this.apply(option);
    const {layer, maxLoad} = this;
    return {layer, slots: option.slots, maxLoad};
  }

  private bestOption(): MoveOption | undefined {
    const order = this.ranksByLoad();
    const hot = order[0]!;
    const cold = order.slice(-MAX_COLD_RANKS).reverse();
    const lightest = order.map(rank => this.lightestExpert(rank));
    let best: MoveOption | undefined;
    const consider = (option: MoveOption | undefined) => {
      if (option && option.score > (best?.score ?? 0)) best = option;
    };
    const {slotsPerRank} = this;
    for (let from = hot * slotsPerRank; this.rankOf(from) === hot; from++) {
      if (this.slots[from] === EMPTY_SLOT) continue;
      for (const rank of cold) {
        if (rank === hot) continue;
        const first = rank * slotsPerRank;
        for (let to = first; to < first + slotsPerRank; to++) {
          consider(this.replicate(hot, from, to));
          consider(this.exchange(hot, from, to));
        }
      }
      consider(this.dropReplica(hot, from));
      // Replaces a spare replica of the hot rank by an expert of another rank.
      for (const expert of lightest) {
        consider(this.overwrite(hot, from, expert));
      }
    }
    return best;
  }

  /** Returns the ranks by descending load; ties by index. */
  private ranksByLoad(): number[] {
    const ranks = Array.from(this.rankLoads.keys());
    return ranks.sort(
      (a, b) => this.rankLoads[b]! - this.rankLoads[a]! || a - b,
    );
  }

  private lightestExpert(rank: number): number {
    const first = rank * this.slotsPerRank;
    let lightest = this.slots[first]!;
    for (let slot = first; slot < first + this.slotsPerRank; slot++) {
      const expert = this.slots[slot]!;
      if (expert === EMPTY_SLOT) continue;
      const isFirst = lightest === EMPTY_SLOT;
      if (isFirst || this.replicaLoad(expert) < this.replicaLoad(lightest)) {
        lightest = expert;
      }
    }
    return lightest;
  }

  /** Replaces the replica in slot `to` by one of the expert in slot `from`. */
  private replicate(
    hot: number,
    from: number,
    to: number,
  ): MoveOption | undefined {
    const expert = this.slots[from]!;
    const more = this.replicas[expert]!;
    const relief = this.replicaLoad(expert) - this.loads[expert]! / (more + 1);
    if (relief < MIN_GAIN * this.mean) return undefined;
    return this.overwrite(hot, to, expert);
  }

  private overwrite(
    hot: number,
    slot: number,
    expert: number,
  ): MoveOption | undefined {
    const dropped = this.slots[slot]!;
    const rank = this.rankOf(slot);
    const isFree = dropped === EMPTY_SLOT;
    if (expert === EMPTY_SLOT || dropped === expert) return undefined;
    if (!isFree && this.replicas[dropped]! < 2) return undefined;
    if (this.hosts(rank, expert) || !this.canLoad(rank, slot, expert)) {
      return undefined;
    }
    const more = this.replicas[expert]!;
    const gain = this.loads[expert]! / (more + 1) - this.replicaLoad(expert);
    const loss = isFree
      ? 0
      : this.loads[dropped]! / (this.replicas[dropped]! - 1) -
        this.replicaLoad(dropped);
    for (const other of this.hostsOf[expert]!) this.addDelta(other, gain);
    if (!isFree) {
      for (const other of this.hostsOf[dropped]!) this.addDelta(other, loss);
    }
    // The rank loses its replica of the dropped expert and gains a new one.
    this.addDelta(rank, -this.replicaLoad(dropped) - loss);
    this.addDelta(rank, this.loads[expert]! / (more + 1));
    const reduction = this.takeReduction(hot);
    if (reduction <= 0) return undefined;
    const steadying = this.varianceReduction(expert, dropped);
    return {
      slots: [{slot, expert}],
      score: reduction + LOAD_VARIANCE * steadying,
    };
  }

  /**
   * Empties a slot of a slow rank if other ranks host its expert, for the case
   * of one rank that is many times slower than all others, which wait for it.
   */
  private dropReplica(hot: number, slot: number): MoveOption | undefined {
    const expert = this.slots[slot]!;
    const replicas = this.replicas[expert]!;
    if (this.slowdownOf(hot) <= 1 || replicas < 2) return undefined;
    const more =
      this.loads[expert]! / (replicas - 1) - this.replicaLoad(expert);
    for (const other of this.hostsOf[expert]!) this.addDelta(other, more);
    this.addDelta(hot, -this.replicaLoad(expert) - more);
    const reduction = this.takeReduction(hot);
    if (reduction <= 0) return undefined;
    return {slots: [{slot, expert: EMPTY_SLOT}], score: reduction};
  }

  /**
   * Returns the reduction of the variance of rank loads if expert loads vary
   * independently: replicas of popular experts share an unexpected load.
   */
  private varianceReduction(expert: number, dropped: number): number {
    const [more, fewer] = [this.replicas[expert]!, this.replicas[dropped]!];
    const gained = this.loads[expert]! ** 2 / (more * (more + 1));
    if (dropped === EMPTY_SLOT) return gained;
    const lost = this.loads[dropped]! ** 2 / (fewer * (fewer - 1));
    return gained - lost;
  }

  private exchange(
    hot: number,
    from: number,
    to: number,
  ): MoveOption | undefined {
    const [mine, theirs] = [this.slots[from]!, this.slots[to]!];
    const rank = this.rankOf(to);
    const load = this.replicaLoad(mine) - this.replicaLoad(theirs);
    if (load < MIN_GAIN * this.mean) return undefined;
    const there = this.rankLoads[rank]! + load * this.slowdownOf(rank);
    if (there >= this.rankLoads[hot]!) return undefined;
    if (this.hosts(hot, theirs) || this.hosts(rank, mine)) return undefined;
    const canExchange =
      this.canLoad(hot, from, theirs) && this.canLoad(rank, to, mine);
    if (!canExchange) return undefined;
    this.addDelta(hot, -load);
    this.addDelta(rank, load);
    const reduction = this.takeReduction(hot);
    if (reduction <= 0) return undefined;
    const slots = [
      {slot: from, expert: theirs},
      {slot: to, expert: mine},
    ];
    const loaded = theirs === EMPTY_SLOT ? 1 : slots.length;
    return {slots, score: reduction / loaded};
  }

  /** Whether the limit lets a rank load an expert into a slot. */
  private canLoad(rank: number, slot: number, expert: number): boolean {
    if (this.limit === undefined || !this.needsCopy(rank, expert)) return true;
    const {maxNewPerRank, budget} = this.limit;
    const isReplaced = this.needsCopy(rank, this.slots[slot]!);
    if (isReplaced) return true;
    if (this.copyCounts[rank]! >= maxNewPerRank) return false;
    return budget === undefined || budget.hasCapacity(rank);
  }

  /** Whether a rank must copy an expert that it did not initially host. */
  private needsCopy(rank: number, expert: number): boolean {
    if (expert === EMPTY_SLOT) return false;
    return this.initialHosts[rank * this.loads.length + expert] === 0;
  }

  private addDelta(rank: number, load: number): void {
    if (this.delta[rank] === 0) this.touchedRanks.push(rank);
    this.delta[rank]! += load * this.slowdownOf(rank);
  }

  /** Returns the reduction of the sum of squares, or 0; resets the delta. */
  private takeReduction(hot: number): number {
    const limit = this.rankLoads[hot]! - MIN_GAIN * this.mean;
    let reduction = this.delta[hot]! < 0 ? 0 : -Infinity;
    for (const rank of this.touchedRanks) {
      const before = this.rankLoads[rank]!;
      const after = before + this.delta[rank]!;
      if (after > limit && this.delta[rank] !== 0) reduction = -Infinity;
      reduction += before ** 2 - after ** 2;
      this.delta[rank] = 0;
    }
    this.touchedRanks.length = 0;
    return Math.max(0, reduction);
  }

  private apply({slots}: MoveOption): void {
    const changed = slots.map(({slot}) => this.slots[slot]!);
    for (const {slot, expert} of slots) {
      const rank = this.rankOf(slot);
      const copies =
        Number(this.needsCopy(rank, expert)) -
        Number(this.needsCopy(rank, this.slots[slot]!));
      this.copyCounts[rank]! += copies;
      this.limit?.budget?.add(rank, copies);
      this.slots[slot] = expert;
    }
    const affected = new Set([...changed, ...slots.map(s => s.expert)]);
    affected.delete(EMPTY_SLOT);
    for (const expert of affected) {
      for (const rank of this.hostsOf[expert]!) this.setHosted(rank, expert, 0);
      this.hostsOf[expert] = [];
    }
    for (let slot = 0; slot < this.slots.length; slot++) {
      const expert = this.slots[slot]!;
      if (!affected.has(expert)) continue;
      const rank = this.rankOf(slot);
      this.hostsOf[expert]!.push(rank);
      this.setHosted(rank, expert, 1);
    }
    for (const expert of affected) {
      this.replicas[expert] = this.hostsOf[expert]!.length;
    }
    this.updateLoads();
  }

  private updateLoads(): void {
    const {slots, rankLoads, replicaLoads} = this;
    for (let expert = 0; expert < replicaLoads.length; expert++) {
      replicaLoads[expert] = this.loads[expert]! / this.replicas[expert]!;
    }
    rankLoads.fill(0);
    for (let slot = 0; slot < slots.length; slot++) {
      if (slots[slot] === EMPTY_SLOT) continue;
      const rank = this.rankOf(slot);
      rankLoads[rank]! +=
        this.replicaLoad(slots[slot]!) * this.slowdownOf(rank);
    }
    this.currentMaxLoad = this.rankLoads.reduce((a, b) => Math.max(a, b), 0);
  }

  private slowdownOf(rank: number): number {
    return this.slowdowns?.[rank] ?? 1;
  }

  private hosts(rank: number, expert: number): boolean {
    if (expert === EMPTY_SLOT) return false;
    return this.currentHosts[rank * this.loads.length + expert] === 1;
  }

  private setHosted(rank: number, expert: number, is: 0 | 1): void {
    this.currentHosts[rank * this.loads.length + expert] = is;
  }

  private replicaLoad(expert: number): number {
    return expert === EMPTY_SLOT ? 0 : this.replicaLoads[expert]!;
  }

  private rankOf(slot: number): number {
    return Math.floor(slot / this.slotsPerRank);
  }
}
