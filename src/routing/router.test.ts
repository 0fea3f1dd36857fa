import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  Chance,
  availabilityZone,
  callId,
  incarnation,
  serviceName,
} from '../core/index.js';
import type {Incarnation} from '../core/index.js';
import type {ErrorName} from '../errors/index.js';
import {Bulkhead} from './bulkhead.js';
import {OutlierDetector} from './outlier_detector.js';
import {PrefixIndex} from './prefix_index.js';
import {
  BLOCK_CHARACTERS,
  MAX_PREFIX_BLOCKS,
  promptPrefix,
  promptText,
} from './prompt_prefix.js';
import type {Replica} from './replica_tracker.js';
import {RetryBudget} from './retry_budget.js';
import {Router} from './router.js';

const SERVICE = serviceName('assistant');
const CALLER = serviceName('planner');
const HOME = availabilityZone('home');
const LOAD = {
  queued: 0,
  running: 0,
  concurrency: 16,
  drainPerSecond: 10,
  pendingBlocks: 0,
  msPerBlock: 20,
  msPerToken: 10,
};

function createReplicas(count: number, zone = HOME) {
  return Array.from({length: count}, (_, i) => ({
    incarnation: incarnation(`${zone}-${i}`),
    availabilityZone: zone,
  }));
}

let callCount = 0;

function createCall(
  parts: {prefix?: number[]; callerService?: typeof CALLER} = {},
) {
  const id = callId(`call-${callCount++}`);
  return {callId: id, service: SERVICE, deadlineAt: 1_000, ...parts};
}

function createRouter(): Router {
  return new Router(HOME, new Chance(1));
}

/** Returns the selected upstream, or the cause of a rejection. */
function route(
  router: Router,
  replicas: ReturnType<typeof createReplicas>,
  options: {
    now?: number;
    exclude?: readonly Incarnation[];
    retryOf?: ErrorName;
    call?: ReturnType<typeof createCall>;
  } = {},
): string {
  const {now = 0, exclude = [], retryOf, call = createCall()} = options;
  const request = {call, replicas, exclude, retryOf};
  const result = router.choose(now, request);
  return result.chosen ? result.upstream.incarnation : result.cause;
}

