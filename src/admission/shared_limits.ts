import type {Organisation} from '../configuration/index.js';
import type {Incarnation, Millis, OrganisationName} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {LoanMessage, LoanRequest, Quantities} from './messages.js';

/** How long rates are lent, from when the request was sent. */
export const RATE_LOAN: Millis = 5 * SECOND;
/** How long places of the concurrency are lent. */
export const PLACE_LOAN: Millis = 60 * SECOND;
/** A borrower asks again this often. */
const ASK_EVERY: Millis = 500;
/** Peers that are asked at a time. */
const PEERS_ASKED = 2;
/** A share of use from which more is borrowed. */
const BORROW_ABOVE = 0.7;
/** Share of its idle part that a lender gives at a time. */
const LENT_AT_ONCE = 0.5;
/** Share of its base share that a lender always keeps. */
const KEPT = 0.25;
/** Weight of the last second in the demand. */
const DEMAND_SMOOTHING = 0.3;
/** Requests that may be made at once after a pause, as a span of the rate. */
const BURST: Millis = SECOND;
const MAX_RETRY: Millis = 30 * SECOND;
/** Requests a second below which an organisation is idle at an entry. */
const IDLE_DEMAND = 0.01;
const KINDS = ['requests', 'tokens', 'concurrency'] as const;

type Limits = Organisation['limits'];
type Kind = (typeof KINDS)[number];

interface Loan {
  readonly amounts: Quantities;
  /** When the rates, and when the places, go back. */
  readonly until: Millis;
  readonly placesUntil: Millis;
}

interface Account {
  limits: Limits;
  /** Levels of the two buckets. */
  requests: number;
  tokens: number;
  filledAt: Millis;
  inFlight: number;
  /** What was asked for in the present second, refused or not. */
  asked: {requests: number; tokens: number};
  demand: {requests: number; tokens: number};
  measuredAt: Millis;
  askedAt: Millis;
  lent: Loan[];
  borrowed: Loan[];
}

/** Whether an organisation may make one more request. */
export type LimitVerdict =
  | {readonly allowed: true}
  | {
      readonly allowed: false;
      readonly limit: Kind;
      readonly retryAfterMs: Millis;
    };

/** What a request needs of its organisation's limits. */
export interface LimitRequest {
  /** Tokens that it may take. */
  readonly cost: number;
  /** When it is over at the latest. */
  readonly deadlineAt: Millis;
}

/** A message to another entry. */
export interface Outgoing {
  readonly to: Incarnation;
  readonly message: LoanMessage;
}

/** How the entries stand to each other: who has which base share. */
export interface EntryRoll {
  /** Entries that the platform lists, this one included. */
  readonly entries: number;
  /** Place of this one among them, from 0. */
  readonly place: number;
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
  private roll: EntryRoll = {entries: 1, place: 0};
  /** Since when fewer entries are listed than are counted with. */
  private fewerSince: Millis | undefined;

  /**
   * Takes note of how many entries there are. Fewer count only once every
   * loan of those that are gone is over.
   * @param now - present time
   * @param roll - the entries
   */
  enrol(now: Millis, roll: EntryRoll): void {
    if (roll.entries >= this.roll.entries) {
      this.fewerSince = undefined;
      this.roll = roll;
      return;
    }
    this.fewerSince ??= now;
    if (now - this.fewerSince < PLACE_LOAN) return;
    this.fewerSince = undefined;
    this.roll = roll;
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
    {cost, deadlineAt}: LimitRequest,
  ): LimitVerdict {
    const account = this.accountOf(now, name, limits);
    this.refill(now, account);
    account.asked.requests += 1;
    account.asked.tokens += cost;
    const share = this.share(now, account);
    if (account.inFlight >= this.places(now, account, deadlineAt)) {
      return {allowed: false, limit: 'concurrency', retryAfterMs: SECOND};
    }
    if (account.requests < 1) {
      return over('requests', 1 - account.requests, share.requests);
    }
    if (account.tokens <= 0) {
      return over('tokens', 1 - account.tokens, share.tokens);
    }
    account.requests -= 1;
    account.tokens -= cost;
    account.inFlight += 1;
    return {allowed: true};
  }

