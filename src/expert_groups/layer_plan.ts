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
  readonly greatest: number;
}

/** What a change may bring to a rank. */
export interface ChangeLimit {
  /** Experts of the layer that a rank may get and did not have before. */
  readonly newPerRank: number;
  /** Bounds the copies of a rank over all layers, if anything does. */
  readonly budget?: CopyBudget;
}

interface Option {
  readonly slots: Move['slots'];
  /** Fall of the sum of squares, per slot that is loaded. */
  readonly worth: number;
}

/** Coldest ranks that are tried as the other side of a move. */
const COLD_RANKS = 10;
/** Square of the share by which an expert's load may stray unseen. */
const SURPRISE = 0.5;
/** Moves that gain less than this share of the mean load end a trace. */
const LEAST_GAIN = 2e-3;

/**
 * Improves one layer, the hottest rank first. Each move either gives a hot
 * expert one more replica in place of a spare one of another expert, or
 * exchanges two experts.
 */
export class LayerPlan {
  private readonly slots: Uint16Array;
  private readonly replicas: Uint16Array;
  private readonly perRank: Float64Array;
  /** For each expert the load of one of its replicas. */
  private readonly shares: Float64Array;
  private readonly mean: number;
  /** For each expert the ranks of its replicas. */
  private readonly hostsOf: number[][];
  /** Changes of the ranks' loads while a move is weighed. */
  private readonly delta: Float64Array;
  private readonly touched: number[] = [];
  /** Whether a rank held an expert at first: `rank * experts + expert`. */
  private readonly held: Uint8Array;
  /** The same for now. */
  private readonly hosted: Uint8Array;
  /** Experts of each rank that it did not hold at first. */
  private readonly fresh: Uint16Array;
  private most = 0;

  /**
   * @param layer - number of the layer
   * @param slots - experts by rank and slot; left as they are
   * @param slotsPerRank - slots of each rank
   * @param loads - load of each expert
   * @param limit - bounds what a rank has to load, if anything does
   * @param costs - for each rank how long it takes for a unit of load, against
   * a rank in good health; all alike if left out
   */
  constructor(
    private readonly layer: number,
    slots: Uint16Array,
    private readonly slotsPerRank: number,
    private readonly loads: Float64Array,
    private readonly limit?: ChangeLimit,
    private readonly costs?: readonly number[],
  ) {
    this.slots = slots.slice();
    this.replicas = new Uint16Array(loads.length);
    const ranks = slots.length / slotsPerRank;
    this.held = new Uint8Array(ranks * loads.length);
    this.fresh = new Uint16Array(ranks);
    this.hostsOf = Array.from(loads, () => []);
    for (const [slot, expert] of slots.entries()) {
      if (expert === EMPTY_SLOT) continue;
      this.replicas[expert]! += 1;
      this.hostsOf[expert]!.push(this.rankOf(slot));
      this.held[this.rankOf(slot) * loads.length + expert] = 1;
    }
    this.hosted = this.held.slice();
    this.perRank = new Float64Array(ranks);
    this.shares = new Float64Array(loads.length);
    this.delta = new Float64Array(this.perRank.length);
    this.sum();
    const placed = loads.filter((_, expert) => this.replicas[expert]! > 0);
    const total = placed.reduce((sum, load) => sum + load, 0);
    this.mean = total / this.perRank.length;
  }

  /** Greatest load of a rank now, by the time that it takes there. */
  get greatest(): number {
    return this.most;
  }

  /** Mean load of the ranks. */
  get meanLoad(): number {
    return this.mean;
  }

  /**
   * Finds moves, the one with the most gain first.
   * @param most - the most moves
   */
  trace(most: number): TracedMove[] {
    const moves: TracedMove[] = [];
    while (moves.length < most) {
      const move = this.improve();
      if (move === undefined) break;
      moves.push(move);
    }
    return moves;
  }

  /**
   * Makes the move with the most gain.
   * @returns nothing when no move gains enough
   */
  improve(): TracedMove | undefined {
    const option = this.best();
    if (option === undefined) return undefined;
    this.apply(option);
    const {layer, greatest} = this;
    return {layer, slots: option.slots, greatest};
  }

