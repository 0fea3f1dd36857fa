import type {Organisation} from '../configuration/index.js';
import type {Incarnation, Millis, OrganisationName} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {
  EntrySet,
  LimitRequest,
  LimitVerdict,
  OutgoingLoanMessage,
} from './limit_types.js';
import type {LoanMessage, LoanRequest, Amounts} from './messages.js';

/** Duration of a loan of rates; for the borrower, from sending its request. */
export const RATE_LOAN_DURATION: Millis = 5 * SECOND;
/** Duration of a loan of concurrency slots, counted in the same way. */
export const SLOT_LOAN_DURATION: Millis = 60 * SECOND;
/** Least time between two requests of a borrower for one organisation. */
const BORROW_PERIOD: Millis = 500;
/** Peers that each loan request is sent to. */
const BORROW_FANOUT = 2;
/** Utilisation of the share above which an entry borrows. */
const HIGH_WATERMARK = 0.7;
/** Fraction of its idle quota that a lender lends per request. */
const LEND_FRACTION = 0.5;
/** Fraction of its base share that a lender never lends. */
const RESERVED_FRACTION = 0.25;
/** EWMA weight of the last second in the measured demand. */
const DEMAND_SMOOTHING = 0.3;
/** Token bucket capacity: the burst after a pause, as a span of the rate. */
const BURST_DURATION: Millis = SECOND;
const MAX_RETRY_AFTER: Millis = 30 * SECOND;
/** Requests per second below which an organisation is idle at an entry. */
const MIN_DEMAND = 0.01;
/** Fraction of its slots that stuck calls to one service may occupy. */
const MAX_STUCK_FRACTION = 0.5;
const KINDS: readonly Kind[] = ['requests', 'tokens', 'concurrency'];

type Limits = Organisation['limits'];
type Kind = keyof Amounts;

interface Loan {
  readonly amounts: Amounts;
  /** When the rates and the concurrency slots return to the lender. */
  readonly ratesExpireAt: Millis;
  readonly slotsExpireAt: Millis;
}

interface Account {
  limits: Limits;
  /** Fill levels of the two token buckets. */
  requestLevel: number;
  tokenLevel: number;
  filledAt: Millis;
  inFlight: number;
  /** Demand since `demandMeasuredAt`, rejected requests included. */
  requested: {requests: number; tokens: number};
  demand: {requests: number; tokens: number};
  demandMeasuredAt: Millis;
  /** When the last loan request was sent. */
  sentAt: Millis;
  lent: Loan[];
  borrowed: Loan[];
}

/**
 * Distributed rate and concurrency limiter of the organisations at one entry.
 * Each entry has an equal base share of each limit and lends idle quota to
 * other entries for a limited time. A loan expires at the borrower no later
 * than at the lender, each by its own clock. So the shares of all entries never
 * sum to more than the limit under any network partition, and a disconnected
 * entry falls back to its base share.
 */
export class SharedLimits {
  private readonly accounts = new Map<OrganisationName, Account>();
  private entrySet: EntrySet = {count: 1, index: 0};
  /** Since when fewer entries are listed than `entrySet` counts. */
  private shrunkSince: Millis | undefined;

  /**
   * Sets the number of entries. A decrease takes effect only once every loan
   * of the removed entries has expired.
   * @param now - present time
   * @param entrySet - the listed entries
   */
  setEntries(now: Millis, entrySet: EntrySet): void {
    if (entrySet.count >= this.entrySet.count) {
      this.shrunkSince = undefined;
      this.entrySet = entrySet;
      return;
    }
    this.shrunkSince ??= now;
    if (now - this.shrunkSince < SLOT_LOAN_DURATION) return;
    this.shrunkSince = undefined;
    this.entrySet = entrySet;
  }

  /**
   * Admits or rejects a request of an organisation.
   * @param now - present time
   * @param name - the organisation
   * @param limits - its limits
   * @param request - what the request needs of them
   */
  admit(
    now: Millis,
    name: OrganisationName,
    limits: Limits,
    {cost, deadlineAt, stuck = 0}: LimitRequest,
  ): LimitVerdict {
    const account = this.getOrCreateAccount(now, name, limits);
    this.refill(now, account);
    account.requested.requests += 1;
    account.requested.tokens += cost;
    const share = this.share(now, account);
    const slots = this.slots(now, account, deadlineAt);
    const isStuck = stuck > 0 && stuck >= MAX_STUCK_FRACTION * slots;
    if (account.inFlight >= slots || isStuck) {
      return {allowed: false, limit: 'concurrency', retryAfterMs: SECOND};
    }
    if (account.requestLevel < 1) {
      return overLimit('requests', 1 - account.requestLevel, share.requests);
    }
    if (account.tokenLevel <= 0) {
      return overLimit('tokens', 1 - account.tokenLevel, share.tokens);
    }
    account.requestLevel -= 1;
    account.tokenLevel -= cost;
    account.inFlight += 1;
    return {allowed: true};
  }