  /**
   * An admitted request ended.
   * @param name - its organisation
   */
  end(name: OrganisationName): void {
    const account = this.accounts.get(name);
    if (account) account.inFlight -= 1;
  }

  /**
   * Asks other entries for what is short here; to be called a few times a
   * second.
   * @param now - present time
   * @param peers - entries within reach, in an order drawn anew each time
   */
  borrow(now: Millis, peers: readonly Incarnation[]): Outgoing[] {
    const wishes: LoanRequest['wishes'] = [];
    for (const [organisation, account] of this.accounts) {
      this.refill(now, account);
      const amounts = this.shortOf(now, account);
      if (amounts === undefined || now - account.askedAt < ASK_EVERY) continue;
      account.askedAt = now;
      wishes.push({organisation, ...amounts});
    }
    if (wishes.length === 0) return [];
    const message = {type: 'borrow', sentAt: now, wishes} as const;
    return peers.slice(0, PEERS_ASKED).map(to => ({to, message}));
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
  ): Outgoing[] {
    const loans = [];
    for (const {organisation, ...wish} of request.wishes) {
      const limits = limitsOf(organisation);
      if (limits === undefined) continue;
      const account = this.accountOf(now, organisation, limits);
      this.refill(now, account);
      const amounts = this.spare(now, account, wish);
      if (KINDS.every(kind => amounts[kind] === 0)) continue;
      account.lent.push(loan(now, amounts));
      this.clip(now, account);
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
  receive(now: Millis, {sentAt, loans}: LoanMessage & {type: 'lend'}): void {
    if (sentAt > now) return;
    for (const {organisation, ...amounts} of loans) {
      const account = this.accounts.get(organisation);
      if (account === undefined) continue;
      this.refill(now, account);
      account.borrowed.push(loan(sentAt, amounts));
    }
  }

  /**
   * What this entry may let through of an organisation's limits now.
   * @param now - present time
   * @param name - the organisation
   */
  shareOf(now: Millis, name: OrganisationName): Quantities | undefined {
    const account = this.accounts.get(name);
    if (account === undefined) return undefined;
    this.refill(now, account);
    return this.share(now, account);
  }

  private share(now: Millis, account: Account): Quantities {
    account.lent = account.lent.filter(l => l.placesUntil > now);
    account.borrowed = account.borrowed.filter(l => l.placesUntil > now);
    const lent = account.lent.filter(({until}) => until > now);
    const borrowed = account.borrowed.filter(({until}) => until > now);
    const base = this.base(account.limits);
    const of = (kind: 'requests' | 'tokens') =>
      Math.max(0, base[kind] + sum(borrowed, kind) - sum(lent, kind));
    return {
      requests: of('requests'),
      tokens: of('tokens'),
      concurrency: this.places(now, account, now),
    };
  }

  /**
   * Places for a call that is over by `deadlineAt`: a borrowed place is one
   * only for calls that end before it goes back.
   */
  private places(now: Millis, account: Account, deadlineAt: Millis): number {
    const lent = account.lent.filter(l => l.placesUntil > now);
    const borrowed = account.borrowed.filter(
      l => l.placesUntil > now && l.placesUntil >= deadlineAt,
    );
    const own = this.base(account.limits).concurrency;
    const places = own + sum(borrowed, 'concurrency');
    return Math.max(0, places - sum(lent, 'concurrency'));
  }

  /** The base share; whole places of the concurrency go round by turn. */
  private base(limits: Limits): Quantities {
    const {entries, place} = this.roll;
    const whole = Math.floor(limits.concurrency / entries);
    const rest = limits.concurrency % entries;
    return {
      requests: limits.requestsPerSecond / entries,
      tokens: limits.tokensPerSecond / entries,
      concurrency: whole + (place < rest ? 1 : 0),
    };
  }

  private shortOf(now: Millis, account: Account): Quantities | undefined {
    const share = this.share(now, account);
    const {demand, inFlight} = account;
    const short = {
      requests: Math.max(0, demand.requests - BORROW_ABOVE * share.requests),
      tokens: Math.max(0, demand.tokens - BORROW_ABOVE * share.tokens),
      concurrency: Math.max(
        0,
        Math.ceil(inFlight + 1 - BORROW_ABOVE * share.concurrency),
      ),
    };
    const idle = account.demand.requests < IDLE_DEMAND && inFlight === 0;
    if (idle || KINDS.every(kind => short[kind] === 0)) return undefined;
    return short;
  }

  private spare(now: Millis, account: Account, wish: Quantities): Quantities {
    const share = this.share(now, account);
    const {demand, inFlight} = account;
    const base = this.base(account.limits);
    const lent = account.lent.filter(({until}) => until > now);
    const give = (kind: 'requests' | 'tokens') => {
      const own = (1 - KEPT) * base[kind] - sum(lent, kind);
      const free = share[kind] - demand[kind] / BORROW_ABOVE;
      return Math.max(0, Math.min(wish[kind], own, free * LENT_AT_ONCE));
    };
    const kept = Math.ceil(KEPT * base.concurrency);
    const own = base.concurrency - sum(account.lent, 'concurrency');
    const free = Math.min(own - kept, own - inFlight);
    const places = Math.min(wish.concurrency, Math.ceil(free * LENT_AT_ONCE));
    return {
      requests: give('requests'),
      tokens: give('tokens'),
      concurrency: Math.max(0, places),
    };
  }

  private refill(now: Millis, account: Account): void {
    this.measure(now, account);
    while (account.filledAt < now) {
      const next = this.nextChange(now, account);
      const share = this.share(account.filledAt, account);
      const seconds = (next - account.filledAt) / SECOND;
      account.requests += seconds * share.requests;
      account.tokens += seconds * share.tokens;
      account.filledAt = next;
      this.clip(next, account);
    }
  }

  /** When the share next changes, so that each span gets its own rate. */
  private nextChange(now: Millis, {filledAt, lent, borrowed}: Account): Millis {
    const ends = [...lent, ...borrowed].map(({until}) => until);
    return Math.min(now, ...ends.filter(until => until > filledAt));
  }

  private clip(now: Millis, account: Account): void {
    const share = this.share(now, account);
    const burst = BURST / SECOND;
    const most = Math.max(1, share.requests * burst);
    account.requests = Math.min(account.requests, most);
    account.tokens = Math.min(
      account.tokens,
      Math.max(1, share.tokens * burst),
    );
  }

  private measure(now: Millis, account: Account): void {
    const span = now - account.measuredAt;
    if (span < SECOND) return;
    const {asked, demand} = account;
    const weight = 1 - (1 - DEMAND_SMOOTHING) ** (span / SECOND);
    const rate = (count: number) => (count * SECOND) / span;
    demand.requests += weight * (rate(asked.requests) - demand.requests);
    demand.tokens += weight * (rate(asked.tokens) - demand.tokens);
    account.asked = {requests: 0, tokens: 0};
    account.measuredAt = now;
  }

  private accountOf(
    now: Millis,
    name: OrganisationName,
    limits: Limits,
  ): Account {
    const known = this.accounts.get(name);
    if (known !== undefined) {
      known.limits = limits;
      return known;
    }
    const base = this.base(limits);
    const account: Account = {
      limits,
      requests: Math.max(1, base.requests),
      tokens: Math.max(1, base.tokens),
      filledAt: now,
      inFlight: 0,
      asked: {requests: 0, tokens: 0},
      demand: {requests: 0, tokens: 0},
      measuredAt: now,
      askedAt: -Infinity,
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

function loan(from: Millis, amounts: Quantities): Loan {
  const until = from + RATE_LOAN;
  return {amounts, until, placesUntil: from + PLACE_LOAN};
}

function over(limit: Kind, missing: number, rate: number): LimitVerdict {
  const wait = rate > 0 ? Math.ceil((missing / rate) * SECOND) : SECOND;
  return {allowed: false, limit, retryAfterMs: Math.min(wait, MAX_RETRY)};
}
