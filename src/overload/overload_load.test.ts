import {describe, expect, it} from 'vitest';

import {
  AJU_WAVES,
  BURST_OF_ALL,
  CAPACITY,
  FLOOD,
  LEAST_URGENT_BURST,
  PRIORITY_LOADS,
  STEADY,
  isBurst,
} from '../../bench/queue/overload_loads.js';
import {
  AJU,
  HEARTHLINE,
  replayOverload,
  servedFraction,
  valueServed,
} from '../../bench/queue/overload_replay.js';
import type {
  CallerResult,
  LoadRoute,
  OverloadLoad,
  QueueKind,
} from '../../bench/queue/overload_replay.js';

const SEEDS = [1, 2, 3];
/** Largest difference of the fractions served of two routes. */
const SERVED_INVERSION = 0.05;
/** The same for the fractions served in time. */
const IN_TIME_INVERSION = 0.15;

function replayAll(load: OverloadLoad, kind: QueueKind): CallerResult[] {
  return SEEDS.flatMap(seed => replayOverload(load, kind, seed));
}

const ofRoute = (results: readonly CallerResult[], name: string) =>
  results.filter(({route}) => route.name === name);

const cache = new Map<string, CallerResult[]>();
function resultsOf(name: string, load: OverloadLoad, kind: QueueKind) {
  const key = `${name}/${kind}`;
  let results = cache.get(key);
  if (results === undefined) {
    results = replayAll(load, kind);
    cache.set(key, results);
  }
  return results;
}

/** Fails if work decides so often that large requests always lose. */
function expectLargeServed(
  results: readonly CallerResult[],
  routes: readonly LoadRoute[],
): void {
  for (const {name} of routes) {
    const bySize = ofRoute(results, name).sort((a, b) => b.work - a.work);
    const at = (fraction: number) => Math.round(fraction * bySize.length);
    const half = servedFraction(bySize) / 2;
    const largest = bySize.slice(0, at(0.1));
    const next = bySize.slice(at(0.1), at(0.3));
    expect(servedFraction(largest)).toBeGreaterThanOrEqual(half);
    expect(servedFraction(next)).toBeGreaterThanOrEqual(half);
  }
}

describe.each(PRIORITY_LOADS)('OverloadQueue under %s', (name, load) => {
  const results = resultsOf(name, load, 'by_priority');

  it('serves no less value than the scanned queue', () => {
    // Fails if a change of the order or of shedding loses value.
    const before = valueServed(resultsOf(name, load, 'scanned'));
    expect(valueServed(results)).toBeGreaterThanOrEqual(before);
  });

  it('inverts no priorities', () => {
    // Fails if a more urgent route bears the overload for a less urgent one.
    for (const urgent of HEARTHLINE) {
      for (const other of HEARTHLINE) {
        if (other.priority <= urgent.priority) continue;
        for (const isInTime of [false, true]) {
          const of = ({name: route}: LoadRoute) =>
            servedFraction(ofRoute(results, route), isInTime);
          const bound = isInTime ? IN_TIME_INVERSION : SERVED_INVERSION;
          expect(of(urgent)).toBeGreaterThan(of(other) - bound);
        }
      }
    }
  });

  it('serves large requests at least half as often as their route', () => {
    expectLargeServed(results, HEARTHLINE);
  });

  it('asks callers back within the time that they honour', () => {
    // Fails if a Retry-After is longer than callers wait, and they are lost.
    for (const {rejections} of results) {
      for (const {retryIn, timeLeft} of rejections)
        expect(retryIn).toBeLessThanOrEqual(timeLeft / 3);
    }
  });
});