describe('Router', () => {
  const [a, b, c] = createReplicas(3) as [Replica, Replica, Replica];
  const all = [a, b, c];

  it.each([
    {name: 'queued', busy: {running: 16, queued: 9}},
    {name: 'pendingBlocks', busy: {pendingBlocks: 50}},
    {name: 'msPerBlock', busy: {msPerBlock: 400}},
  ])('avoids a replica with high $name', ({busy}) => {
    const router = createRouter();
    router.recordLoad(0, a.incarnation, {...LOAD, ...busy});
    for (const {incarnation: id} of [b, c]) router.recordLoad(0, id, LOAD);
    for (let i = 0; i < 6; i++) expect(route(router, all)).not.toBe('home-0');
  });

  it('counts calls sent since the last load report', () => {
    const router = createRouter();
    for (const {incarnation: id} of all) router.recordLoad(0, id, LOAD);
    const to = all.map(() => route(router, all));
    expect(new Set(to).size).toBe(3);
  });

  it('prefers a replica with a cached prefix unless it is overloaded', () => {
    const router = createRouter();
    const prefix = [1, 2, 3, 4, 5, 6];
    for (const {incarnation: id} of all) router.recordLoad(0, id, LOAD);
    const first = route(router, all, {call: createCall({prefix})});
    router.recordLoad(0, incarnation(first), LOAD);
    expect(route(router, all, {call: createCall({prefix})})).toBe(first);
    const overloaded = {...LOAD, running: 16, queued: 40};
    router.recordLoad(0, incarnation(first), overloaded);
    expect(route(router, all, {call: createCall({prefix})})).not.toBe(first);
  });

  it('ignores a cached prefix at a replica far above the mean backlog', () => {
    const router = createRouter();
    const prefix = [1, 2, 3, 4, 5, 6];
    const {incarnation: busy} = a;
    router.applyCacheEvents(busy, {
      type: 'cache',
      seq: 1,
      stored: prefix,
      removed: [],
    });
    router.recordLoad(0, busy, {...LOAD, running: 12});
    for (const {incarnation: id} of [b, c]) router.recordLoad(0, id, LOAD);
    expect(route(router, all, {call: createCall({prefix})})).not.toBe(busy);
    router.recordLoad(0, busy, {...LOAD, running: 1});
    expect(route(router, all, {call: createCall({prefix})})).toBe(busy);
  });

  it('counts calls sent since the last report against the concurrency', () => {
    const router = createRouter();
    const nearlyFull = {...LOAD, running: 15, msPerBlock: 1, drainPerSecond: 1};
    router.recordLoad(0, a.incarnation, nearlyFull);
    router.recordLoad(0, b.incarnation, {...LOAD, msPerBlock: 50});
    const to = [1, 2, 3].map(() => route(router, [a, b]));
    expect(to).toEqual(['home-0', 'home-1', 'home-1']);
  });

  it('probes an idle replica whose only call was slow, one call at a time', () => {
    const router = createRouter();
    const slow = {...LOAD, msPerBlock: 108};
    router.recordLoad(0, a.incarnation, slow);
    const probes: number[] = [];
    for (let now = 0; now <= 180_000; now += 100) {
      router.recordLoad(now, b.incarnation, {...LOAD, msPerBlock: 2});
      router.recordLoad(now, c.incarnation, {...LOAD, msPerBlock: 30});
      const burst = [1, 2, 3].map(() => ({
        ...createCall(),
        deadlineAt: now + 1_000,
      }));
      const chosen = burst.map(call => route(router, all, {now, call}));
      const toSlow = chosen.filter(id => id === a.incarnation);
      expect(toSlow.length).toBeLessThanOrEqual(1);
      if (toSlow.length > 0) {
        probes.push(now);
        // It is still slow, and its response says so.
        router.recordLoad(now, a.incarnation, slow);
      }
      for (const [i, {callId: id}] of burst.entries()) {
        router.recordResult(now, id, incarnation(chosen[i]!), 'answered');
        router.endCall(now, id);
      }
    }
    expect(probes.length).toBeGreaterThanOrEqual(2);
    expect(probes.length).toBeLessThanOrEqual(6);
    // Each probe that finds it slow delays the next.
    const waits = probes.map((at, i) => at - (probes[i - 1] ?? 0));
    expect(waits).toEqual([...waits].sort((a, b) => a - b));
    // Once it reports a normal time, it gets calls again.
    router.recordLoad(180_100, a.incarnation, {...LOAD, msPerBlock: 1});
    expect(route(router, all, {now: 180_100})).toBe(a.incarnation);
  });

  it('compares the same subset of many replicas for the same prefix', () => {
    const router = createRouter();
    const many = [
      ...createReplicas(60),
      ...createReplicas(60, availabilityZone('away')),
    ];
    const selected = new Set<string>();
    for (let i = 0; i < 200; i++) {
      selected.add(route(router, many, {call: createCall({prefix: [77, i]})}));
    }
    expect(selected.size).toBeLessThanOrEqual(24);
    const other = route(router, many, {call: createCall({prefix: [7_777]})});
    expect(selected.has(other)).toBe(false);
  });

  it('spills to another zone only when its own zone is slower', () => {
    const router = createRouter();
    const away = createReplicas(1, availabilityZone('away'));
    router.recordLoad(0, a.incarnation, LOAD);
    router.recordLoad(0, away[0]!.incarnation, LOAD);
    expect(route(router, [a, ...away])).toBe('home-0');
    router.recordLoad(0, a.incarnation, {...LOAD, pendingBlocks: 10});
    expect(route(router, [a, ...away])).toBe('away-0');
  });

  it('avoids an unresponsive replica despite a good load report', () => {
    const router = createRouter();
    const call = createCall();
    for (const {incarnation: id} of all) router.recordLoad(0, id, LOAD);
    const unresponsive = route(router, all, {call});
    for (let i = 0; i < 9; i++) {
      router.recordLoad(900, incarnation(unresponsive), LOAD);
      expect(route(router, all, {now: 900})).not.toBe(unresponsive);
      for (const {incarnation: id} of all) router.recordLoad(900, id, LOAD);
    }
  });

  it.each([
    {name: 'no replicas', replicas: [], exclude: [], expected: 'no_replica'},
    {
      name: 'all replicas tried',
      replicas: [a],
      exclude: [a.incarnation],
      expected: 'all_tried',
    },
  ])(
    'rejects a call with $name as $expected',
    ({replicas, exclude, expected}) => {
      expect(route(createRouter(), replicas, {exclude})).toBe(expected);
    },
  );

  it.each([
    {reason: 'overloaded', expected: 'nested_retry'},
    {reason: 'draining', expected: 'home-0'},
  ] as const)('routes a nested retry after $reason: $expected', testCase => {
    const call = createCall({callerService: CALLER});
    const router = createRouter();
    const shares = new Map([[CALLER, 1]]);
    router.configure(new Map([[SERVICE, {inFlight: 9, shares}]]));
    expect(route(router, [a], {call, retryOf: testCase.reason})).toBe(
      testCase.expected,
    );
  });
});

