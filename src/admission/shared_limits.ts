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

/** How long rates are lent, from when the request was sent. */
export const RATE_LOAN_DURATION: Millis = 5 * SECOND;
/** How long places of the concurrency are lent. */
export const SLOT_LOAN_DURATION: Millis = 60 * SECOND;
/** A borrower asks again this often. */
const BORROW_INTERVAL: Millis = 500;
/** Peers that are asked at a time. */
const BORROW_FANOUT = 2;
/** A share of use from which more is borrowed. */
const HIGH_WATERMARK = 0.7;
/** Share of its idle part that a lender gives at a time. */
const LEND_FRACTION = 0.5;
/** Share of its base share that a lender always keeps. */
const RESERVED_FRACTION = 0.25;
/** Weight of the last second in the demand. */
const DEMAND_SMOOTHING = 0.3;
/** Requests that may be made at once after a pause, as a span of the rate. */
const BURST_DURATION: Millis = SECOND;
const MAX_RETRY_AFTER: Millis = 30 * SECOND;
/** Requests a second below which an organisation is idle at an entry. */
const MIN_DEMAND = 0.01;
/** Share of its places that may hang at one service. */
const MAX_STUCK_FRACTION = 0.5;
const KINDS: readonly Kind[] = ['requests', 'tokens', 'concurrency'];

type Limits = Organisation['limits'];
type Kind = keyof Amounts;

interface Loan {
  readonly amounts: Amounts;
  /** When the rates, and when the places, go back. */
  readonly ratesExpireAt: Millis;
  readonly slotsExpireAt: Millis;
}

interface Account {
  limits: Limits;
  /** Levels of the two buckets. */
  requestLevel: number;
  tokenLevel: number;
  filledAt: Millis;
  inFlight: number;
  /** What was asked for in the present second, refused or not. */
  requested: {requests: number; tokens: number};
  demand: {requests: number; tokens: number};
  demandMeasuredAt: Millis;
  lastBorrowAt: Millis;
  lent: Loan[];
  borrowed: Loan[];
}

/**
 * The limits of the organisations at one entry. Each entry has an equal base
 * share of each limit and may lend what it leaves idle to another entry for a
 * while: the lender goes without it until the loan is over by its own clock,
 * which is never before it is over for the borrower. So the shares of all
 * entries never sum to more than the limit, however they are cut apart, and an
 * entry that is cut off falls back to its base share.
 */
export class SharedLimits {
  private readonly accounts = new Map<OrganisationName, Account>();
  private entrySet: EntrySet = {count: 1, index: 0};
  /** Since when fewer entries are listed than are counted with. */
  private shrunkSince: Millis | undefined;

  /**
   * Takes note of how many entries there are. Fewer count only once every
   * loan of those that are gone is over.
   * @param now - present time
   * @param entrySet - the entries
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
   * An organisation makes a request.
   * @param now - present time
   * @param name - the organisation
   * @param limits - its limits
   * @param ask - what it needs
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
   * An admitted request ended.
   * @param name - its organisation
   */
  release(name: OrganisationName): void {
    const account = this.accounts.get(name);
    if (account) account.inFlight -= 1;
  }

  /**
   * Asks other entries for what is short here; to be called a few times a
   * second.
   * @param now - present time
   * @param peers - entries within reach, in an order drawn anew each time
   */
  borrow(now: Millis, peers: readonly Incarnation[]): OutgoingLoanMessage[] {
    const wishes: LoanRequest['wishes'] = [];
    for (const [organisation, account] of this.accounts) {
      this.refill(now, account);
      const amounts = this.shortfall(now, account);
      if (amounts === undefined || now - account.lastBorrowAt < BORROW_INTERVAL)
        continue;
      account.lastBorrowAt = now;
      wishes.push({organisation, ...amounts});
    }
    if (wishes.length === 0) return [];
    const message = {type: 'borrow', sentAt: now, wishes} as const;
    return peers.slice(0, BORROW_FANOUT).map(to => ({to, message}));
  }

  /**
   * Another entry asks for a loan.
   * @param now - present time
   * @param from - the entry
   * @param request - what it asks for
   * @param limitsOf - limits of an organisation, if it is known
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
   * A loan came. It lasts from when it was asked for, which is before it was
   * given.
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
   * What this entry may let through of an organisation's limits now.
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
    const lent = account.lent.filter(l => l.ratesExpireAt > now);
    const borrowed = account.borrowed.filter(l => l.ratesExpireAt > now);
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
   * Places for a call that is over by `deadlineAt`: a borrowed place is one
   * only for calls that end before it goes back.
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

  /** The base share; whole places of the concurrency go round by turn. */
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
    const lent = account.lent.filter(l => l.ratesExpireAt > now);
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

  /** When the share next changes, so that each span gets its own rate. */
  private nextExpiry(now: Millis, {filledAt, lent, borrowed}: Account): Millis {
    const expiries = [...lent, ...borrowed].map(l => l.ratesExpireAt);
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
      lastBorrowAt: -Infinity,
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
