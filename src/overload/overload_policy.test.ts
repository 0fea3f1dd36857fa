import {describe, expect, it} from 'vitest';

import {Chance, organisationName, serviceName} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {
  MIN_START_DELAY,
  OverloadQueue,
  PriorityIndex,
  RepeatDetector,
  RetrySchedule,
  hasUnequalPriorities,
} from './index.js';
import type {PendingRequest} from './index.js';
import {EqualValueModel, PriorityValueModel} from './value_model.js';
import type {ValueModel} from './value_model.js';
import {WorkScale} from './work_scale.js';

interface Request extends PendingRequest {
  readonly name: string;
}

const TARGET: Millis = 400;
const PATIENCE: Millis = 2_000;
const DEADLINE: Millis = 8_000;

function request(
  name: string,
  at: Millis,
  change: Partial<Request> = {},
): Request {
  return {
    ...{name, priority: 1, target: TARGET, route: 'r'},
    targetAt: at + TARGET,
    expiresAt: at + PATIENCE,
    deadlineAt: at + DEADLINE,
    callerTimeout: DEADLINE,
    ...change,
  };
}

function createQueue(
  isByPriority = true,
  bounds = {requests: 1e6, bytes: 1e9},
) {
  const queue = new OverloadQueue<Request>(new Chance(1), bounds);
  queue.setByPriority(0, isByPriority);
  return queue;
}

function take(queue: OverloadQueue<Request>, now: Millis): string | undefined {
  const req = queue.peek(now);
  if (req === undefined) return undefined;
  queue.recordSent(now, req, queue.remove(req));
  return req.name;
}

const takeAll = (queue: OverloadQueue<Request>, now: Millis) =>
  Array.from({length: queue.length}, () => take(queue, now));

/** Makes the queue know the time that first attempts carry. */
function observeFirstAttempts(queue: OverloadQueue<Request>): void {
  for (let i = 0; i < 20; i++) queue.recordArrival(0, request('first', 0));
}

const repeated = (name: string, at: Millis, change: Partial<Request> = {}) =>
  request(name, at, {callerTimeout: DEADLINE / 2, ...change});

