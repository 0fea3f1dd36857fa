import type {ResultAsync} from 'neverthrow';

import type {
  CutoverOrder,
  OrderOutcome,
  RankPlacement,
  RankReport,
} from '../expert_groups/index.js';
import type {Fault} from '../errors/index.js';

/** Choices of experts that a rank has counted since its engine started. */
export interface ExpertSelections {
  readonly epoch: number;
  /** By set and expert, set by set. */
  readonly counts: readonly number[];
}

/** The engine of one rank of a lock-step group. */
export abstract class RankClient {
  /** What the engine says of itself; nothing when it is in no group. */
  abstract report(): ResultAsync<RankReport | undefined, Fault>;

  /** Choices of experts by this rank's requests. */
  abstract expertSelections(): ResultAsync<ExpertSelections, Fault>;

  /** Experts that the rank holds on the map in use. */
  abstract placement(): ResultAsync<RankPlacement, Fault>;

  /**
   * Gives an order.
   * @param order - the order
   * @param token - fencing token of its giver
   * @param epoch - forming of the group that it is meant for
   */
  abstract sendOrder(
    order: CutoverOrder,
    token: number,
    epoch: number,
  ): Promise<OrderOutcome>;
}
