import {
  Chance,
  SECOND,
  availabilityZone,
  incarnation,
  serviceName,
} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {Dispatcher} from '../../src/daemons/direct/dispatch/index.js';
import type {EngineProfile, Upstream} from '../../src/direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../src/observability/index.js';
import {testRegistration} from './direct_samples.js';
import {SteppingGroup, poissonArrivals} from './stepping_group.js';

/** Load of one group from the entries of several zones. */
export interface PacingLoad {
  readonly entries: number;
  readonly ranks: number;
  readonly duration: Millis;
  readonly seed: number;
  /** Mean rate of all entries together. */
  readonly perSecond: number;
  /** Rate of a zone (0 to 2) as a multiple of its mean. */
  readonly demand?: (zone: number, now: Millis) => number;
  /** Expert load of the most loaded rank over the mean. */
  readonly skew: (now: Millis) => number;
  /** Factor by which a rank is slower. */
  readonly slowdown?: (rank: number, now: Millis) => number;
  /** Whether the group is held, as for a change of its map. */
  readonly isHeld?: (now: Millis) => boolean;
  /** Time at which the first entry is replaced by one that knows nothing. */
  readonly restartAt?: Millis;
  readonly isPaced: boolean;
}

/** One caller's stream; `start` is undefined if it was rejected. */
export interface PacedStream {
  readonly at: Millis;
  readonly entry: number;
  /** Time in the entry's queue. */
  waited: Millis;
  start?: Millis;
  /** Longest gap between two events. */
  gap: Millis;
}

/** Whether a stream started and went on in time. */
export const isInTime = ({start, gap}: PacedStream) =>
  start !== undefined && start <= START_TARGET && gap <= GAP_TARGET;

/**
 * Returns a skew that differs at random each 120 ms, about one pass.
 * @param mean - mean skew
 * @param spread - greatest difference from it, as a part of it
 * @param seed - seed of the differences
 */
export function randomSkew(
  mean: number,
  spread: number,
  seed: number,
): (now: Millis) => number {
  const chance = new Chance(seed);
  const draws = Array.from({length: 400}, () => 2 * chance.fraction() - 1);
  return now => mean * (1 + spread * draws[Math.floor(now / 120) % 400]!);
}

/** Demand of three zones that oscillates by +-55 in 100, out of phase. */
export const oscillating = (zone: number, now: Millis) =>
  1 + 0.55 * Math.sin(2 * Math.PI * (now / (13 * SECOND) - 0.18 * zone));

/** What was measured; loads of ranks and streams of entries each 100 ms. */
export interface PacingResult {
  readonly streams: PacedStream[];
  readonly samples: {at: Millis; ranks: number[]; entries: number[]}[];
}

export const ENGINE: EngineProfile = {
  slots: 7,
  stepsPerPass: 7,
  stepTime: 4.84,
  stepTimePerStream: 0.62,
  stepTimePerContextToken: 0.019 / 1_000,
  promptTokensPerSecond: 74_800,
  promptChunk: 512,
  usualPromptTokens: 830,
  usualAnswerTokens: 161,
};
export const START_TARGET: Millis = 403;
export const GAP_TARGET: Millis = 120;
const MEAN_EVENTS = 16;
const GROUP = 'g';
const SERVICE = serviceName('assistant');
/** Time between two samples of the loads. */
const SAMPLE_INTERVAL: Millis = 100;
const QUEUE_CHECK_INTERVAL: Millis = 50;
const ZONES = ['a', 'b', 'c'];

/**
 * Replays a load on the dispatchers of several entries before one group.
 * @param load - the load
 */