describe('OverloadQueue by priority', () => {
  it('weighs a late urgent request against one in time of low urgency', () => {
    // Fails if priority decides only between requests of the same lateness.
    const queue = createQueue();
    const late = (priority: number) =>
      request(`late ${priority}`, 0, {priority});
    const inTime = (priority: number) =>
      request(`in time ${priority}`, 900, {priority});
    for (const priority of [2, 1, 0]) {
      queue.enqueue(900, late(priority));
      queue.enqueue(900, inTime(priority));
    }
    expect(takeAll(queue, 900)).toEqual([
      'in time 0',
      'in time 1',
      'late 0',
      'in time 2',
      'late 1',
      'late 2',
    ]);
  });

  it('sends a repeated request after those in time, before late ones', () => {
    // Fails if a request that is late already makes another one late.
    const queue = createQueue();
    observeFirstAttempts(queue);
    queue.enqueue(900, repeated('repeated 0', 900, {priority: 0}));
    queue.enqueue(900, request('in time 2', 900, {priority: 2}));
    queue.enqueue(900, request('late 1', 0));
    queue.enqueue(900, repeated('repeated 1', 900));
    expect(takeAll(queue, 900)).toEqual([
      'in time 2',
      'repeated 0',
      'repeated 1',
      'late 1',
    ]);
  });

  it('gives a place in a full queue to a more urgent request', () => {
    // Fails if a full queue rejects the newest, whatever it is worth.
    const queue = createQueue(true, {requests: 2, bytes: 1e9});
    queue.enqueue(0, request('urgent', 0, {priority: 0}));
    queue.enqueue(0, request('not urgent', 0, {priority: 2}));
    const evicted = queue.enqueue(1, request('newer', 1));
    expect(evicted.map(({req, reason}) => [req.name, reason])).toEqual([
      ['not urgent', 'queue_full'],
    ]);
    const refused = queue.enqueue(2, request('least', 2, {priority: 3}));
    expect(refused.map(({req}) => req.name)).toEqual(['least']);
  });

  it('sheds repeated requests after late first attempts when it is full', () => {
    // Fails if a caller is lost while a first attempt could come back.
    const queue = createQueue(true, {requests: 2, bytes: 1e9});
    observeFirstAttempts(queue);
    queue.enqueue(900, repeated('repeated', 900));
    queue.enqueue(900, request('late', 0));
    const [shed] = queue.enqueue(900, request('in time', 900));
    expect(shed?.req.name).toBe('late');
  });

  it('sheds them after late first attempts that go before them', () => {
    // Fails if a most urgent caller is lost while one that can return is kept.
    const queue = createQueue();
    observeFirstAttempts(queue);
    const patient = {targetAt: 1e5, expiresAt: 1e5};
    for (let i = 0; i < 10; i++)
      queue.enqueue(0, request('patient', 0, {...patient, priority: 1}));
    for (let now = 1_000; now < 2_000; now += 100) take(queue, now);
    const urgent = {priority: 0};
    // Repeated requests go after those in time of this priority.
    queue.enqueue(2_000, request('patient', 0, {...patient, priority: 2}));
    for (let i = 0; i < 10; i++)
      queue.enqueue(2_000, request('late', 1_300, urgent));
    for (let i = 0; i < 8; i++)
      queue.enqueue(2_000, repeated('repeated', 2_000, urgent));
    const names = queue.shedExpired(2_000).map(({req}) => req.name);
    expect(names.length).toBeGreaterThan(0);
    expect(new Set(names)).toEqual(new Set(['late']));
  });

  it('sheds a late request that more valuable arrivals keep from its turn', () => {
    // Fails if a request waits to its end although its turn will not come.
    const queue = createQueue();
    for (let now = 0; now < 1_000; now += 10) {
      queue.enqueue(now, request('urgent', now, {priority: 0}));
      take(queue, now);
    }
    for (let i = 0; i < 60; i++)
      queue.enqueue(1_000, request('late', 400, {priority: 2}));
    const shed = queue.shedExpired(1_000);
    expect(shed.length).toBeGreaterThan(20);
    for (const {reason, retryIn} of shed) {
      expect(reason).toBe('unreachable');
      expect(retryIn).toBeLessThanOrEqual(DEADLINE / 3);
    }
  });

  it('asks callers back at the rate that first attempts leave free', () => {
    // Fails if callers that were shed together return together.
    const queue = createQueue();
    for (let i = 0; i < 100; i++)
      queue.enqueue(0, request('waiting', 0, {expiresAt: 1e5}));
    const rejected = {expiresAt: 1_100, priority: 3};
    for (let i = 0; i < 60; i++) queue.enqueue(0, request('late', 0, rejected));
    // 100 are sent a second, and 60 arrive.
    for (let now = 0; now < 1_000; now += 10) {
      if (now % 50 < 30) queue.enqueue(now, request('new', now));
      take(queue, now);
    }
    const delays = queue
      .shedExpired(1_000)
      .map(({retryIn = 0}) => retryIn)
      .filter(delay => delay < (7_000 / 3) * 0.85);
    delays.sort((a, b) => a - b);
    expect(delays.length).toBeGreaterThan(10);
    // The queue is empty after about 1.2 s, and 40 places a second are free.
    expect(delays[0]).toBeGreaterThan(1_000);
    const span = (delays.at(-1)! - delays[0]!) / 1_000;
    expect(delays.length).toBeLessThanOrEqual(span * 40 * 1.5 + 2);
  });

  it('knows no drain rate after a pause and sheds only what expires', () => {
    // Fails if an entry that was cut off, or restarted, rejects what it can serve.
    const queue = createQueue();
    for (let now = 0; now < 1_000; now += 100) {
      queue.enqueue(now, request('before', now));
      take(queue, now);
    }
    for (let i = 0; i < 50; i++) queue.enqueue(4_000, request('late', 3_000));
    expect(queue.shedExpired(4_000)).toEqual([]);
    const shed = queue.shedExpired(4_900);
    expect(shed).toHaveLength(50);
    expect(new Set(shed.map(({reason}) => reason))).toEqual(
      new Set(['expired']),
    );
  });

  it('changes its order when the configuration does', () => {
    const queue = createQueue(false);
    queue.enqueue(900, request('in time 2', 900, {priority: 2}));
    queue.enqueue(900, request('late 0', 0, {priority: 0}));
    expect(queue.peek(900)?.name).toBe('in time 2');
    queue.setByPriority(900, true);
    expect(takeAll(queue, 900)).toEqual(['late 0', 'in time 2']);
  });

  it('reports the wait of a shed request', () => {
    const queue = createQueue();
    queue.enqueue(0, request('a', 0));
    queue.enqueue(10, request('b', 10, {priority: 2}));
    const shed = queue.shedExpired(1_900);
    expect(shed.map(({req}) => req.name)).toEqual(['a', 'b']);
    expect(shed[1]).toMatchObject({queuedAt: 10, aheadAtFirst: 1});
    expect(queue.length).toBe(0);
    expect(queue.statusAt(1_900)).toMatchObject({waiting: {}, bytes: 0});
  });
});

