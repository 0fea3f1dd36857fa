import {
  Chance,
  SECOND,
  availabilityZone,
  incarnation,
  serviceName,
} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {Dispatcher} from '../../src/daemons/direct/dispatch/index.js';
import type {Upstream} from '../../src/direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../src/observability/index.js';
import {testRegistration} from './direct_samples.js';
import {ENGINE, GAP_TARGET, START_TARGET} from './pacing_load.js';
import type {PacedStream, PacingLoad} from './pacing_load.js';
import {SteppingGroup, poissonArrivals} from './stepping_group.js';

/** With 23 events, 72 ranks of 7 slots could not run the streams of the peaks. */
const MEAN_EVENTS = 16;
const GROUP = 'g';
const SERVICE = serviceName('assistant');
const QUEUE_CHECK_INTERVAL: Millis = 50;
const ZONES = ['a', 'b', 'c'];

/**
 * Replays a load on the dispatchers of several entries before one group.
 * @param load - the load
 */
export function replayPacing(load: PacingLoad): PacedStream[] {
  const chance = new Chance(load.seed);
  // The load is the same whatever the dispatchers draw.
  const choices = new Chance(load.seed + 1);
  const streams: PacedStream[] = [];
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
    registeredAt: 0,
    isRestart: false,
  }));
  const pacing = {engine: ENGINE, gapTarget: GAP_TARGET};
  const createDispatcher = (entry: number) => {
    const metrics = new Metrics();
    const dispatcher = new Dispatcher(
      {
        upstreamsOf: () => ranks,
        hasEngines: () => true,
        isByPriority: () => false,
        groupOf: () => GROUP,
        slowdownOf: () => 1,
        entryCount: () => load.entries,
        pacingOf: () => (load.isPaced ? pacing : undefined),
      },
      availabilityZone(ZONES[entry % ZONES.length]!),
      choices,
      SILENT_LOGGER,
      new Containment(SILENT_LOGGER, metrics),
      metrics,
    );
    dispatcher.setShare({index: entry, count: load.entries});
    return dispatcher;
  };
  const dispatchers = Array.from({length: load.entries}, (_, i) =>
    createDispatcher(i),
  );

  const submit = (now: Millis, entry: number) => {
    const dispatcher = dispatchers[entry]!;
    const promptTokens = Math.round(830 * 3 ** (chance.fraction() - 0.5));
    const drawn = -Math.log(1 - chance.fraction()) * MEAN_EVENTS;
    const events = Math.min(3 * MEAN_EVENTS, Math.max(1, Math.round(drawn)));
    const stream: PacedStream = {at: now, entry, waited: 0, gap: 0};
    streams.push(stream);
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
  }
  return streams;
}