export function replayPacing(load: PacingLoad): PacingResult {
  const chance = new Chance(load.seed);
  // The load is the same whatever the dispatchers draw.
  const choices = new Chance(load.seed + 1);
  const result: PacingResult = {streams: [], samples: []};
  const shape = {
    ranks: load.ranks,
    slots: ENGINE.slots,
    stepsPerPass: ENGINE.stepsPerPass,
    stepTime: ENGINE.stepTime,
    stepTimePerStream: ENGINE.stepTimePerStream,
    prefillTokensPerMs: ENGINE.promptTokensPerSecond / SECOND,
    prefillTokensPerPass: 4 * ENGINE.promptChunk,
    expertShare: 0.85,
  };
  const {skew, isHeld, slowdown} = load;
  const group = new SteppingGroup(shape, skew, isHeld, slowdown);
  const ranks: Upstream[] = Array.from({length: load.ranks}, (_, i) => ({
    registration: testRegistration(`rank-${i}`, {
      slots: ENGINE.slots,
      availabilityZone: availabilityZone(ZONES[i % ZONES.length]!),
    }),
    incarnation: incarnation(`rank-${i}@1`),
    warmAt: 0,
  }));
  const pacing = {engine: ENGINE, gapTarget: GAP_TARGET};
  const createDispatcher = (entry: number) =>
    new Dispatcher(
      {
        upstreamsOf: () => ranks,
        hasEngines: () => true,
        groupOf: () => GROUP,
        slowdownOf: () => 1,
        entryCount: () => load.entries,
        pacingOf: () => (load.isPaced ? pacing : undefined),
      },
      availabilityZone(ZONES[entry % ZONES.length]!),
      choices,
      SILENT_LOGGER,
      new Containment(SILENT_LOGGER, new Metrics()),
    );
  const dispatchers = Array.from({length: load.entries}, (_, i) =>
    createDispatcher(i),
  );
  const onRank = new Array<number>(load.ranks).fill(0);
  const atEntry = new Array<number>(load.entries).fill(0);

  const submit = (now: Millis, entry: number) => {
    const dispatcher = dispatchers[entry]!;
    const promptTokens = Math.round(830 * 3 ** (chance.fraction() - 0.5));
    const drawn = -Math.log(1 - chance.fraction()) * MEAN_EVENTS;
    const events = Math.min(3 * MEAN_EVENTS, Math.max(1, Math.round(drawn)));
    const stream: PacedStream = {at: now, entry, waited: 0, gap: 0};
    result.streams.push(stream);
    dispatcher.submit(now, {
      service: SERVICE,
      promptTokens,
      priority: 1,
      triedIncarnations: new Set(),
      target: START_TARGET,
      targetAt: now + START_TARGET,
      expiresAt: now + 2 * SECOND,
      mayWait: true,
      trySpend: () => true,
      reject: () => undefined,
      send: (sentAt, upstream) => {
        const rank = ranks.indexOf(upstream);
        const {incarnation: id} = upstream;
        stream.waited = sentAt - now;
        onRank[rank]! += 1;
        atEntry[entry]! += 1;
        dispatcher.loads.recordSent(id, promptTokens);
        let lastAt = sentAt;
        group.submit({
          rank,
          promptTokens,
          events,
          onEvent: (at, index) => {
            const gap = at - lastAt;
            lastAt = at;
            if (index === 0) {
              stream.start = at - now;
              dispatcher.recordStarted(at, GROUP, sentAt, START_TARGET);
              return;
            }
            stream.gap = Math.max(stream.gap, gap);
            dispatcher.recordGap(at, GROUP, gap, GAP_TARGET);
          },
          onEnd: at => {
            onRank[rank]! -= 1;
            atEntry[entry]! -= 1;
            dispatcher.loads.recordEnded(at, id, promptTokens, 'good');
            dispatcher.recordEnded(at, GROUP, true);
          },
        });
      },
    });
  };

  // Arrivals at the highest rate are thinned to the demand of their zone.
  const arrivals = poissonArrivals(chance, 2 * load.perSecond, load.duration);
  for (let now = 0; now < load.duration + 5 * SECOND; now++) {
    if (now === load.restartAt) dispatchers[0] = createDispatcher(0);
    while ((arrivals[0] ?? Infinity) <= now) {
      arrivals.shift();
      const entry = chance.between(0, load.entries - 1);
      const demand = load.demand?.(entry % ZONES.length, now) ?? 1;
      if (chance.fraction() * 2 < demand) submit(now, entry);
    }
    group.tick(now);
    if (now % QUEUE_CHECK_INTERVAL === 0) {
      for (const one of dispatchers) one.dispatchQueued(now);
    }
    if (now % SAMPLE_INTERVAL === 0 && now < load.duration) {
      result.samples.push({at: now, ranks: [...onRank], entries: [...atEntry]});
    }
  }
  return result;
}