  /**
   * Releases the concurrency slot of an admitted request.
   * @param name - its organisation
   */
  release(name: OrganisationName): void {
    const account = this.accounts.get(name);
    if (account) account.inFlight -= 1;
  }

  /**
   * Returns loan requests for the quota that this entry lacks. To be called a
   * few times a second.
   * @param now - present time
   * @param peers - linked entries, shuffled for each call
   */
  borrow(now: Millis, peers: readonly Incarnation[]): OutgoingLoanMessage[] {
    const wishes: LoanRequest['wishes'] = [];
    for (const [organisation, account] of this.accounts) {
      this.refill(now, account);
      const need = this.shortfall(now, account);
      if (need === undefined || now - account.sentAt < BORROW_PERIOD) continue;
      account.sentAt = now;
      wishes.push({organisation, ...need});
    }
    if (wishes.length === 0) return [];
    const message = {type: 'borrow', sentAt: now, wishes} as const;
    return peers.slice(0, BORROW_FANOUT).map(to => ({to, message}));
  }

  /**
   * Answers a loan request with a part of this entry's idle quota.
   * @param now - present time
   * @param from - the borrowing entry
   * @param request - its request
   * @param limitsOf - returns the limits of an organisation, if it is known
   */
  lend(
    now: Millis,
    from: Incarnation,
    request: LoanRequest,
    limitsOf: (name: OrganisationName) => Limits | undefined,
  ): OutgoingLoanMessage[] {
    const loans = [];
    for (const {organisation, ...wish} of request.wishes) {
      const limits = limitsOf(organisation);
      if (limits === undefined) continue;
      const account = this.getOrCreateAccount(now, organisation, limits);
      this.refill(now, account);
      const amounts = this.lendable(now, account, wish);
      if (KINDS.every(kind => amounts[kind] === 0)) continue;
      account.lent.push(createLoan(now, amounts));
      this.clampBuckets(now, account);
      loans.push({organisation, ...amounts});
    }
    if (loans.length === 0) return [];
    const {sentAt} = request;
    return [{to: from, message: {type: 'lend', sentAt, loans}}];
  }

  /**
   * Adds a loan to the share. Its duration counts from when the request was
   * sent, so it expires no later than at the lender.
   * @param now - present time
   * @param message - the loan
   */
  acceptLoan(now: Millis, {sentAt, loans}: LoanMessage & {type: 'lend'}): void {
    if (sentAt > now) return;
    for (const {organisation, ...amounts} of loans) {
      const account = this.accounts.get(organisation);
      if (account === undefined) continue;
      this.refill(now, account);
      account.borrowed.push(createLoan(sentAt, amounts));
    }
  }

  /**
   * Returns the part of an organisation's limits that this entry may use now.
   * @param now - present time
   * @param name - the organisation
   */
  currentShare(now: Millis, name: OrganisationName): Amounts | undefined {
    const account = this.accounts.get(name);
    if (account === undefined) return undefined;
    this.refill(now, account);
    return this.share(now, account);
  }

  private share(now: Millis, account: Account): Amounts {
    account.lent = account.lent.filter(l => l.slotsExpireAt > now);
    account.borrowed = account.borrowed.filter(l => l.slotsExpireAt > now);
    const lent = account.lent.filter(({ratesExpireAt}) => ratesExpireAt > now);
    const borrowed = account.borrowed.filter(
      ({ratesExpireAt}) => ratesExpireAt > now,
    );
    const base = this.baseShare(account.limits);
    const rateOf = (kind: 'requests' | 'tokens') =>
      Math.max(0, base[kind] + sum(borrowed, kind) - sum(lent, kind));
    return {
      requests: rateOf('requests'),
      tokens: rateOf('tokens'),
      concurrency: this.slots(now, account, now),
    };
  }

  /**
   * Returns the slots for a call that ends by `deadlineAt`. A borrowed slot is
   * usable only for calls that end before the loan expires.
   */
  private slots(now: Millis, account: Account, deadlineAt: Millis): number {
    const lent = account.lent.filter(l => l.slotsExpireAt > now);
    const borrowed = account.borrowed.filter(
      l => l.slotsExpireAt > now && l.slotsExpireAt >= deadlineAt,
    );
    const own = this.baseShare(account.limits).concurrency;
    const slots = own + sum(borrowed, 'concurrency');
    return Math.max(0, slots - sum(lent, 'concurrency'));
  }

  /** Returns the base share; the first entries get the remaining slots. */
  private baseShare(limits: Limits): Amounts {
    const {count, index} = this.entrySet;
    const whole = Math.floor(limits.concurrency / count);
    const remainder = limits.concurrency % count;
    return {
      requests: limits.requestsPerSecond / count,
      tokens: limits.tokensPerSecond / count,
      concurrency: whole + (index < remainder ? 1 : 0),
    };
  }