describe('OverloadQueue under a burst of the least urgent route', () => {
  // Entries share the capacity equally, whatever the priorities of their
  // requests are; at one entry the order of the queue alone decides.
  const load: OverloadLoad = {...LEAST_URGENT_BURST, entries: 1};
  const results = replayAll(load, 'by_priority');
  const isInBurst = ({at}: CallerResult) => isBurst(at);

  it('keeps the steady urgent routes in time', () => {
    // Fails if a burst of low urgency takes the capacity of urgent requests.
    for (const name of ['note', 'reply']) {
      const inBurst = ofRoute(results, name).filter(isInBurst);
      expect(servedFraction(inBurst, true)).toBeGreaterThan(0.95);
    }
  });
});

describe('OverloadQueue with equal priorities', () => {
  it('serves waves of zones out of phase as the scanned queue does', () => {
    // Fails if deployments with equal priorities are served otherwise.
    const served = (kind: QueueKind, isInTime: boolean) =>
      servedFraction(replayAll(AJU_WAVES, kind), isInTime);
    for (const isInTime of [false, true]) {
      const before = served('scanned', isInTime);
      expect(served('equal', isInTime)).toBeGreaterThan(before - 0.02);
    }
  });
});

describe('OverloadQueue with equal priorities in a burst of all routes', () => {
  it('serves large requests at least half as often as their route', () => {
    const load = {...BURST_OF_ALL, routes: AJU, capacity: () => 190};
    expectLargeServed(replayAll(load, 'equal'), AJU);
  });
});

describe('OverloadQueue with room for all', () => {
  it.each(['equal', 'by_priority'] as const)(
    'lets no request starve (%s)',
    kind => {
      // Fails if requests of low value wait although there is capacity.
      const load = {...STEADY, capacity: () => 1.25 * CAPACITY};
      const results = replayAll(load, kind);
      expect(servedFraction(results)).toBeGreaterThan(0.999);
      expect(servedFraction(results, true)).toBeGreaterThan(0.99);
    },
  );
});

describe('OverloadQueue under one organisation that floods', () => {
  it.each(['equal', 'by_priority'] as const)(
    'delays and rejects the flood first (%s)',
    kind => {
      // Fails if a flood takes the share of the other organisations.
      const inBurst = replayAll(FLOOD, kind).filter(({at}) => isBurst(at));
      const isFlood = ({organisation}: CallerResult) =>
        organisation === 'flood';
      const others = inBurst.filter(one => !isFlood(one));
      const ofFlood = inBurst.filter(isFlood);
      expect(servedFraction(others)).toBeGreaterThan(0.95);
      expect(servedFraction(others, true)).toBeGreaterThan(0.9);
      expect(servedFraction(ofFlood, true)).toBeLessThan(
        servedFraction(others, true) - 0.2,
      );
    },
  );

  it('serves the others more often than the scanned queue does', () => {
    const others = (kind: QueueKind) =>
      replayAll(FLOOD, kind).filter(
        ({at, organisation}) => isBurst(at) && organisation !== 'flood',
      );
    expect(servedFraction(others('equal'), true)).toBeGreaterThan(
      servedFraction(others('scanned'), true) + 0.1,
    );
  });
});

describe('OverloadQueue and repeated requests', () => {
  // At one entry the group's capacity is that of its queue.
  const load: OverloadLoad = {...BURST_OF_ALL, entries: 1, capacity: () => 185};

  it('serves more value if it recognizes them', () => {
    // Fails if a request that is late already takes the place of one in time.
    const recognized = valueServed(replayAll(load, 'by_priority'));
    const hidden = {...load, hidesTimeLeft: true};
    const unrecognized = valueServed(replayAll(hidden, 'by_priority'));
    expect(recognized).toBeGreaterThan(unrecognized);
  });

  it('lets fewer callers come back while the burst lasts', () => {
    // Fails if Retry-After leads callers into the overload that rejected them.
    const returnsInBurst = (kind: QueueKind) =>
      replayAll(load, kind)
        .flatMap(({rejections}) => rejections)
        .filter(({at, retryIn}) => isBurst(at) && isBurst(at + retryIn));
    expect(returnsInBurst('by_priority').length).toBeLessThan(
      returnsInBurst('scanned').length,
    );
  });
});