describe('OverloadQueue in random use', () => {
  /** The next request, found by comparing all of them. */
  function nextOf(waiting: readonly Request[], now: Millis, model: ValueModel) {
    const rankOf = ({targetAt, expiresAt, priority}: Request) => {
      const isInTime = now + MIN_START_DELAY <= targetAt;
      const standing = isInTime ? 'in_time' : 'late';
      const value = model.startValue(standing, priority, 2);
      return {value, rank: isInTime ? targetAt : -expiresAt};
    };
    return [...waiting].sort((a, b) => {
      const [one, other] = [rankOf(a), rankOf(b)];
      return other.value - one.value || other.rank - one.rank;
    })[0];
  }

  it.each([
    ['equal priorities', new EqualValueModel()],
    ['priorities', new PriorityValueModel()],
  ])('keeps its order and accounts with %s', (_name, model) => {
    // Fails if a tree, a class or an account disagrees with the requests.
    for (let seed = 1; seed <= 5; seed++) {
      const chance = new Chance(seed);
      const queue = createQueue(model.isByPriority);
      let waiting: Request[] = [];
      const drop = (one: Request) => {
        waiting = waiting.filter(other => other !== one);
      };
      for (let now = 0; now < 6_000; now += chance.between(0, 20)) {
        const step = chance.fraction();
        if (step < 0.55) {
          // Unique times, so that the order has no ties.
          const at = now + chance.fraction();
          const req = request('r', at, {
            priority: chance.between(0, 2),
            expiresAt: at + PATIENCE * (0.5 + chance.fraction()),
          });
          waiting.push(req);
          queue.enqueue(now, req);
        } else if (step < 0.85) {
          const next = queue.peek(now);
          expect(next).toBe(nextOf(waiting, now, model));
          if (next === undefined) continue;
          const held = queue.remove(next)!;
          if (chance.fraction() < 0.3) queue.putBack(now, held);
          else drop(next);
        } else if (step < 0.95 && waiting.length > 0) {
          const left = chance.pick(waiting);
          expect(queue.remove(left)?.req).toBe(left);
          drop(left);
        } else {
          for (const {req, reason} of queue.shedExpired(now)) {
            expect(reason).toBe('expired');
            drop(req);
          }
          const late = ({expiresAt}: Request) =>
            now + MIN_START_DELAY >= expiresAt;
          expect(waiting.some(late)).toBe(false);
        }
        expect(queue.length).toBe(waiting.length);
      }
      for (const req of waiting) queue.remove(req);
      expect(queue.statusAt(6_000)).toMatchObject({
        ...{waiting: {}, bytes: 0, organisations: 0},
      });
    }
  });
});

