import type {Incarnation, Millis} from '../core/index.js';
import type {LoanMessage, Amounts} from './messages.js';

/** Whether an organisation may make one more request. */
export type LimitVerdict =
  | {readonly allowed: true}
  | {
      readonly allowed: false;
      readonly limit: keyof Amounts;
      readonly retryAfterMs: Millis;
    };

/** What a request needs of its organisation's limits. */
export interface LimitRequest {
  /** Tokens that it may take. */
  readonly cost: number;
  /** When it is over at the latest. */
  readonly deadlineAt: Millis;
  /** Calls of the organisation that hang at the same service; 0 if absent. */
  readonly stuck?: number;
}

/** A message to another entry. */
export interface OutgoingLoanMessage {
  readonly to: Incarnation;
  readonly message: LoanMessage;
}

/** How the entries stand to each other: who has which base share. */
export interface EntrySet {
  /** Entries that the platform lists, this one included. */
  readonly count: number;
  /** Place of this one among them, from 0. */
  readonly index: number;
}
