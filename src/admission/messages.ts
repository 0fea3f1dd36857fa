import {z} from 'zod';

import {organisationName} from '../core/index.js';

const MAX_ORGANISATIONS = 64;
const amount = z.number().nonnegative();

const amounts = {
  /** Requests a second. */
  requests: amount,
  /** Tokens a second. */
  tokens: amount,
  /** Calls at a time. */
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

/** An entry asks another one for parts of its shares. */
const borrow = z.strictObject({
  type: z.literal('borrow'),
  /** When it was sent, by the borrower's clock, ms. */
  sentAt: z.number(),
  wishes: organisationAmounts,
});

/** An entry goes without parts of its shares for a while. */
const lend = z.strictObject({
  type: z.literal('lend'),
  /** That of the request which this answers. */
  sentAt: z.number(),
  loans: organisationAmounts,
});

/** Messages about limits between entries. */
export const admissionMessages = [borrow, lend] as const;
export type LoanRequest = z.output<typeof borrow>;
export type LoanMessage = LoanRequest | z.output<typeof lend>;
