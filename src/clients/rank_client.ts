import type {ResultAsync} from 'neverthrow';

import type {Millis} from '../core/index.js';
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

/** Outcome of an order, and what the rank reports after it. */
export interface OrderEffect {
  readonly outcome: OrderOutcome;
  /** Undefined if the rank did not report. */
  readonly report: RankReport | undefined;
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

  /**
   * Sends an order and reads the report that shows its effect. An outcome that
   * may belong to an earlier call is `unanswered`.
   * @param order - the order
   * @param token - fencing token of the sender
   * @param epoch - epoch of the group that the order is meant for
   * @param lag - time until reports show the effect
   */
  abstract sendOrderAndReport(
    order: CutoverOrder,
    token: number,
    epoch: number,
    lag: Millis,
  ): Promise<OrderEffect>;
}
