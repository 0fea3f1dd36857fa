import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {incarnation, organisationName} from '../core/index.js';
import type {Incarnation, Millis} from '../core/index.js';
import type {LoanMessage} from './messages.js';
import {
  SLOT_LOAN_DURATION,
  RATE_LOAN_DURATION,
  SharedLimits,
} from './shared_limits.js';

const NAME = organisationName('kariakoo');
const LIMITS = {requestsPerSecond: 12, tokensPerSecond: 600, concurrency: 10};
const SLACK = 1e-6;
/** Time windows in which the bound on admitted requests is checked. */
const WINDOWS: readonly Millis[] = [100, 1_000, 5_000, 20_000];

interface MessageInTransit {
  readonly at: Millis;
  readonly from: Incarnation;
  readonly to: Incarnation;
  readonly message: LoanMessage;
}

/** Simulates entries, the messages between them and their admitted calls. */
class Simulation {
  now: Millis = 0;
  private readonly admissions: {readonly at: Millis; readonly cost: number}[] =
    [];
  readonly ids: Incarnation[];
  private readonly entries: Map<Incarnation, SharedLimits>;
  private inTransit: MessageInTransit[] = [];
  private calls: {readonly entry: Incarnation; readonly endsAt: Millis}[] = [];

  constructor(count: number) {
    this.ids = Array.from({length: count}, (_, i) => incarnation(`entry-${i}`));
    const pairs = this.ids.map((id, index) => {
      const limits = new SharedLimits();
      limits.setEntries(0, {count, index});
      return [id, limits] as const;
    });
    this.entries = new Map(pairs);
  }

  /** Returns the number and cost of the requests admitted in the last span. */
  admitted(span: Millis): {readonly requests: number; readonly cost: number} {
    const last = this.admissions.filter(({at}) => at > this.now - span);
    const cost = last.reduce((sum, one) => sum + one.cost, 0);
    return {requests: last.length, cost};
  }

  get inFlight(): number {
    return this.calls.length;
  }

  entryOf(id: Incarnation): SharedLimits {
    return this.entries.get(id) as SharedLimits;
  }

  /** Advances time; messages across the partition at `cut` are lost. */
  advance(span: Millis, cut: number): void {
    this.now += span;
    this.calls = this.calls.filter(({entry, endsAt}) => {
      if (endsAt > this.now) return true;
      this.entryOf(entry).release(NAME);
      return false;
    });
    const due = this.inTransit.filter(({at}) => at <= this.now);
    this.inTransit = this.inTransit.filter(({at}) => at > this.now);
    for (const message of due) {
      const side = (id: Incarnation) => this.ids.indexOf(id) < cut;
      if (side(message.from) === side(message.to)) this.deliver(message);
    }
  }

  request(id: Incarnation, cost: number, span: Millis): boolean {
    const limitRequest = {cost, deadlineAt: this.now + span};
    const verdict = this.entryOf(id).admit(
      this.now,
      NAME,
      LIMITS,
      limitRequest,
    );
    if (!verdict.allowed) return false;
    this.admissions.push({at: this.now, cost});
    this.calls.push({entry: id, endsAt: this.now + span});
    return true;
  }

  borrow(id: Incarnation, peers: readonly Incarnation[], delay: Millis): void {
    const others = peers.filter(peer => peer !== id);
    const outgoing = this.entryOf(id).borrow(this.now, others);
    this.send(id, outgoing, delay);
  }

  sum(kind: 'requests' | 'tokens'): number {
    return this.ids.reduce((total, id) => {
      const share = this.entryOf(id).currentShare(this.now, NAME);
      const base = kind === 'requests' ? 12 : 600;
      return total + (share?.[kind] ?? base / this.ids.length);
    }, 0);
  }

  private send(
    from: Incarnation,
    outgoing: readonly {readonly to: Incarnation; message: LoanMessage}[],
    delay: Millis,
  ): void {
    for (const {to, message} of outgoing) {
      this.inTransit.push({at: this.now + delay, from, to, message});
    }
  }

