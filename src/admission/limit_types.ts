import type {Incarnation, Millis} from '../core/index.js';
import type {LoanMessage, Amounts} from './messages.js';

/** Result of checking a request against its organisation's limits. */
export type LimitVerdict =
  | {readonly allowed: true}
  | {
      readonly allowed: false;
      readonly limit: keyof Amounts;
      readonly retryAfterMs: Millis;
    };

/** Demand of one request on its organisation's limits. */
export interface LimitRequest {
  /** Tokens that it may use. */
  readonly cost: number;
  /** Deadline by which it ends. */
  readonly deadlineAt: Millis;
  /** Stuck calls of the organisation to the same service; 0 if absent. */
  readonly stuck?: number;
}

/** A loan message to another entry. */
export interface OutgoingLoanMessage {
  readonly to: Incarnation;
  readonly message: LoanMessage;
}

/** The entries among which the limits are divided into base shares. */
export interface EntrySet {
  /** Number of entries that the platform lists, this one included. */
  readonly count: number;
  /** Index of this entry among them, from 0. */
  readonly index: number;
}
