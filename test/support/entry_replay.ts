import {
  Chance,
  availabilityZone,
  incarnation,
  serviceName,
} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {Dispatcher} from '../../src/daemons/direct/dispatcher.js';
import type {DispatchRequest} from '../../src/daemons/direct/dispatcher.js';
import type {Upstream} from '../../src/direct/index.js';
import {SILENT_LOGGER} from '../../src/observability/index.js';
import {testRegistration} from './direct_samples.js';
import {
  SteppingGroup,
  TWELVE_RANK_GROUP,
  poissonArrivals,
} from './stepping_group.js';

/** Load of a group and the demand shifts that skew it. */
export interface ReplayLoad {
  readonly entries: number;
  readonly perSecond: number;
  readonly duration: Millis;
  readonly seed: number;
  readonly skew: (now: Millis) => number;
  /** Whether the ranks reject each request, as the group is incomplete. */
  readonly isBroken?: (now: Millis) => boolean;
}

/** Result of the requests of a replay. */
export interface ReplayResult {
  inTime: number;
  late: number;
  rejected: number;
  /** Times of the rejections. */
  readonly rejectedAt: Millis[];
}

const SERVICE = serviceName('assistant');
const LATENCY_TARGET: Millis = 500;
const GAP_TARGET: Millis = 120;
const PATIENCE: Millis = 2_000;
const MEAN_EVENTS = 20;
const MAX_EVENTS = 60;
const PROMPT_TOKENS = 850;
/** Time in which a rank rejects a request. */
const REJECTION_TIME: Millis = 4;
const GROUP = 'g';

/**
 * Replays a load on the dispatchers of several entries before one model group.
 * @param load - the load
 * @param hasGapTarget - whether the dispatchers learn of gaps
 */
export function replay(load: ReplayLoad, hasGapTarget = true): ReplayResult {
  const chance = new Chance(load.seed);
  const group = new SteppingGroup(TWELVE_RANK_GROUP, load.skew, load.isBroken);
  const ranks: Upstream[] = Array.from(
    {length: TWELVE_RANK_GROUP.ranks},
    (_, i) => ({
      registration: testRegistration(`rank-${i}`, {
        slots: TWELVE_RANK_GROUP.slots,
      }),
      incarnation: incarnation(`rank-${i}@1`),
      warmAt: 0,
    }),
  );
  const dispatchers = Array.from(
    {length: load.entries},
    () =>
      new Dispatcher(
        {
          upstreamsOf: () => ranks,
          hasEngines: () => true,
          groupOf: () => GROUP,
          slowdownOf: () => 1,
          entryCount: () => load.entries,
        },
        availabilityZone('a'),
        chance,
        SILENT_LOGGER,
      ),
  );
  const result: ReplayResult = {
    inTime: 0,
    late: 0,
    rejected: 0,
    rejectedAt: [],
  };
  /** Responses of ranks that reject a request. */
  const rejections: {readonly at: Millis; deliver(now: Millis): void}[] = [];
  const arrivals = poissonArrivals(chance, load.perSecond, load.duration);
  const end = load.duration + 8_000;
  let clock = 0;
  for (let now = 0; now < end; now++) {
    clock = now;
    while ((arrivals[0] ?? Infinity) <= now) {
      arrivals.shift();
      arrive(now, chance.pick(dispatchers));
    }
    while ((rejections[0]?.at ?? Infinity) <= now)
      rejections.shift()!.deliver(now);
    group.tick(now);
    if (now % 50 === 0) for (const one of dispatchers) one.dispatchQueued(now);
  }
  return result;

  function arrive(arrivedAt: Millis, dispatcher: Dispatcher): void {
    const drawn = Math.ceil(-Math.log(1 - chance.fraction()) * MEAN_EVENTS);
    const events = Math.min(MAX_EVENTS, Math.max(1, drawn));
    let isOnTime = true;
    let lastAt = arrivedAt;
    const req: DispatchRequest = {
      service: SERVICE,
      promptTokens: PROMPT_TOKENS,
      priority: 1,
      triedIncarnations: new Set(),
      target: LATENCY_TARGET,
      targetAt: arrivedAt + LATENCY_TARGET,
      expiresAt: arrivedAt + PATIENCE,
      mayWait: true,
      trySpend: () => true,
      reject: () => {
        result.rejected += 1;
        result.rejectedAt.push(clock);
      },
      send: (sentAt, upstream) => {
        dispatcher.loads.recordSent(upstream.incarnation, PROMPT_TOKENS);
        const recordEnded = (now: Millis, hasStarted: boolean) => {
          const {incarnation: id} = upstream;
          const outcome = hasStarted ? 'good' : 'neutral';
          dispatcher.loads.recordEnded(now, id, PROMPT_TOKENS, outcome);
          dispatcher.recordEnded(now, GROUP, hasStarted);
        };
        if (load.isBroken?.(sentAt) === true) {
          rejections.push({
            at: sentAt + REJECTION_TIME,
            deliver: now => {
              dispatcher.markGroupUnavailable(now, upstream, 'missing rank');
              recordEnded(now, false);
              req.reject('group_down');
            },
          });
          return;
        }
        group.submit({
          rank: ranks.indexOf(upstream),
          promptTokens: PROMPT_TOKENS,
          events,
          onEvent: (now, index) => {
            const gap = now - lastAt;
            isOnTime &&= gap <= (index === 0 ? LATENCY_TARGET : GAP_TARGET);
            lastAt = now;
            if (index === 0)
              dispatcher.recordStarted(now, GROUP, sentAt, LATENCY_TARGET);
            else if (hasGapTarget)
              dispatcher.recordGap(now, GROUP, gap, GAP_TARGET);
          },
          onEnd: now => {
            recordEnded(now, true);
            result[isOnTime ? 'inTime' : 'late'] += 1;
          },
        });
      },
    };
    dispatcher.submit(arrivedAt, req);
  }
}

/**
 * Returns the skew of a group whose maps follow periodic demand shifts in two
 * stages; copying lengthens passes.
 * @param interval - time between two shifts
 * @param peak - skew right after a shift
 */
export function shiftingSkew(
  interval: Millis,
  peak: number,
): (now: Millis) => number {
  return now => {
    const since = now % interval;
    if (now < interval) return 1.1;
    if (since < 600) return peak;
    if (since < 1_200) return peak * COPY_FACTOR;
    if (since < 1_800) return 1.4 * COPY_FACTOR;
    return 1.1;
  };
}

const COPY_FACTOR = 1.15;