  private shortfall(now: Millis, account: Account): Amounts | undefined {
    const share = this.share(now, account);
    const {demand, inFlight} = account;
    const shortfall = {
      requests: Math.max(0, demand.requests - HIGH_WATERMARK * share.requests),
      tokens: Math.max(0, demand.tokens - HIGH_WATERMARK * share.tokens),
      concurrency: Math.max(
        0,
        Math.ceil(inFlight + 1 - HIGH_WATERMARK * share.concurrency),
      ),
    };
    const idle = account.demand.requests < MIN_DEMAND && inFlight === 0;
    if (idle || KINDS.every(kind => shortfall[kind] === 0)) return undefined;
    return shortfall;
  }

  private lendable(now: Millis, account: Account, wanted: Amounts): Amounts {
    const share = this.share(now, account);
    const {demand, inFlight} = account;
    const base = this.baseShare(account.limits);
    const lent = account.lent.filter(({ratesExpireAt}) => ratesExpireAt > now);
    const lendableRate = (kind: 'requests' | 'tokens') => {
      const own = (1 - RESERVED_FRACTION) * base[kind] - sum(lent, kind);
      const free = share[kind] - demand[kind] / HIGH_WATERMARK;
      return Math.max(0, Math.min(wanted[kind], own, free * LEND_FRACTION));
    };
    const reserved = Math.ceil(RESERVED_FRACTION * base.concurrency);
    const own = base.concurrency - sum(account.lent, 'concurrency');
    const free = Math.min(own - reserved, own - inFlight);
    const slots = Math.min(wanted.concurrency, Math.ceil(free * LEND_FRACTION));
    return {
      requests: lendableRate('requests'),
      tokens: lendableRate('tokens'),
      concurrency: Math.max(0, slots),
    };
  }

  private refill(now: Millis, account: Account): void {
    this.updateDemand(now, account);
    while (account.filledAt < now) {
      const next = this.nextExpiry(now, account);
      const share = this.share(account.filledAt, account);
      const seconds = (next - account.filledAt) / SECOND;
      account.requestLevel += seconds * share.requests;
      account.tokenLevel += seconds * share.tokens;
      account.filledAt = next;
      this.clampBuckets(next, account);
    }
  }

  /** Returns when the rates next change, so that each span has one rate. */
  private nextExpiry(now: Millis, {filledAt, lent, borrowed}: Account): Millis {
    const expiries = [...lent, ...borrowed].map(
      ({ratesExpireAt}) => ratesExpireAt,
    );
    return Math.min(now, ...expiries.filter(expiry => expiry > filledAt));
  }

  private clampBuckets(now: Millis, account: Account): void {
    const share = this.share(now, account);
    const burst = BURST_DURATION / SECOND;
    const maxRequests = Math.max(1, share.requests * burst);
    account.requestLevel = Math.min(account.requestLevel, maxRequests);
    account.tokenLevel = Math.min(
      account.tokenLevel,
      Math.max(1, share.tokens * burst),
    );
  }

  private updateDemand(now: Millis, account: Account): void {
    const span = now - account.demandMeasuredAt;
    if (span < SECOND) return;
    const {requested, demand} = account;
    const weight = 1 - (1 - DEMAND_SMOOTHING) ** (span / SECOND);
    const rate = (count: number) => (count * SECOND) / span;
    demand.requests += weight * (rate(requested.requests) - demand.requests);
    demand.tokens += weight * (rate(requested.tokens) - demand.tokens);
    account.requested = {requests: 0, tokens: 0};
    account.demandMeasuredAt = now;
  }

  private getOrCreateAccount(
    now: Millis,
    name: OrganisationName,
    limits: Limits,
  ): Account {
    const known = this.accounts.get(name);
    if (known !== undefined) {
      known.limits = limits;
      return known;
    }
    const base = this.baseShare(limits);
    const account: Account = {
      limits,
      requestLevel: Math.max(1, base.requests),
      tokenLevel: Math.max(1, base.tokens),
      filledAt: now,
      inFlight: 0,
      requested: {requests: 0, tokens: 0},
      demand: {requests: 0, tokens: 0},
      demandMeasuredAt: now,
      sentAt: -Infinity,
      lent: [],
      borrowed: [],
    };
    this.accounts.set(name, account);
    return account;
  }
}

function sum(loans: readonly Loan[], kind: Kind): number {
  return loans.reduce((total, {amounts}) => total + amounts[kind], 0);
}

function createLoan(from: Millis, amounts: Amounts): Loan {
  const ratesExpireAt = from + RATE_LOAN_DURATION;
  return {amounts, ratesExpireAt, slotsExpireAt: from + SLOT_LOAN_DURATION};
}

function overLimit(limit: Kind, missing: number, rate: number): LimitVerdict {
  const retryAfter = rate > 0 ? Math.ceil((missing / rate) * SECOND) : SECOND;
  return {
    allowed: false,
    limit,
    retryAfterMs: Math.min(retryAfter, MAX_RETRY_AFTER),
  };
}
