import type {ResultAsync} from 'neverthrow';

import type {
  CutoverOrder,
  OrderOutcome,
  RankPlacement,
  RankReport,
} from '../expert_groups/index.js';
import type {Fault} from '../errors/index.js';

/** Expert selections that a rank has counted since its engine started. */
export interface ExpertSelections {
  readonly epoch: number;
  /** Counts by expert, layer set after layer set. */
  readonly counts: readonly number[];
}

/** Client of the engine of one rank of a lock-step group. */
export abstract class RankClient {
  /** Reads the engine's report; undefined if it is in no group. */
  abstract report(): ResultAsync<RankReport | undefined, Fault>;

  /** Reads the expert selections of this rank's requests. */
  abstract expertSelections(): ResultAsync<ExpertSelections, Fault>;

  /** Reads which experts the rank holds on the expert map in use. */
  abstract placement(): ResultAsync<RankPlacement, Fault>;

  /**
   * Sends an order.
   * @param order - the order
   * @param token - fencing token of the sender
   * @param epoch - epoch of the group that the order is meant for
   */
  abstract sendOrder(
    order: CutoverOrder,
    token: number,
    epoch: number,
  ): Promise<OrderOutcome>;
}
