import {z} from 'zod';

import {organisationName} from '../core/index.js';

const MAX_ORGANISATIONS = 64;
const amount = z.number().nonnegative();

const amounts = {
  /** Requests per second. */
  requests: amount,
  /** Tokens per second. */
  tokens: amount,
  /** Concurrent calls. */
  concurrency: z.int().nonnegative(),
};

/** Amounts of the three limits of an organisation. */
export interface Amounts {
  readonly requests: number;
  readonly tokens: number;
  readonly concurrency: number;
}

const organisationAmounts = z
  .array(
    z.strictObject({
      organisation: z.string().transform(organisationName),
      ...amounts,
    }),
  )
  .max(MAX_ORGANISATIONS);

/** An entry requests a loan of quota from another entry. */
const borrow = z.strictObject({
  type: z.literal('borrow'),
  /** Send time by the borrower's clock, ms. */
  sentAt: z.number(),
  wishes: organisationAmounts,
});

/** An entry lends parts of its shares for a limited time. */
const lend = z.strictObject({
  type: z.literal('lend'),
  /** `sentAt` of the answered request. */
  sentAt: z.number(),
  loans: organisationAmounts,
});

/** Messages between entries about shared limits. */
export const admissionMessages = [borrow, lend] as const;
export type LoanRequest = z.output<typeof borrow>;
export type LoanMessage = LoanRequest | z.output<typeof lend>;
