import type {CutoverOrder, OrderOutcome} from '../src/expert_groups/index.js';

/** One rank's engine: obeys orders as it gets them, however late. */
export class LockstepEngine {
  map = 0;
  highestPrepared = 0;
  prepared: number | null = null;
  preparedAt = 0;
  armed: {readonly map: number; readonly step: number} | null = null;
  heldAt: number | null = null;
  /** Experts by set and rank on the map in use; nothing on the first one. */
  experts: readonly (readonly (readonly number[])[])[] | undefined;
  private preparedExperts: typeof this.experts;
  private lastToken = 0;

  /**
   * @param copyMs - how long the weights of a map take, ms
   * @param checksTokens - whether it refuses orders with older tokens
   */
  constructor(
    private readonly copyMs: number,
    private readonly checksTokens = true,
  ) {}

  /**
   * Carries an order out.
   * @param now - present time, ms
   * @param step - the last pass that was begun
   * @param order - the order
   * @param token - its fencing token
   */
  applyOrder(
    now: number,
    step: number,
    order: CutoverOrder,
    token: number,
  ): OrderOutcome {
    if (this.checksTokens && token < this.lastToken) return 'fenced';
    // The worst that an engine may do: a release without a hold fences none.
    if (order.kind !== 'release' || this.heldAt === order.step) {
      this.lastToken = token;
    }
    switch (order.kind) {
      case 'prepare':
        if (this.prepared === order.map) return 'accepted';
        if (order.map <= this.highestPrepared || this.armed) return 'refused';
        this.highestPrepared = this.prepared = order.map;
        this.preparedExperts = order.experts;
        this.preparedAt = now + this.copyMs;
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
   * The group begins a pass.
   * @param step - which one
   */
  beginStep(step: number): void {
    if (this.armed?.step !== step) return;
    this.map = this.armed.map;
    this.armed = this.prepared = null;
    this.experts = this.preparedExperts;
  }

  /** The group forms anew. */
  reset(): void {
    this.map = 0;
    this.experts = undefined;
    this.prepared = this.armed = this.heldAt = null;
  }
}
