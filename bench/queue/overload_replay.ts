import {AdaptiveLifoOrder, ScannedQueue} from './scanned_queue.js';
import {Chance, SECOND, organisationName} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {retryAfter} from '../../src/direct/index.js';
import {OverloadQueue} from '../../src/overload/index.js';
import type {PendingRequest} from '../../src/overload/index.js';
import {poissonArrivals} from '../../test/support/stepping_group.js';

/** A route of the load, as its operators and callers describe it. */
export interface LoadRoute {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly target: Millis;
  readonly valueInTime: number;
}

/** The streams of Hearthline (docs/design/hard_load.md). */
export const HEARTHLINE: readonly LoadRoute[] = [
  {name: 'note', priority: 0, perSecond: 56.7, target: 403, valueInTime: 3},
  {name: 'reply', priority: 1, perSecond: 74.9, target: 403, valueInTime: 1.6},
  {name: 'summary', priority: 2, perSecond: 25, target: 803, valueInTime: 0.8},
];

/** The streams of Aju, whose priorities are equal. */
export const AJU: readonly LoadRoute[] = [
  {name: 'nota', priority: 1, perSecond: 83.5, target: 403, valueInTime: 2},
  {name: 'carta', priority: 1, perSecond: 63.9, target: 403, valueInTime: 2},
  {name: 'resumen', priority: 1, perSecond: 36.9, target: 403, valueInTime: 2},
];

/** Queue that an entry uses. */
export type QueueKind = 'scanned' | 'equal' | 'by_priority';

/** Load of several entries before one group. */
export interface OverloadLoad {
  readonly routes: readonly LoadRoute[];
  readonly entries: number;
  readonly duration: Millis;
  /** Starts per second of requests of mean work. */
  readonly capacity: (now: Millis) => number;
  /** Factor on the rate of a route at an entry. */
  readonly factor?: (now: Millis, route: LoadRoute, entry: number) => number;
  readonly maxFactor?: number;
  /** Whether callers don't send the time that they have left. */
  readonly hidesTimeLeft?: boolean;
  /** Draws the organisation of a request. */
  readonly organisation?: (
    now: Millis,
    chance: Chance,
    route: LoadRoute,
  ) => string | undefined;
}

/** Result of one caller. */
export interface CallerResult {
  readonly route: LoadRoute;
  readonly organisation: string | undefined;
  readonly at: Millis;
  readonly work: number;
  readonly outcome: 'in_time' | 'late' | 'lost';
  /** Rejections that it received, with the time at which it came back. */
  readonly rejections: readonly {
    readonly at: Millis;
    readonly retryIn: Millis;
    readonly timeLeft: Millis;
  }[];
}

interface Caller {
  readonly route: LoadRoute;
  readonly organisation: string | undefined;
  readonly entry: number;
  readonly at: Millis;
  readonly promptTokens: number;
  readonly hint: number;
  readonly work: number;
  repeatsLeft: number;
  readonly rejections: {at: Millis; retryIn: Millis; timeLeft: Millis}[];
}

interface Attempt extends PendingRequest {
  readonly caller: Caller;
}

/** Common calls of the queues. */
interface ReplayQueue {
  /** Adds a request; returns those that give way, with their Retry-After. */
  add(now: Millis, req: Attempt): [Attempt, Millis | undefined][];
  take(now: Millis): Attempt | undefined;
  shed(now: Millis): [Attempt, Millis | undefined][];
}

const DEADLINE: Millis = 8_054;
const PATIENCE: Millis = 2_000;
const FIRST_EVENT: Millis = 130;
const LATE_VALUE = 0.4;
const MEAN_OUTPUT = 160;
const MEAN_PROMPT = 800;
const PROMPT_SPREAD = Math.sqrt(3);
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 25;
const MEAN_WORK = MEAN_OUTPUT + MEAN_PROMPT / PROMPT_TOKENS_PER_OUTPUT_TOKEN;

function createQueue(kind: QueueKind, chance: Chance): ReplayQueue {
  if (kind === 'scanned') {
    const queue = new ScannedQueue<Attempt>(new AdaptiveLifoOrder());
    return {
      add: (_now, req) => {
        queue.enqueue(req);
        return [];
      },
      take: now => {
        const req = queue.peek(now);
        if (req === undefined) return undefined;
        queue.remove(req);
        queue.recordSent(now);
        return req;
      },
      shed: now => queue.shedExpired(now).map(req => [req, undefined]),
    };
  }
  const queue = new OverloadQueue<Attempt>(chance);
  queue.setByPriority(0, kind === 'by_priority');
  return {
    add: (now, req) => {
      queue.recordArrival(now, req);
      return queue
        .enqueue(now, req)
        .map(({req: shed, retryIn}) => [shed, retryIn]);
    },
    take: now => {
      const req = queue.peek(now);
      if (req !== undefined) queue.recordSent(now, req, queue.remove(req));
      return req;
    },
    shed: now => queue.shedExpired(now).map(({req, retryIn}) => [req, retryIn]),
  };
}

/**
 * Replays a load on the queues of several entries before one group, whose
 * capacity they share. Callers that are rejected come back once or twice.
 * @param load - the load
 * @param kind - queue of the entries
 * @param seed - seed of the arrivals
 */