describe('OverloadQueue and organisations', () => {
  const of = (name: string, at: Millis, change: Partial<Request> = {}) =>
    request(name, at, {organisation: organisationName(name), ...change});

  it.each([false, true])('lets them take turns (by priority: %s)', mode => {
    // Fails if one organisation fills the turns of the others.
    const queue = createQueue(mode);
    for (let i = 0; i < 20; i++) queue.enqueue(i, of('flood', i));
    queue.enqueue(20, of('other', 0));
    queue.enqueue(20, of('third', 0));
    const first = [1, 2, 3].map(() => take(queue, 20));
    expect(first.sort()).toEqual(['flood', 'other', 'third']);
  });

  it('sheds those of the organisation that fills the queue', () => {
    // Fails if a flood makes the queue reject the others, even less urgent ones.
    const queue = createQueue(true, {requests: 100, bytes: 1e9});
    for (let i = 0; i < 2; i++) queue.enqueue(0, of('other', 0, {priority: 2}));
    const shed = [];
    for (let i = 0; i < 200; i++)
      shed.push(...queue.enqueue(1, of('flood', 1, {priority: 0})));
    expect(shed).toHaveLength(102);
    expect(new Set(shed.map(({req}) => req.name))).toEqual(new Set(['flood']));
  });

  it('bounds the bytes of all bodies', () => {
    // Fails if a few large bodies take the memory of the entry.
    const queue = createQueue(true, {requests: 100, bytes: 1_000_000});
    const shed = [];
    for (let i = 0; i < 10; i++)
      shed.push(...queue.enqueue(i, of('large', i, {bytes: 400_000})));
    expect(queue.length).toBe(2);
    expect(shed).toHaveLength(8);
  });

  it('forgets organisations without requests', () => {
    const queue = createQueue();
    for (let i = 0; i < 1_000; i++) {
      queue.enqueue(i, of(`o${i}`, i));
      take(queue, i);
    }
    expect(queue.statusAt(1_000)).toMatchObject({organisations: 0});
  });
});

describe('RepeatDetector', () => {
  it('recognizes callers that have clearly less time left', () => {
    const detector = new RepeatDetector();
    for (let i = 0; i < 50; i++) detector.observe('r', 8_040 + (i % 20));
    expect(detector.observe('r', 8_050)).toBe(false);
    expect(detector.observe('r', 7_500)).toBe(true);
    expect(detector.observe('other', 7_500)).toBe(false);
  });

  it('does so while most requests are repeated', () => {
    // Fails if an outage makes repeated requests look like first attempts.
    const detector = new RepeatDetector();
    const chance = new Chance(3);
    for (let i = 0; i < 2_000; i++) {
      const isFirst = chance.fraction() < 0.4;
      const timeout = isFirst ? 8_054 : chance.between(2_000, 7_700);
      const isRepeat = detector.observe('r', timeout);
      if (i > 100) expect(isRepeat).toBe(!isFirst);
    }
  });

  it('takes other callers with a time of their own for first attempts', () => {
    // Fails if callers with a short deadline, or a new one, always wait.
    const detector = new RepeatDetector();
    const chance = new Chance(3);
    for (let i = 0; i < 100; i++) detector.observe('r', 8_054);
    const isRepeat = Array.from({length: 200}, () =>
      detector.observe('r', chance.fraction() < 0.6 ? 8_054 : 4_000),
    );
    expect(isRepeat.slice(100)).not.toContain(true);
  });

  it('recognizes none where callers differ anyway', () => {
    const detector = new RepeatDetector();
    const chance = new Chance(3);
    const times = Array.from({length: 1_000}, () => chance.between(500, 9_000));
    expect(times.some(time => detector.observe('r', time))).toBe(false);
  });
});

