import type {Millis} from '../../core/index.js';
import type {Rank} from '../types.js';
import {
  HOLD_LEAD_TIME,
  HOLD_LEAD_TIME_PER_LOSS,
  MAX_HOLD_LEAD_TIME,
  MAX_HOLD_MARGIN,
  ORDER_RETRY_INTERVAL,
  DEFAULT_PASS_TIME,
} from './timing.js';
import type {CutoverOrder, IssuedOrder} from './types.js';

/**
 * Retry interval of an order that carries a map, per receiving rank: maps
 * resent to many ranks too soon fill the link of one VM.
 */
const MAP_RETRY_INTERVAL_PER_RANK: Millis = 5;

/** EWMA weight of one order in the share of unanswered orders. */
const LOSS_EWMA_WEIGHT = 0.05;
/** A single late order does not lengthen the lead time of holds. */
const NEGLIGIBLE_LOSS_RATE = 0.03;

/** Tracks when the orders of a phase were issued, and which were answered. */
export class OrderTracker {
  private readonly sentAt = new Map<Rank, Millis>();
  private readonly answeredRanks = new Set<Rank>();
  private lossRate = 0;

  /** Clears issued and answered orders as a new phase begins. */
  clear(): void {
    this.sentAt.clear();
    this.answeredRanks.clear();
  }

  /**
   * Records that a rank has answered its order.
   * @param rank - the rank
   * @param canResend - whether the next order skips the retry interval
   */
  recordAnswer(rank: Rank, canResend: boolean): void {
    this.lossRate -= LOSS_EWMA_WEIGHT * this.lossRate;
    this.answeredRanks.add(rank);
    if (canResend) this.sentAt.delete(rank);
  }

  /** Records an unanswered order, which may be executed now, later or never. */
  recordTimeout(): void {
    this.lossRate += LOSS_EWMA_WEIGHT * (1 - this.lossRate);
  }

  /**
   * Returns how many passes after the latest one to hold. While orders are
   * lost, each has to be sent several times, and the group would stall until
   * then. A single late order does not raise the margin, because a hold far
   * ahead keeps the old map in use for longer.
   * @param passTime - duration of a pass, if known
   */
  holdMargin(passTime: Millis | undefined): number {
    const loss = Math.max(0, this.lossRate - NEGLIGIBLE_LOSS_RATE);
    const time = Math.min(
      MAX_HOLD_LEAD_TIME,
      HOLD_LEAD_TIME + loss * HOLD_LEAD_TIME_PER_LOSS,
    );
    const passes = Math.ceil(time / (passTime ?? DEFAULT_PASS_TIME));
    return Math.min(MAX_HOLD_MARGIN, passes);
  }

  /**
   * Removes the state of a rank whose order has changed or was not sent.
   * @param rank - the rank
   */
  reset(rank: Rank): void {
    this.answeredRanks.delete(rank);
    this.sentAt.delete(rank);
  }

  /**
   * Returns whether a rank has answered in this phase.
   * @param rank - the rank
   */
  hasAnswered(rank: Rank): boolean {
    return this.answeredRanks.has(rank);
  }

  /**
   * Returns orders for the ranks whose retry interval has passed, and records
   * them as issued.
   * @param now - current time
   * @param ranks - ranks to send orders to
   * @param createOrder - creates the order of a rank
   */
  issue(
    now: Millis,
    ranks: readonly Rank[],
    createOrder: (rank: Rank) => IssuedOrder,
  ): IssuedOrder[] {
    const due: IssuedOrder[] = [];
    for (const rank of ranks) {
      const sentAt = this.sentAt.get(rank) ?? -Infinity;
      if (now - sentAt < ORDER_RETRY_INTERVAL) continue;
      const given = createOrder(rank);
      const isMap = given.order.kind === 'prepare';
      if (isMap && now - sentAt < ranks.length * MAP_RETRY_INTERVAL_PER_RANK)
        continue;
      this.sentAt.set(rank, now);
      due.push(given);
    }
    return due;
  }
}

/** Creates the order of a rank. */
export type OrderFactory = (rank: Rank) => CutoverOrder;
