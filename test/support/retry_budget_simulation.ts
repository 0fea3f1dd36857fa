import {Chance, SECOND, serviceName} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {SharedRetryBudget} from '../../src/direct/index.js';
import type {EntryHistory, RetryBound} from '../../src/direct/index.js';

const SERVICE = serviceName('app');
const TICK: Millis = 20;
/** Upstream that is suspended at times, and another one. */
const SUSPENDED = 'i-1';
const OTHER = 'i-2';
/** Time in which the estate starts, and in which nothing fails. */
export const WARM_UP: Millis = 40 * SECOND;

/** Load, upstreams and length of a simulation. */
export interface BudgetScenario {
  readonly seed: number;
  readonly entryCount: number;
  readonly duration: Millis;
  /** Callers' requests per second, at all entries. */
  readonly rate: number;
  /** Returns the part of that rate at a time; 1 by default. */
  readonly load?: (now: Millis) => number;
  /** Attempts of a request while all of them fail. */
  readonly maxAttempts: number;
  /** Returns whether requests fail. */
  readonly isFailing: (now: Millis) => boolean;
  /** Returns until when a suspended upstream reads nothing, if one is. */
  readonly suspendedUntil?: (now: Millis) => Millis | undefined;
  /** Part of the retries that are sent to suspended upstreams; 1 by default. */
  readonly unreadPart?: number;
}

interface SimulatedEntry {
  readonly name: string;
  readonly startedAt: Millis;
  readonly directory: {count: number; readAt: Millis | undefined};
  readonly budget: SharedRetryBudget;
  pausedUntil: Millis;
  /** Time until which it cannot reach the store. */
  cutUntil: Millis;
  announceAt: Millis | undefined;
  nextReadAt: Millis;
  history: EntryHistory;
}

interface Attempt {
  readonly entry: SimulatedEntry;
  readonly request: object;
  readonly attempts: number;
  readonly at: Millis;
  readonly sentAt: Millis;
  readonly upstream: string;
  /** Whether it ends by patience, before its upstream has read it. */
  readonly isUnread: boolean;
}

/** Time after which an entry gives up an attempt at a suspended upstream. */
const PATIENCE: Millis = 1.5 * SECOND;

/**
 * Entries that share a retry budget, the store's directory of them, and callers
 * whose requests fail at every upstream.
 */
export class RetryBudgetSimulation {
  private readonly chance: Chance;
  private readonly entries = new Map<string, SimulatedEntry>();
  /** Names in the store, with the time of their first record. */
  private readonly directory = new Map<string, Millis>();
  private readonly starts = new Map<string, Millis>();
  private readonly requests: Millis[] = [];
  private readonly arrivals: Millis[] = [];
  private pending: Attempt[] = [];
  private now: Millis = 0;

  /**
   * @param bound - the bound of all entries
   * @param scenario - load and upstreams
   * @param step - called before each tick; may kill, start, pause or cut entries
   */
  constructor(
    private readonly bound: RetryBound,
    private readonly scenario: BudgetScenario,
    private readonly step: (
      now: Millis,
      simulation: RetryBudgetSimulation,
      chance: Chance,
    ) => void = () => undefined,
  ) {
    this.chance = new Chance(scenario.seed);
    for (let i = 0; i < scenario.entryCount; i++) this.start(`entry-${i}`, 300);
  }

  /** Names of the running entries. */
  get running(): readonly string[] {
    return [...this.entries.keys()];
  }

  /**
   * Starts an entry, as a process that ends loses all that it knows.
   * @param name - name of the entry
   * @param within - maximum delay of the start
   */
  start(name: string, within: Millis): void {
    const startedAt = this.now + this.chance.between(0, within);
    this.starts.set(name, startedAt);
    const directory = {count: 1, readAt: undefined};
    this.entries.set(name, {
      name,
      startedAt,
      directory,
      budget: new SharedRetryBudget(this.bound, () => directory),
      pausedUntil: startedAt,
      cutUntil: 0,
      announceAt: undefined,
      nextReadAt: startedAt + this.chance.between(50, 800),
      history: 'added',
    });
  }

  /** Kills an entry with its attempts. */
  kill(name: string): void {
    const killed = this.entries.get(name);
    this.entries.delete(name);
    this.pending = this.pending.filter(({entry}) => entry !== killed);
  }

  /** Suspends an entry. */
  pause(name: string, until: Millis): void {
    this.entries.get(name)!.pausedUntil = until;
  }

  /** Cuts an entry from the store. */
  cut(name: string, until: Millis): void {
    this.entries.get(name)!.cutUntil = until;
  }

  /**
   * Runs the simulation.
   * @returns the largest number of retries in a window as a part of the bound
   */
  run(): {load: number; retries: number} {
    const {duration} = this.scenario;
    for (this.now = 0; this.now < duration; this.now += TICK) {
      this.step(this.now, this, this.chance);
      for (const entry of this.entries.values()) this.follow(entry);
      this.receive();
      this.fail();
    }
    return {load: this.largestLoad(), retries: this.arrivals.length};
  }