describe('WorkScale', () => {
  const large = request('large', 0, {promptTokens: 4_000});
  const usual = request('usual', 0, {promptTokens: 800});

  it('moves large requests back only while they are served nearly as often', () => {
    // Fails if large requests always lose between otherwise equal ones.
    const scale = new WorkScale();
    const arrive = (servesLarge: boolean) => {
      for (let i = 0; i < 100; i++) {
        const isLarge = i % 10 === 0;
        const size = scale.recordArrival(isLarge ? large : usual);
        if (!isLarge || servesLarge) scale.recordServed(size);
      }
      return scale.shiftOf(scale.recordArrival(large));
    };
    expect(arrive(true)).toBeGreaterThan(0);
    expect(arrive(false)).toBe(0);
    for (let i = 0; i < 20; i++) arrive(true);
    expect(arrive(true)).toBeGreaterThan(0);
  });

  it('takes a hint that is far off only half for true', () => {
    const scale = new WorkScale();
    for (let i = 0; i < 100; i++)
      scale.recordArrival({...usual, expectedTokens: 160});
    const {work} = scale.recordArrival({...usual, expectedTokens: 16_000});
    expect(work).toBeLessThan(0.2 * 16_000);
    expect(work).toBeGreaterThan(160);
  });
});

describe('RetrySchedule', () => {
  it('gives callers places at the rate that is free', () => {
    // Fails if callers that were rejected together come back together.
    const schedule = new RetrySchedule(new Chance(1));
    const expected = {backlogTime: 200, freeRate: 0.02};
    const delays = Array.from({length: 20}, () =>
      schedule.delay(0, 8_000, expected),
    );
    for (const [i, delay] of delays.entries()) {
      expect(delay).toBeGreaterThanOrEqual(200 + 50 * i);
      expect(delay).toBeLessThanOrEqual((200 + 50 * i) * 1.1);
    }
  });

  it('spreads callers for which no room is expected', () => {
    const schedule = new RetrySchedule(new Chance(1));
    const expected = {backlogTime: 200, freeRate: -0.01};
    const delays = Array.from({length: 100}, () =>
      schedule.delay(0, 6_000, expected),
    );
    expect(Math.max(...delays)).toBeLessThanOrEqual(2_000);
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(1_700);
    expect(new Set(delays).size).toBe(100);
  });

  it('gives places again after the free rate was close to none', () => {
    // Fails if one place at such a rate keeps all later callers out.
    for (const freeRate of [1e-18, 0.000_2]) {
      const schedule = new RetrySchedule(new Chance(1));
      schedule.delay(0, 6_000, {backlogTime: 100, freeRate});
      const later = {backlogTime: 100, freeRate: 0.02};
      expect(schedule.delay(3_000, 6_000, later)).toBeLessThan(200);
    }
  });
});

describe('hasUnequalPriorities', () => {
  const service = serviceName('draft');
  const route = (priority: number, target = service, needsKey = true) => ({
    ...{priority, needsKey},
    targets: [{service: target}],
  });
  const NONE = {priority: undefined};

  it.each([
    ['routes with one priority', [route(1), route(1)], [NONE], false],
    ['routes that differ', [route(0), route(1)], [NONE], true],
    [
      'routes of other services',
      [route(1), route(2, serviceName('app'))],
      [NONE],
      false,
    ],
    ['an organisation of its own', [route(1)], [NONE, {priority: 0}], true],
    ['organisations that agree', [route(1)], [NONE, {priority: 1}], false],
    [
      'organisations that replace all priorities',
      [route(0), route(1)],
      [{priority: 2}],
      false,
    ],
    ['no organisations', [route(0), route(1)], [], true],
    [
      'callers without a key',
      [route(1, service, false)],
      [{priority: 0}],
      true,
    ],
  ])('of %s', (_name, routes, organisations, expected) => {
    const rules = {routes, organisations};
    expect(hasUnequalPriorities(rules, service)).toBe(expected);
    expect(new PriorityIndex().isUnequal(rules, service)).toBe(expected);
  });

  it('follows a new version of the configuration', () => {
    const index = new PriorityIndex();
    const before = {routes: [route(1)], organisations: []};
    const after = {routes: [route(1), route(0)], organisations: []};
    expect(index.isUnequal(undefined, service)).toBe(false);
    expect(index.isUnequal(before, service)).toBe(false);
    expect(index.isUnequal(after, service)).toBe(true);
  });
});
