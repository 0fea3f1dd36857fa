import type {CopyBudget} from './copy_budget.js';
import {EMPTY_SLOT} from './types.js';

/** One change of placement within a layer. Every expert stays placed. */
export interface Move {
  readonly layer: number;
  /** Slots that get another expert: one, or two that are exchanged. */
  readonly slots: readonly {readonly slot: number; readonly expert: number}[];
}

/** A move with what it does. */
export interface TracedMove extends Move {
  /** Greatest load of a rank afterwards. */
  readonly maxLoad: number;
}

/** What a change may bring to a rank. */
export interface CopyLimit {
  /** Experts of the layer that a rank may get and did not have before. */
  readonly maxNewPerRank: number;
  /** Bounds the copies of a rank over all layers, if anything does. */
  readonly budget?: CopyBudget;
}

interface MoveOption {
  readonly slots: Move['slots'];
  /** Fall of the sum of squares, per slot that is loaded. */
  readonly score: number;
}

/** Coldest ranks that are tried as the other side of a move. */
const MAX_COLD_RANKS = 10;
/** Square of the share by which an expert's load may stray unseen. */
const LOAD_VARIANCE = 0.5;
/** Moves that gain less than this share of the mean load end a trace. */
const MIN_GAIN = 2e-3;

/**
 * Improves one layer, the hottest rank first. Each move either gives a hot
 * expert one more replica in place of a spare one of another expert, or
 * exchanges two experts.
 */
export class LayerPlan {
  private readonly slots: Uint16Array;
  private readonly replicas: Uint16Array;
  private readonly rankLoads: Float64Array;
  /** For each expert the load of one of its replicas. */
  private readonly replicaLoads: Float64Array;
  private readonly mean: number;
  /** For each expert the ranks of its replicas. */
  private readonly hostsOf: number[][];
  /** Changes of the ranks' loads while a move is weighed. */
  private readonly delta: Float64Array;
  private readonly touchedRanks: number[] = [];
  /** Whether a rank held an expert at first: `rank * experts + expert`. */
  private readonly initialHosts: Uint8Array;
  /** The same for now. */
  private readonly currentHosts: Uint8Array;
  /** Experts of each rank that it did not hold at first. */
  private readonly copyCounts: Uint16Array;
  private currentMaxLoad = 0;

  /**
   * @param layer - number of the layer
   * @param slots - experts by rank and slot; left as they are
   * @param slotsPerRank - slots of each rank
   * @param loads - load of each expert
   * @param limit - bounds what a rank has to load, if anything does
   * @param slowdowns - for each rank how long it takes for a unit of load, against
   * a rank in good health; all alike if left out
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

  /** Greatest load of a rank now, by the time that it takes there. */
  get maxLoad(): number {
    return this.currentMaxLoad;
  }

  /** Mean load of the ranks. */
  get meanLoad(): number {
    return this.mean;
  }

  /**
   * Finds moves, the one with the most gain first.
   * @param maxMoves - the most moves
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
   * Makes the move with the most gain.
   * @returns nothing when no move gains enough
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
      // The hot rank gives up a spare replica for an expert of another.
      for (const expert of lightest) {
        consider(this.overwrite(hot, from, expert));
      }
    }
    return best;
  }

  /** Ranks, the hottest first; equal ones by number. */
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

  /** Gives the expert in slot `from` a replica in place of the one in `to`. */
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
    // The rank loses its whole share of the one and takes one of the other.
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
   * Leaves a slot of a slow rank empty, where others hold its expert. Load
   * that it answers: one rank is many times slower, and all wait for it.
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
   * How much less the ranks' loads would scatter when each expert's load
   * strays by itself: replicas of popular experts divide a surprise.
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

  /** Whether a rank may get an expert in a slot within the limit. */
  private canLoad(rank: number, slot: number, expert: number): boolean {
    if (this.limit === undefined || !this.needsCopy(rank, expert)) return true;
    const {maxNewPerRank, budget} = this.limit;
    const isReplaced = this.needsCopy(rank, this.slots[slot]!);
    if (isReplaced) return true;
    if (this.copyCounts[rank]! >= maxNewPerRank) return false;
    return budget === undefined || budget.hasCapacity(rank);
  }

  /** Whether a rank would have to copy an expert. */
  private needsCopy(rank: number, expert: number): boolean {
    if (expert === EMPTY_SLOT) return false;
    return this.initialHosts[rank * this.loads.length + expert] === 0;
  }

  private addDelta(rank: number, load: number): void {
    if (this.delta[rank] === 0) this.touchedRanks.push(rank);
    this.delta[rank]! += load * this.slowdownOf(rank);
  }

  /** Fall of the sum of squares by what was added; 0 when of no use. */
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
