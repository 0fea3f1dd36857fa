import {describe, expect, it} from 'vitest';

import {Chance} from '../core/index.js';
import {ConcurrencyLimiter} from '../direct/index.js';
import {OverloadQueue} from './index.js';
import type {PendingRequest} from './index.js';

interface Request extends PendingRequest {
  readonly arrivedAt: number;
}

const TARGET = 400;
const PATIENCE = 2_000;
const SLOTS = 96;
const MEAN_RUN_TIME = 1_700;
const FIRST_EVENT = 130;
/** A tenth above the capacity of the slots. */
const PER_SECOND = 58;
const STALLED_UNTIL = 3_000;
const DURATION = 20_000;
const ENTRIES = 6;

const request = (now: number, priority = 1): Request => ({
  arrivedAt: now,
  targetAt: now + TARGET,
  expiresAt: now + PATIENCE,
  priority,
});

function take(queue: OverloadQueue<Request>, now: number): Request | undefined {
  const req = queue.peek(now);
  if (req === undefined) return undefined;
  queue.recordSent(now, req, queue.remove(req));
  return req;
}

interface Outcome {
  inTime: number;
  late: number;
  left: number;
  refused: number;
}

/**
 * A group that stalls for some seconds and then starts requests first come,
 * first served, behind entries that send at once or queue requests.
 */
class FullGroup {
  readonly outcome: Outcome = {inTime: 0, late: 0, left: 0, refused: 0};
  private readonly queue: {req: Request; entry: Entry; sentAt: number}[] = [];
  private readonly endsAt: number[] = [];

  constructor(private readonly chance: Chance) {}

  arrive(now: number, req: Request, entry: Entry): void {
    this.queue.push({req, entry, sentAt: now});
  }

  step(now: number): void {
    const running = this.endsAt.filter(at => at > now);
    this.endsAt.splice(0, this.endsAt.length, ...running);
    if (now < STALLED_UNTIL) return;
    while (this.endsAt.length < SLOTS && this.queue.length > 0) {
      const {req, entry, sentAt} = this.queue.shift()!;
      const startsAt = now + FIRST_EVENT;
      entry.started(now, startsAt - sentAt);
      if (startsAt > req.expiresAt) {
        this.outcome.left += 1;
        continue;
      }
      const span = -Math.log(1 - this.chance.fraction()) * MEAN_RUN_TIME;
      this.endsAt.push(startsAt + span);
      if (startsAt <= req.targetAt) this.outcome.inTime += 1;
      else this.outcome.late += 1;
    }
  }
}

class Entry {
  private readonly queue = new OverloadQueue<Request>(new Chance(1));
  private readonly limit = new ConcurrencyLimiter(() => ENTRIES);

  constructor(
    private readonly group: FullGroup,
    private readonly waits: boolean,
  ) {}

  ask(now: number, req: Request): void {
    if (this.waits) this.queue.enqueue(now, req);
    else this.group.arrive(now, req, this);
  }

  started(now: number, took: number): void {
    if (this.waits) this.limit.recordStarted(now, took, TARGET);
  }

  step(now: number): void {
    while (this.limit.hasCapacity) {
      const req = take(this.queue, now);
      if (req === undefined) break;
      this.limit.recordSent();
      this.group.arrive(now, req, this);
    }
    this.group.outcome.refused += this.queue.shedExpired(now).length;
  }
}

function simulate(seed: number, waits: boolean): Outcome {
  const chance = new Chance(seed);
  const group = new FullGroup(chance);
  const entries = Array.from({length: ENTRIES}, () => new Entry(group, waits));
  for (let now = 0; now < DURATION; now += 5) {
    if (chance.fraction() < PER_SECOND / 200) {
      chance.pick(entries).ask(now, request(now));
    }
    for (const entry of entries) entry.step(now);
    group.step(now);
  }
  return group.outcome;
}

describe('queueing requests for a full group', () => {
  it('starts most requests in time, unlike sending them at once', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const waiting = simulate(seed, true);
      const sending = simulate(seed, false);
      expect(waiting.inTime).toBeGreaterThan(2 * sending.inTime);
      // A late response counts half.
      const worth = (of: Outcome) => of.inTime + of.late / 2;
      expect(worth(waiting)).toBeGreaterThan(1.2 * worth(sending));
      expect(waiting.left).toBeLessThan(sending.left);
    }
  });
});

describe('OverloadQueue with equal priorities', () => {
  it('dequeues by priority, newest first, and late requests last', () => {
    const queue = new OverloadQueue<Request>(new Chance(1));
    const [late, older, newer, urgent] = [
      request(0),
      request(500),
      request(600),
      request(550, 0),
    ];
    for (const req of [late!, older!, newer!, urgent!]) queue.enqueue(700, req);
    const order = [1, 2, 3, 4].map(() => take(queue, 700));
    expect(order).toEqual([urgent, newer, older, late]);
    expect(take(queue, 700)).toBeUndefined();
  });

  it('sheds requests that cannot be dequeued in time', () => {
    const queue = new OverloadQueue<Request>(new Chance(1));
    // One is dequeued every 100 ms; thirty late ones would take three seconds.
    for (let now = 0; now < 1_000; now += 100) {
      queue.enqueue(now, request(now));
      take(queue, now);
    }
    for (let i = 0; i < 30; i++) queue.enqueue(1_000, request(300 + i));
    const refused = queue.shedExpired(1_000);
    expect(refused.length).toBeGreaterThan(15);
    expect(queue.length).toBeGreaterThan(8);
  });

  it('retains all requests while none is sent, until they expire', () => {
    const queue = new OverloadQueue<Request>(new Chance(1));
    for (let i = 0; i < 30; i++) queue.enqueue(i, request(i));
    expect(queue.shedExpired(1_500)).toEqual([]);
    expect(queue.shedExpired(1_900)).toHaveLength(30);
  });
});