  private best(): Option | undefined {
    const order = this.byLoad();
    const hot = order[0]!;
    const cold = order.slice(-COLD_RANKS).reverse();
    const lightest = order.map(rank => this.lightestOf(rank));
    let best: Option | undefined;
    const consider = (option: Option | undefined) => {
      if (option && option.worth > (best?.worth ?? 0)) best = option;
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
      consider(this.drop(hot, from));
      // The hot rank gives up a spare replica for an expert of another.
      for (const expert of lightest) {
        consider(this.overwrite(hot, from, expert));
      }
    }
    return best;
  }

  /** Ranks, the hottest first; equal ones by number. */
  private byLoad(): number[] {
    const ranks = Array.from(this.perRank.keys());
    return ranks.sort((a, b) => this.perRank[b]! - this.perRank[a]! || a - b);
  }

  private lightestOf(rank: number): number {
    const first = rank * this.slotsPerRank;
    let lightest = this.slots[first]!;
    for (let slot = first; slot < first + this.slotsPerRank; slot++) {
      const expert = this.slots[slot]!;
      if (expert === EMPTY_SLOT) continue;
      const isFirst = lightest === EMPTY_SLOT;
      if (isFirst || this.share(expert) < this.share(lightest)) {
        lightest = expert;
      }
    }
    return lightest;
  }

  /** Gives the expert in slot `from` a replica in place of the one in `to`. */
  private replicate(hot: number, from: number, to: number): Option | undefined {
    const expert = this.slots[from]!;
    const more = this.replicas[expert]!;
    const relief = this.share(expert) - this.loads[expert]! / (more + 1);
    if (relief < LEAST_GAIN * this.mean) return undefined;
    return this.overwrite(hot, to, expert);
  }

  private overwrite(
    hot: number,
    slot: number,
    expert: number,
  ): Option | undefined {
    const dropped = this.slots[slot]!;
    const rank = this.rankOf(slot);
    const isFree = dropped === EMPTY_SLOT;
    if (expert === EMPTY_SLOT || dropped === expert) return undefined;
    if (!isFree && this.replicas[dropped]! < 2) return undefined;
    if (this.hosts(rank, expert) || !this.mayLoad(rank, slot, expert)) {
      return undefined;
    }
    const more = this.replicas[expert]!;
    const gain = this.loads[expert]! / (more + 1) - this.share(expert);
    const loss = isFree
      ? 0
      : this.loads[dropped]! / (this.replicas[dropped]! - 1) -
        this.share(dropped);
    for (const other of this.hostsOf[expert]!) this.add(other, gain);
    if (!isFree) {
      for (const other of this.hostsOf[dropped]!) this.add(other, loss);
    }
    // The rank loses its whole share of the one and takes one of the other.
    this.add(rank, -this.share(dropped) - loss);
    this.add(rank, this.loads[expert]! / (more + 1));
    const fall = this.fall(hot);
    if (fall <= 0) return undefined;
    const steadier = this.steadier(expert, dropped);
    return {slots: [{slot, expert}], worth: fall + SURPRISE * steadier};
  }

  /**
   * Leaves a slot of a slow rank empty, where others hold its expert. Load
   * that it answers: one rank is many times slower, and all wait for it.
   */
  private drop(hot: number, slot: number): Option | undefined {
    const expert = this.slots[slot]!;
    const replicas = this.replicas[expert]!;
    if (this.costOf(hot) <= 1 || replicas < 2) return undefined;
    const more = this.loads[expert]! / (replicas - 1) - this.share(expert);
    for (const other of this.hostsOf[expert]!) this.add(other, more);
    this.add(hot, -this.share(expert) - more);
    const fall = this.fall(hot);
    if (fall <= 0) return undefined;
    return {slots: [{slot, expert: EMPTY_SLOT}], worth: fall};
  }

  /**
   * How much less the ranks' loads would scatter when each expert's load
   * strays by itself: replicas of popular experts divide a surprise.
   */
  private steadier(expert: number, dropped: number): number {
    const [more, fewer] = [this.replicas[expert]!, this.replicas[dropped]!];
    const gained = this.loads[expert]! ** 2 / (more * (more + 1));
    if (dropped === EMPTY_SLOT) return gained;
    const lost = this.loads[dropped]! ** 2 / (fewer * (fewer - 1));
    return gained - lost;
  }