  private isRunning({startedAt, pausedUntil}: SimulatedEntry): boolean {
    return startedAt <= this.now && pausedUntil <= this.now;
  }

  /** Reads the directory and announces the entry, as processes do. */
  private follow(entry: SimulatedEntry): void {
    const {now, chance, directory} = this;
    if (!this.isRunning(entry)) return;
    entry.budget.startServing(now);
    if (entry.cutUntil > now) return;
    if (entry.announceAt !== undefined && entry.announceAt <= now) {
      entry.announceAt = undefined;
      if (!directory.has(entry.name)) directory.set(entry.name, now);
      entry.budget.join(now, entry.history);
    }
    if (entry.nextReadAt > now) return;
    if (entry.directory.readAt === undefined) {
      entry.announceAt = now + chance.between(50, 500);
      const isYoung = [...directory.keys()].every(
        name => (this.starts.get(name) ?? 0) > now - 10 * SECOND,
      );
      if (directory.has(entry.name)) entry.history = 'restarted';
      else if (isYoung) entry.history = 'first_start';
    }
    entry.directory.readAt = now;
    entry.directory.count = new Set([...directory.keys(), entry.name]).size;
    entry.nextReadAt = now + chance.between(3_000, 7_000);
  }

  private receive(): void {
    const {chance, now, scenario} = this;
    const load = scenario.load?.(now) ?? 1;
    const mean = (scenario.rate * load * TICK) / SECOND;
    const isOneMore = chance.fraction() < mean - Math.floor(mean);
    const count = Math.floor(mean) + (isOneMore ? 1 : 0);
    for (let i = 0; i < count; i++) this.receiveOne();
  }

  private receiveOne(): void {
    const {now, chance} = this;
    this.requests.push(now);
    const ready = [...this.entries.values()].filter(one => this.isRunning(one));
    if (ready.length === 0) return;
    const entry = chance.pick(ready);
    const request = {};
    entry.budget.recordRequest(now, SERVICE);
    if (!this.scenario.isFailing(now)) return;
    this.pending.push({
      entry,
      request,
      attempts: 1,
      at: now + 40,
      sentAt: now,
      upstream: this.upstreamAt(now),
      isUnread: false,
    });
  }

  /** Ends the attempts that are due, each with a retry if that is allowed. */
  private fail(): void {
    const {now, pending, scenario} = this;
    this.pending = [];
    for (const attempt of pending) {
      const {entry, request, attempts, at} = attempt;
      if (at > now || !this.isRunning(entry)) {
        this.pending.push(attempt);
        continue;
      }
      const {sentAt, upstream} = attempt;
      if (attempt.isUnread)
        entry.budget.abandon(now, SERVICE, request, upstream);
      else {
        entry.budget.recordResponse(now, SERVICE, upstream, sentAt);
        entry.budget.settle(now, SERVICE, request);
      }
      if (attempts >= scenario.maxAttempts) continue;
      if (!entry.budget.trySpend(now, SERVICE, request)) continue;
      const wakesAt = this.arrivalTime(now);
      this.arrivals.push(wakesAt ?? now);
      const endsAt =
        wakesAt === undefined
          ? now + this.chance.between(20, 120)
          : Math.min(wakesAt, now + PATIENCE);
      const isUnread = wakesAt !== undefined && endsAt < wakesAt;
      this.pending.push({
        ...{entry, request, attempts: attempts + 1},
        ...{at: endsAt, sentAt: now, isUnread},
        upstream: wakesAt === undefined ? this.upstreamAt(now) : SUSPENDED,
      });
    }
  }

  /** Returns an upstream that is not suspended. */
  private upstreamAt(now: Millis): string {
    const isSuspended = this.scenario.suspendedUntil?.(now) !== undefined;
    return isSuspended ? OTHER : this.chance.pick([SUSPENDED, OTHER]);
  }

  /** Returns when an upstream reads a retry, if that is not at once. */
  private arrivalTime(now: Millis): Millis | undefined {
    const {suspendedUntil, unreadPart = 1} = this.scenario;
    const wakesAt = suspendedUntil?.(now);
    if (wakesAt === undefined || unreadPart === 1) return wakesAt;
    return this.chance.fraction() < unreadPart ? wakesAt : undefined;
  }

  /** The bound counts the requests of the best of three windows. */
  private largestLoad(): number {
    const {ratio, slack, window} = this.bound;
    const arrivals = this.arrivals.sort((a, b) => a - b);
    const requestsFrom = (from: Millis) =>
      this.requests.filter(at => at >= from && at < from + window).length;
    let largest = 0;
    for (const from of new Set(arrivals)) {
      const counted = arrivals.filter(at => at >= from && at < from + window);
      const most = Math.max(
        ...[0, window / 2, window].map(before => requestsFrom(from - before)),
      );
      const load = counted.length / (ratio * most + slack);
      largest = Math.max(largest, load);
    }
    return largest;
  }
}