export function replayOverload(
  load: OverloadLoad,
  kind: QueueKind,
  seed: number,
): CallerResult[] {
  const chance = new Chance(seed);
  const queueChance = new Chance(seed + 1_000);
  const queues = Array.from({length: load.entries}, () =>
    createQueue(kind, queueChance),
  );
  const results: CallerResult[] = [];
  const due = new Map<number, (() => void)[]>();
  let now: Millis = 0;
  const schedule = (at: Millis, run: () => void) => {
    const tick = Math.max(now + 1, Math.ceil(at));
    due.set(tick, [...(due.get(tick) ?? []), run]);
  };
  const finish = (caller: Caller, outcome: CallerResult['outcome']) => {
    const {route, organisation, at, work, rejections} = caller;
    results.push({route, organisation, at, work, rejections, outcome});
  };
  const reject = ({caller}: Attempt, planned: Millis | undefined) => {
    const timeLeft = caller.at + DEADLINE - now;
    const retryIn = planned ?? retryAfter('busy', timeLeft, queueChance);
    caller.rejections.push({at: now, retryIn, timeLeft});
    if (caller.repeatsLeft-- === 0) return finish(caller, 'lost');
    const delay = Math.min(retryIn, timeLeft / 3);
    schedule(now + delay, () => submit(caller));
  };
  const submit = (caller: Caller) => {
    const {route, organisation, promptTokens, hint: expectedTokens} = caller;
    const timeLeft = Math.round(caller.at + DEADLINE - now);
    const callerTimeout = load.hidesTimeLeft ? undefined : timeLeft;
    const deadlineAt = now + timeLeft;
    const queue = queues[caller.entry]!;
    const shed = queue.add(now, {
      ...{caller, promptTokens, expectedTokens, callerTimeout, deadlineAt},
      route: route.name,
      organisation: organisation && organisationName(organisation),
      priority: route.priority,
      target: route.target,
      targetAt: now + route.target,
      expiresAt: Math.min(now + PATIENCE, deadlineAt),
      bytes: promptTokens * 4,
    } as Attempt);
    for (const [req, retryIn] of shed) reject(req, retryIn);
  };
  for (const caller of drawCallers(load, chance))
    schedule(caller.at, () => submit(caller));
  let budget = 0;
  for (; now < load.duration + DEADLINE; now++) {
    for (const run of due.get(now) ?? []) run();
    due.delete(now);
    const perMs = (load.capacity(now) * MEAN_WORK) / SECOND;
    budget = Math.min(MEAN_WORK, budget + perMs);
    for (const queue of queues) {
      for (const [req, retryIn] of queue.shed(now)) reject(req, retryIn);
    }
    for (let idle = 0, i = now; idle < queues.length && budget > 0; i++) {
      const req = queues[i % queues.length]!.take(now);
      idle = req === undefined ? idle + 1 : 0;
      if (req === undefined) continue;
      budget -= req.caller.work;
      const {caller} = req;
      const took = now + FIRST_EVENT - caller.at;
      finish(caller, took <= caller.route.target ? 'in_time' : 'late');
    }
  }
  return results;
}

/** Returns the callers of a load in the order of their first attempts. */
function drawCallers(load: OverloadLoad, chance: Chance): Caller[] {
  const {routes, entries, duration, factor, maxFactor = 1} = load;
  return routes
    .flatMap(route =>
      poissonArrivals(chance, route.perSecond * maxFactor, duration).map(at => {
        const entry = chance.between(0, entries - 1);
        const part = (factor?.(at, route, entry) ?? 1) / maxFactor;
        if (chance.fraction() >= part) return undefined;
        return drawCaller(load, chance, route, at, entry);
      }),
    )
    .filter(caller => caller !== undefined)
    .sort((a, b) => a.at - b.at);
}

function drawCaller(
  {organisation}: OverloadLoad,
  chance: Chance,
  route: LoadRoute,
  at: Millis,
  entry: number,
): Caller {
  const output = Math.max(7, -Math.log(1 - chance.fraction()) * MEAN_OUTPUT);
  const spread = PROMPT_SPREAD ** (2 * chance.fraction() - 1);
  const promptTokens = Math.round(MEAN_PROMPT * spread);
  // Half of the hints are within a factor of two, some are far off.
  const error = 2 ** (4 * (chance.fraction() - 0.5) ** 3 * 8);
  return {
    ...{route, at, entry, promptTokens},
    organisation: organisation?.(at, chance, route),
    hint: Math.max(1, Math.round(output * error)),
    work: output + promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN,
    repeatsLeft: chance.between(1, 2),
    rejections: [],
  };
}

/** Returns the sum of the values that callers got. */
export function valueServed(results: readonly CallerResult[]): number {
  const valueOf = ({outcome, route}: CallerResult) => {
    if (outcome === 'lost') return 0;
    return route.valueInTime * (outcome === 'in_time' ? 1 : LATE_VALUE);
  };
  return results.reduce((sum, one) => sum + valueOf(one), 0);
}

/**
 * Returns the fraction of the callers that were served, or served in time.
 * @param results - the callers
 * @param isInTime - whether to count only those in time
 */
export function servedFraction(
  results: readonly CallerResult[],
  isInTime = false,
): number {
  const served = results.filter(({outcome}) =>
    isInTime ? outcome === 'in_time' : outcome !== 'lost',
  );
  return served.length / Math.max(1, results.length);
}
