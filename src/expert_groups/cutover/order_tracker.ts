import type {Millis} from '../../core/index.js';
import type {Rank} from '../types.js';
import {
  LOSSY_HOLD_LEAD_TIME,
  HOLD_LEAD_TIME,
  MAX_HOLD_MARGIN,
  DEFAULT_PASS_TIME,
} from './timing.js';
import type {CutoverOrder, IssuedOrder} from './types.js';

/**
 * An order that was not answered is given again after this time: engines
 * answer within some milliseconds, and the group may be waiting.
 */
const RETRY_INTERVAL: Millis = 60;
/**
 * The same for an order that carries a map, for each rank that it goes to: the
 * maps of many ranks, sent again too soon, fill the link of one VM.
 */
const MAP_RETRY_INTERVAL_PER_RANK: Millis = 5;

/** Weight of one order in the share of orders that go unanswered. */
const LOSS_EWMA_WEIGHT = 0.15;
/** From this share on the next pass cannot be reached in time... */
const LOSSY_ENTER_RATE = 0.12;
/** ...until the share has fallen to this. */
const LOSSY_EXIT_RATE = 0.02;

/** Orders of one phase: which were given when, and which were answered. */
export class OrderTracker {
  private readonly sentAt = new Map<Rank, Millis>();
  private readonly answeredRanks = new Set<Rank>();
  private lossRate = 0;
  private isLossy = false;

  /** A new phase begins: nothing is given or answered. */
  clear(): void {
    this.sentAt.clear();
    this.answeredRanks.clear();
  }

  /**
   * A rank has answered its order.
   * @param rank - the rank
   * @param canResend - whether the next order need not wait
   */
  recordAnswer(rank: Rank, canResend: boolean): void {
    this.lossRate -= LOSS_EWMA_WEIGHT * this.lossRate;
    if (this.lossRate <= LOSSY_EXIT_RATE) this.isLossy = false;
    this.answeredRanks.add(rank);
    if (canResend) this.sentAt.delete(rank);
  }

  /** A rank did not answer: it may carry its order out now, later or never. */
  recordTimeout(): void {
    this.lossRate += LOSS_EWMA_WEIGHT * (1 - this.lossRate);
    if (this.lossRate >= LOSSY_ENTER_RATE) this.isLossy = true;
  }

  /**
   * Passes between the latest one and one to hold. Load that it answers: a
   * part of the orders is lost, and each has to be given several times while
   * the group would stand still. One order that was late does not count as
   * such a time: a pass far ahead keeps the old map longer.
   * @param passTime - how long a pass takes, if known
   */
  holdMargin(passTime: Millis | undefined): number {
    const time = this.isLossy ? LOSSY_HOLD_LEAD_TIME : HOLD_LEAD_TIME;
    const passes = Math.ceil(time / (passTime ?? DEFAULT_PASS_TIME));
    return Math.min(MAX_HOLD_MARGIN, passes);
  }

  /**
   * The order of a rank has changed.
   * @param rank - the rank
   */
  reset(rank: Rank): void {
    this.answeredRanks.delete(rank);
    this.sentAt.delete(rank);
  }

  /**
   * Whether a rank has answered in this phase.
   * @param rank - the rank
   */
  hasAnswered(rank: Rank): boolean {
    return this.answeredRanks.has(rank);
  }

  /**
   * Orders for those ranks that have not been given one just now.
   * @param now - present time
   * @param ranks - the ranks
   * @param createOrder - makes the order of a rank
   */
  issue(
    now: Millis,
    ranks: readonly Rank[],
    createOrder: (rank: Rank) => IssuedOrder,
  ): IssuedOrder[] {
    const due: IssuedOrder[] = [];
    for (const rank of ranks) {
      const sentAt = this.sentAt.get(rank) ?? -Infinity;
      if (now - sentAt < RETRY_INTERVAL) continue;
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

/** Makes the order of a rank. */
export type OrderFactory = (rank: Rank) => CutoverOrder;