describe('RetryBudget', () => {
  it('limits retries to a tenth of the calls plus the reserve', () => {
    const steps = fc.array(fc.boolean(), {minLength: 50, maxLength: 500});
    const property = fc.property(steps, all => {
      const budget = new RetryBudget();
      let calls = 0;
      let retries = 0;
      for (const isFirstAttempt of all) {
        if (isFirstAttempt) budget.recordCall(SERVICE);
        calls += isFirstAttempt ? 1 : 0;
        if (!isFirstAttempt && budget.trySpend(SERVICE, 'overloaded'))
          retries += 1;
        expect(retries).toBeLessThanOrEqual(0.1 * calls + 10 + 1e-9);
      }
    });
    fc.assert(property, {seed: 64, numRuns: 200});
  });
});

describe('OutlierDetector', () => {
  const ids = createReplicas(4).map(({incarnation: id}) => id);
  const [x] = ids as [Incarnation];
  const inServiceCount = (d: OutlierDetector, now: number) =>
    d.inService(now, createReplicas(4)).length;

  it('ejects after consecutive failures, longer each time, then warms up', () => {
    const detector = new OutlierDetector();
    const fail = (now: number) => {
      for (let i = 0; i < 5; i++) detector.recordFailure(now, x);
    };
    fail(0);
    expect([
      inServiceCount(detector, 9_999),
      inServiceCount(detector, 10_000),
    ]).toEqual([3, 4]);
    fail(10_000);
    expect([
      inServiceCount(detector, 29_999),
      inServiceCount(detector, 30_000),
    ]).toEqual([3, 4]);
    expect(detector.warmUpShare(30_000, x)).toBeLessThan(0.2);
    expect(detector.warmUpShare(50_000, x)).toBe(1);
  });

  it('does not eject on failures interrupted by successes', () => {
    const detector = new OutlierDetector();
    for (let i = 0; i < 40; i++) {
      detector.recordFailure(0, x);
      if (i % 4 === 3) detector.recordSuccess(x);
    }
    expect(inServiceCount(detector, 1)).toBe(4);
  });

  it('never ejects more than half of the replicas', () => {
    const detector = new OutlierDetector();
    for (const id of ids.slice(0, 3)) {
      for (let i = 0; i < 5; i++) detector.recordFailure(0, id);
    }
    expect(inServiceCount(detector, 1)).toBe(4);
  });

  it.each([
    {msPerToken: 29, remaining: 4},
    {msPerToken: 31, remaining: 3},
  ])(
    'keeps $remaining in service with $msPerToken ms per token beside 10 ms',
    ({msPerToken, remaining}) => {
      const detector = new OutlierDetector();
      ids.forEach((id, i) =>
        detector.recordTokenTime(id, i === 0 ? msPerToken : 10),
      );
      detector.ejectStragglers(0, ids);
      expect(inServiceCount(detector, 1)).toBe(remaining);
    },
  );
});