  private deliver({from, to, message}: MessageInTransit): void {
    const entry = this.entryOf(to);
    if (message.type === 'lend') return entry.acceptLoan(this.now, message);
    this.send(
      to,
      entry.lend(this.now, from, message, () => LIMITS),
      5,
    );
  }
}

const step = fc.record({
  entry: fc.nat(5),
  requests: fc.nat(4),
  cost: fc.integer({min: 1, max: 80}),
  span: fc.constantFrom(50, 900, 4_000, 30_000),
  pass: fc.constantFrom(1, 20, 250, 1_500),
  delay: fc.constantFrom(1, 30, 2_000),
  cut: fc.constantFrom(0, 0, 0, 2, 3),
});

describe('SharedLimits', () => {
  it('never exceeds the limit in sum, under any network partition', () => {
    const steps = fc.array(step, {minLength: 40, maxLength: 120});
    const counts = fc.integer({min: 2, max: 6});
    const property = fc.property(steps, counts, (all, count) => {
      const simulation = new Simulation(count);
      let maxCost = 0;
      for (const one of all) {
        const id = simulation.ids[one.entry % count] as Incarnation;
        for (let i = 0; i < one.requests; i++) {
          simulation.request(id, one.cost, one.span);
        }
        maxCost = Math.max(maxCost, one.cost);
        simulation.borrow(id, simulation.ids, one.delay);
        for (const span of WINDOWS) {
          const admitted = simulation.admitted(span);
          const seconds = span / 1_000 + 1;
          const requests = 12 * seconds + count;
          expect(admitted.requests).toBeLessThanOrEqual(requests + SLACK);
          const tokens = 600 * seconds + count * maxCost;
          expect(admitted.cost).toBeLessThanOrEqual(tokens + SLACK);
        }
        simulation.advance(one.pass, one.cut);
        expect(simulation.sum('requests')).toBeLessThanOrEqual(12 + SLACK);
        expect(simulation.sum('tokens')).toBeLessThanOrEqual(600 + SLACK);
        expect(simulation.inFlight).toBeLessThanOrEqual(LIMITS.concurrency);
      }
    });
    fc.assert(property, {seed: 6, numRuns: 200});
  });

  it('lends idle quota to the entry with the demand', () => {
    const simulation = new Simulation(6);
    const [busy] = simulation.ids as [Incarnation];
    const count = (rounds: number) => {
      const before = simulation.admitted(Infinity).requests;
      for (let i = 0; i < rounds; i++) {
        simulation.request(busy, 1, 20);
        const peers = simulation.ids.map((_, j) => simulation.ids[(i + j) % 6]);
        simulation.borrow(busy, peers as Incarnation[], 1);
        simulation.advance(50, 0);
      }
      return simulation.admitted(Infinity).requests - before;
    };
    count(200);
    // Alone, an entry has 2 a second: 40 in 20 s; the organisation has 240.
    expect(count(400)).toBeGreaterThan(120);
  });

  it('falls back to the base share when disconnected', () => {
    const simulation = new Simulation(6);
    const [busy] = simulation.ids as [Incarnation];
    for (let i = 0; i < 400; i++) {
      simulation.request(busy, 1, 20);
      simulation.borrow(busy, simulation.ids.toReversed(), 1);
      simulation.advance(50, 0);
    }
    const before = simulation
      .entryOf(busy)
      .currentShare(simulation.now, NAME)?.requests;
    expect(before).toBeGreaterThan(2);
    simulation.advance(RATE_LOAN_DURATION, 1);
    const after = simulation
      .entryOf(busy)
      .currentShare(simulation.now, NAME)?.requests;
    expect(after).toBeCloseTo(2);
  });

  it.each([
    {name: 'an increase at once', from: 4, to: 6, at: 0, rate: 2},
    {
      name: 'no decrease before loans expire',
      from: 6,
      to: 4,
      at: 1_000,
      rate: 2,
    },
    {
      name: 'a decrease after loans expire',
      from: 6,
      to: 4,
      at: SLOT_LOAN_DURATION,
      rate: 3,
    },
  ])('applies to the number of entries: $name', ({from, to, at, rate}) => {
    const limits = new SharedLimits();
    limits.setEntries(0, {count: from, index: 0});
    const limitRequest = {cost: 1, deadlineAt: 1_000};
    limits.admit(0, NAME, LIMITS, limitRequest);
    limits.setEntries(0, {count: to, index: 0});
    limits.setEntries(at, {count: to, index: 0});
    expect(limits.currentShare(at, NAME)?.requests).toBe(rate);
  });

  it('uses a borrowed slot only for calls that end before the loan expires', () => {
    const limits = new SharedLimits();
    limits.setEntries(0, {count: 10, index: 0});
    const isAllowed = (deadlineAt: Millis) =>
      limits.admit(1_000, NAME, LIMITS, {cost: 1, deadlineAt}).allowed;
    expect(isAllowed(Infinity)).toBe(true);
    const loan = {organisation: NAME, requests: 9, tokens: 9, concurrency: 2};
    limits.acceptLoan(1_000, {type: 'lend', sentAt: 900, loans: [loan]});
    limits.currentShare(2_000, NAME);
    const later = (deadlineAt: Millis) =>
      limits.admit(2_000, NAME, LIMITS, {cost: 1, deadlineAt});
    expect(later(901 + SLOT_LOAN_DURATION)).toMatchObject({
      limit: 'concurrency',
    });
    expect(later(900 + SLOT_LOAN_DURATION).allowed).toBe(true);
  });

  it('never lends borrowed quota', () => {
    const limits = new SharedLimits();
    limits.setEntries(0, {count: 6, index: 0});
    limits.admit(0, NAME, LIMITS, {cost: 1, deadlineAt: 10});
    limits.release(NAME);
    const amounts = {requests: 8, tokens: 400, concurrency: 0};
    const wish = {organisation: NAME, ...amounts};
    limits.acceptLoan(0, {type: 'lend', sentAt: 0, loans: [wish]});
    const request = {type: 'borrow', sentAt: 0, wishes: [wish]} as const;
    const lent = Array.from({length: 9}, () =>
      limits.lend(
        0,
        incarnation('b'),
        {...request, wishes: [wish]},
        () => LIMITS,
      ),
    ).flatMap(([out]) =>
      out?.message.type === 'lend' ? out.message.loans : [],
    );
    const total = lent.reduce((sum, {requests}) => sum + requests, 0);
    expect(total).toBeGreaterThan(0);
    expect(total).toBeLessThanOrEqual(0.75 * 2);
  });

  it('limits a burst to one second of the rate', () => {
    const limits = new SharedLimits();
    const limitRequest = {cost: 1, deadlineAt: 1e9};
    const countAdmitted = (now: Millis) =>
      Array.from({length: 40}, () => {
        const {allowed} = limits.admit(now, NAME, LIMITS, limitRequest);
        if (allowed) limits.release(NAME);
        return allowed;
      }).filter(Boolean).length;
    expect(countAdmitted(0)).toBe(12);
    expect(countAdmitted(3_600_000)).toBe(12);
  });

  it('returns when to retry', () => {
    const limits = new SharedLimits();
    const limitRequest = {cost: 1, deadlineAt: 1_000};
    for (let i = 0; i < 12; i++) {
      limits.admit(0, NAME, LIMITS, limitRequest);
      limits.release(NAME);
    }
    const verdict = limits.admit(0, NAME, LIMITS, limitRequest);
    expect(verdict).toEqual({
      allowed: false,
      limit: 'requests',
      retryAfterMs: Math.ceil(1_000 / 12),
    });
  });
});
