import type {
  CutoverOrder,
  ExpertLists,
  OrderOutcome,
} from '../src/expert_groups/index.js';

/** Engine of one rank: applies orders when they arrive, however late. */
export class LockstepEngine {
  map = 0;
  highestPrepared = 0;
  prepared: number | null = null;
  preparedAt = 0;
  armed: {readonly map: number; readonly step: number} | null = null;
  heldAt: number | null = null;
  /** Experts by set and rank of the map in use; undefined for the first map. */
  experts: ExpertLists | undefined;
  private preparedExperts: typeof this.experts;
  private lastToken = 0;

  /**
   * @param copyMs - time to copy the weights of a map, ms
   * @param checksTokens - whether orders with older fencing tokens are rejected
   * @param initialExperts - experts of the first map, if known
   */
  constructor(
    private readonly copyMs: number,
    private readonly checksTokens = true,
    private readonly initialExperts?: ExpertLists,
  ) {
    this.experts = initialExperts;
  }

  /**
   * Applies an order.
   * @param now - current time, ms
   * @param step - last forward pass that was started
   * @param order - order to apply
   * @param token - fencing token of the order
   */
  applyOrder(
    now: number,
    step: number,
    order: CutoverOrder,
    token: number,
  ): OrderOutcome {
    if (this.checksTokens && token < this.lastToken) return 'fenced';
    // Worst permitted behaviour: a release without a hold sets no fence.
    if (order.kind !== 'release' || this.heldAt === order.step) {
      this.lastToken = token;
    }
    switch (order.kind) {
      case 'prepare':
        if (this.prepared === order.map) return 'accepted';
        if (order.map <= this.highestPrepared || this.armed) return 'refused';
        this.highestPrepared = this.prepared = order.map;
        this.preparedExperts = order.experts;
        this.preparedAt = now + (this.isInUse(order.experts) ? 0 : this.copyMs);
        return 'accepted';
      case 'arm':
        if (this.armed?.map === order.map) return 'accepted';
        if (this.prepared !== order.map || now < this.preparedAt) {
          return 'refused';
        }
        if (step >= order.step) return 'refused';
        this.armed = {map: order.map, step: order.step};
        return 'accepted';
      case 'disarm':
        if (this.prepared !== order.map) return 'refused';
        if (this.armed?.map === order.map) this.armed = null;
        return 'accepted';
      case 'hold':
        if (step >= order.step) return 'refused';
        this.heldAt = order.step;
        return 'accepted';
      case 'release':
        if (this.heldAt === order.step) this.heldAt = null;
        return 'accepted';
    }
  }

  /**
   * Starts a forward pass and switches to the map armed for it, if any.
   * @param step - number of the pass
   */
  beginStep(step: number): void {
    if (this.armed?.step !== step) return;
    this.map = this.armed.map;
    this.armed = this.prepared = null;
    this.experts = this.preparedExperts;
  }

  /** Returns whether no rank has to copy weights for a map. */
  private isInUse(experts: ExpertLists): boolean {
    return JSON.stringify(experts) === JSON.stringify(this.experts);
  }

  /** Resets the engine to the first map when its group forms again. */
  reset(): void {
    this.map = 0;
    this.experts = this.initialExperts;
    this.prepared = this.armed = this.heldAt = null;
  }
}