describe('Bulkhead', () => {
  it('limits each service and edge, and releases finished calls', () => {
    const bulkhead = new Bulkhead();
    const shares = new Map([[CALLER, 0.5]]);
    bulkhead.configure(new Map([[SERVICE, {inFlight: 4, shares}]]));
    const ids = Array.from({length: 6}, () => createCall().callId);
    const acquire = (i: number, from?: typeof CALLER) =>
      bulkhead.tryAcquire(ids[i]!, SERVICE, from);
    expect([
      acquire(0, CALLER),
      acquire(1, CALLER),
      acquire(2, CALLER),
    ]).toEqual(['fits', 'fits', 'edge_full']);
    expect([acquire(2), acquire(3), acquire(4)]).toEqual([
      'fits',
      'fits',
      'service_full',
    ]);
    expect(acquire(0, CALLER)).toBe('fits');
    bulkhead.release(ids[0]!);
    bulkhead.release(ids[0]!);
    expect([acquire(4), acquire(5)]).toEqual(['fits', 'service_full']);
    expect(acquire(5, serviceName('other'))).toBe('undeclared');
  });
});

describe('PrefixIndex', () => {
  it('matches the leading blocks despite evictions', () => {
    const prompt = fc.array(fc.integer({min: 0, max: 40}), {maxLength: 8});
    const property = fc.property(fc.array(prompt, {maxLength: 40}), all => {
      const index = new PrefixIndex(30);
      for (const parts of all) {
        const prefix = parts.map((_, i) => hashOf(parts.slice(0, i + 1)));
        const matched = index.match(prefix);
        expect(matched).toBeLessThanOrEqual(prefix.length);
        index.recordUse(prefix);
        expect(index.match(prefix)).toBe(prefix.length);
        expect(index.size).toBeLessThanOrEqual(30);
      }
    });
    fc.assert(property, {seed: 65, numRuns: 100});
  });

  it.each([
    {name: 'in order', seqs: [5, 6, 7], gaps: 0, size: 3},
    {name: 'with a gap', seqs: [5, 7, 8], gaps: 1, size: 3},
    {name: 'repeated', seqs: [5, 5, 4], gaps: 0, size: 1},
  ])('applies events $name', ({seqs, gaps, size}) => {
    const index = new PrefixIndex();
    seqs.forEach((seq, i) =>
      index.apply({type: 'cache', seq, stored: [100 + i], removed: []}),
    );
    expect({gaps: index.gaps, size: index.size}).toEqual({gaps, size});
  });

  it('removes blocks that the engine removed', () => {
    const index = new PrefixIndex();
    index.recordUse([1, 2, 3]);
    index.apply({type: 'cache', seq: 1, stored: [], removed: [3]});
    expect(index.match([1, 2, 3])).toBe(2);
  });
});

describe('promptPrefix and promptText', () => {
  const block = 'x'.repeat(BLOCK_CHARACTERS);

  it('is equal up to the first differing block', () => {
    const left = promptPrefix(`${block}${block}a${block}`);
    const right = promptPrefix(`${block}${block}b${block}`);
    expect(left.slice(0, 2)).toEqual(right.slice(0, 2));
    expect(left[2]).not.toBe(right[2]);
    expect(promptPrefix(block.repeat(99))).toHaveLength(MAX_PREFIX_BLOCKS);
  });

  it.each([
    {name: 'a prompt', body: {prompt: 'p'}, text: 'p'},
    {
      name: 'messages',
      body: {messages: [{role: 'user', content: 'p'}]},
      text: 'user\np\n',
    },
    {
      name: 'content parts',
      body: {messages: [{role: 'user', content: [1]}]},
      text: 'user\n[1]\n',
    },
    {name: 'null messages', body: {messages: [null]}, text: ''},
    {name: 'neither', body: {messages: 7}, text: ''},
  ])('reads the prompt text from $name', ({body, text}) => {
    expect(promptText(body)).toBe(text);
  });
});

function hashOf(parts: readonly number[]): number {
  return parts.reduce((hash, part) => (hash * 41 + part + 1) % 0xffff_ffff, 7);
}