  private exchange(hot: number, from: number, to: number): Option | undefined {
    const [mine, theirs] = [this.slots[from]!, this.slots[to]!];
    const rank = this.rankOf(to);
    const load = this.share(mine) - this.share(theirs);
    if (load < LEAST_GAIN * this.mean) return undefined;
    const there = this.perRank[rank]! + load * this.costOf(rank);
    if (there >= this.perRank[hot]!) return undefined;
    if (this.hosts(hot, theirs) || this.hosts(rank, mine)) return undefined;
    const mayExchange =
      this.mayLoad(hot, from, theirs) && this.mayLoad(rank, to, mine);
    if (!mayExchange) return undefined;
    this.add(hot, -load);
    this.add(rank, load);
    const fall = this.fall(hot);
    if (fall <= 0) return undefined;
    const slots = [
      {slot: from, expert: theirs},
      {slot: to, expert: mine},
    ];
    const loaded = theirs === EMPTY_SLOT ? 1 : slots.length;
    return {slots, worth: fall / loaded};
  }

  /** Whether a rank may get an expert in a slot within the limit. */
  private mayLoad(rank: number, slot: number, expert: number): boolean {
    if (this.limit === undefined || !this.isFresh(rank, expert)) return true;
    const {newPerRank, budget} = this.limit;
    const isReplaced = this.isFresh(rank, this.slots[slot]!);
    if (isReplaced) return true;
    if (this.fresh[rank]! >= newPerRank) return false;
    return budget === undefined || budget.hasRoom(rank);
  }

  /** Whether a rank would have to copy an expert. */
  private isFresh(rank: number, expert: number): boolean {
    if (expert === EMPTY_SLOT) return false;
    return this.held[rank * this.loads.length + expert] === 0;
  }

  private add(rank: number, load: number): void {
    if (this.delta[rank] === 0) this.touched.push(rank);
    this.delta[rank]! += load * this.costOf(rank);
  }

  /** Fall of the sum of squares by what was added; 0 when of no use. */
  private fall(hot: number): number {
    const limit = this.perRank[hot]! - LEAST_GAIN * this.mean;
    let fall = this.delta[hot]! < 0 ? 0 : -Infinity;
    for (const rank of this.touched) {
      const before = this.perRank[rank]!;
      const after = before + this.delta[rank]!;
      if (after > limit && this.delta[rank] !== 0) fall = -Infinity;
      fall += before ** 2 - after ** 2;
      this.delta[rank] = 0;
    }
    this.touched.length = 0;
    return Math.max(0, fall);
  }

  private apply({slots}: Option): void {
    const changed = slots.map(({slot}) => this.slots[slot]!);
    for (const {slot, expert} of slots) {
      const rank = this.rankOf(slot);
      const copies =
        Number(this.isFresh(rank, expert)) -
        Number(this.isFresh(rank, this.slots[slot]!));
      this.fresh[rank]! += copies;
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
    this.sum();
  }

  private sum(): void {
    const {slots, perRank, shares} = this;
    for (let expert = 0; expert < shares.length; expert++) {
      shares[expert] = this.loads[expert]! / this.replicas[expert]!;
    }
    perRank.fill(0);
    for (let slot = 0; slot < slots.length; slot++) {
      if (slots[slot] === EMPTY_SLOT) continue;
      const rank = this.rankOf(slot);
      perRank[rank]! += this.share(slots[slot]!) * this.costOf(rank);
    }
    this.most = this.perRank.reduce((a, b) => Math.max(a, b), 0);
  }

  private costOf(rank: number): number {
    return this.costs?.[rank] ?? 1;
  }

  private hosts(rank: number, expert: number): boolean {
    if (expert === EMPTY_SLOT) return false;
    return this.hosted[rank * this.loads.length + expert] === 1;
  }

  private setHosted(rank: number, expert: number, is: 0 | 1): void {
    this.hosted[rank * this.loads.length + expert] = is;
  }

  private share(expert: number): number {
    return expert === EMPTY_SLOT ? 0 : this.shares[expert]!;
  }

  private rankOf(slot: number): number {
    return Math.floor(slot / this.slotsPerRank);
  }
}
