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
import {PrefixMap} from './prefix_map.js';
import {
  BLOCK_CHARACTERS,
  MAX_PREFIX_BLOCKS,
  promptPrefix,
  promptText,
} from './prompt_prefix.js';
import type {Replica} from './replica_book.js';
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

function replicas(count: number, zone = HOME) {
  return Array.from({length: count}, (_, i) => ({
    incarnation: incarnation(`${zone}-${i}`),
    availabilityZone: zone,
  }));
}

let made = 0;

function call(parts: {prefix?: number[]; callerService?: typeof CALLER} = {}) {
  const id = callId(`call-${made++}`);
  return {callId: id, service: SERVICE, deadlineAt: 1_000, ...parts};
}

function router(): Router {
  return new Router(HOME, new Chance(1));
}

/** Where a call goes, or why it goes nowhere. */
function goes(
  to: Router,
  among: ReturnType<typeof replicas>,
  options: {
    now?: number;
    exclude?: readonly Incarnation[];
    retryOf?: ErrorName;
    of?: ReturnType<typeof call>;
  } = {},
): string {
  const {now = 0, exclude = [], retryOf, of = call()} = options;
  const wish = {call: of, replicas: among, exclude, retryOf};
  const route = to.choose(now, wish);
  return route.chosen ? route.upstream.incarnation : route.why;
}

describe('choice of a replica', () => {
  const [a, b, c] = replicas(3) as [Replica, Replica, Replica];
  const all = [a, b, c];

  it.each([
    {name: 'queued', busy: {running: 16, queued: 9}},
    {name: 'pendingBlocks', busy: {pendingBlocks: 50}},
    {name: 'msPerBlock', busy: {msPerBlock: 400}},
  ])('avoids a replica with much $name', ({busy}) => {
    const one = router();
    one.loaded(0, a.incarnation, {...LOAD, ...busy});
    for (const {incarnation: id} of [b, c]) one.loaded(0, id, LOAD);
    for (let i = 0; i < 6; i++) expect(goes(one, all)).not.toBe('home-0');
  });

  it('counts what it sent since the last report', () => {
    const one = router();
    for (const {incarnation: id} of all) one.loaded(0, id, LOAD);
    const to = all.map(() => goes(one, all));
    expect(new Set(to).size).toBe(3);
  });

  it('follows the cached start of a prompt, and not past the bound', () => {
    const one = router();
    const prefix = [1, 2, 3, 4, 5, 6];
    for (const {incarnation: id} of all) one.loaded(0, id, LOAD);
    const first = goes(one, all, {of: call({prefix})});
    one.loaded(0, incarnation(first), LOAD);
    expect(goes(one, all, {of: call({prefix})})).toBe(first);
    const sink = {...LOAD, running: 16, queued: 40};
    one.loaded(0, incarnation(first), sink);
    expect(goes(one, all, {of: call({prefix})})).not.toBe(first);
  });

  it('does not follow a cached start to a replica far above the mean', () => {
    const one = router();
    const prefix = [1, 2, 3, 4, 5, 6];
    const {incarnation: full} = a;
    one.cached(full, {type: 'cache', seq: 1, stored: prefix, removed: []});
    one.loaded(0, full, {...LOAD, running: 12});
    for (const {incarnation: id} of [b, c]) one.loaded(0, id, LOAD);
    expect(goes(one, all, {of: call({prefix})})).not.toBe(full);
    one.loaded(0, full, {...LOAD, running: 1});
    expect(goes(one, all, {of: call({prefix})})).toBe(full);
  });

  it('counts the calls that fill the places since the last report', () => {
    const one = router();
    const almost = {...LOAD, running: 15, msPerBlock: 1, drainPerSecond: 1};
    one.loaded(0, a.incarnation, almost);
    one.loaded(0, b.incarnation, {...LOAD, msPerBlock: 50});
    const to = [1, 2, 3].map(() => goes(one, [a, b]));
    expect(to).toEqual(['home-0', 'home-1', 'home-1']);
  });

  it('spills to another zone only when the own one is behind', () => {
    const one = router();
    const away = replicas(1, availabilityZone('away'));
    one.loaded(0, a.incarnation, LOAD);
    one.loaded(0, away[0]!.incarnation, LOAD);
    expect(goes(one, [a, ...away])).toBe('home-0');
    one.loaded(0, a.incarnation, {...LOAD, pendingBlocks: 10});
    expect(goes(one, [a, ...away])).toBe('away-0');
  });

  it('leaves a silent replica although its last report was good', () => {
    const one = router();
    const of = call();
    for (const {incarnation: id} of all) one.loaded(0, id, LOAD);
    const silent = goes(one, all, {of});
    for (let i = 0; i < 9; i++) {
      one.loaded(900, incarnation(silent), LOAD);
      expect(goes(one, all, {now: 900})).not.toBe(silent);
      for (const {incarnation: id} of all) one.loaded(900, id, LOAD);
    }
  });

  it.each([
    {name: 'none', among: [], exclude: [], said: 'no_replica'},
    {name: 'all', among: [a], exclude: [a.incarnation], said: 'all_tried'},
  ])('says so when $name can be had', ({among, exclude, said}) => {
    expect(goes(router(), among, {exclude})).toBe(said);
  });

  it.each([
    {reason: 'overloaded', said: 'nested_retry'},
    {reason: 'draining', said: 'home-0'},
  ] as const)('tries a nested call again after $reason: $said', one => {
    const of = call({callerService: CALLER});
    const with_ = router();
    const shares = new Map([[CALLER, 1]]);
    with_.configure(new Map([[SERVICE, {inFlight: 9, shares}]]));
    expect(goes(with_, [a], {of, retryOf: one.reason})).toBe(one.said);
  });
});

describe('the budget of retries', () => {
  it('keeps attempts within 1.1 of the calls and the reserve', () => {
    const steps = fc.array(fc.boolean(), {minLength: 50, maxLength: 500});
    const property = fc.property(steps, all => {
      const budget = new RetryBudget();
      let fresh = 0;
      let retries = 0;
      for (const isFresh of all) {
        if (isFresh) budget.fresh(SERVICE);
        fresh += isFresh ? 1 : 0;
        if (!isFresh && budget.spend(SERVICE, 'overloaded')) retries += 1;
        expect(retries).toBeLessThanOrEqual(0.1 * fresh + 10 + 1e-9);
      }
    });
    fc.assert(property, {seed: 64, numRuns: 200});
  });
});

describe('outliers', () => {
  const ids = replicas(4).map(({incarnation: id}) => id);
  const [x] = ids as [Incarnation];
  const left = (d: OutlierDetector, now: number) =>
    d.inService(now, replicas(4)).length;

  it('leaves out what fails in a row, for a while, and longer again', () => {
    const detector = new OutlierDetector();
    const fail = (now: number) => {
      for (let i = 0; i < 5; i++) detector.failed(now, x);
    };
    fail(0);
    expect([left(detector, 9_999), left(detector, 10_000)]).toEqual([3, 4]);
    fail(10_000);
    expect([left(detector, 29_999), left(detector, 30_000)]).toEqual([3, 4]);
    expect(detector.warmth(30_000, x)).toBeLessThan(0.2);
    expect(detector.warmth(50_000, x)).toBe(1);
  });

  it('forgives failures between which calls went well', () => {
    const detector = new OutlierDetector();
    for (let i = 0; i < 40; i++) {
      detector.failed(0, x);
      if (i % 4 === 3) detector.succeeded(x);
    }
    expect(left(detector, 1)).toBe(4);
  });

  it('never leaves out more than half', () => {
    const detector = new OutlierDetector();
    for (const id of ids.slice(0, 3)) {
      for (let i = 0; i < 5; i++) detector.failed(0, id);
    }
    expect(left(detector, 1)).toBe(4);
  });

  it.each([
    {pace: 29, kept: 4},
    {pace: 31, kept: 3},
  ])('takes $pace ms a token beside 10 ms: $kept kept', ({pace, kept}) => {
    const detector = new OutlierDetector();
    ids.forEach((id, i) => detector.paced(id, i === 0 ? pace : 10));
    detector.findStragglers(0, ids);
    expect(left(detector, 1)).toBe(kept);
  });
});

describe('bulkheads', () => {
  it('bounds a service and each edge, and frees what ends', () => {
    const bulkhead = new Bulkhead();
    const shares = new Map([[CALLER, 0.5]]);
    bulkhead.configure(new Map([[SERVICE, {inFlight: 4, shares}]]));
    const ids = Array.from({length: 6}, () => call().callId);
    const enter = (i: number, from?: typeof CALLER) =>
      bulkhead.enter(ids[i]!, SERVICE, from);
    expect([enter(0, CALLER), enter(1, CALLER), enter(2, CALLER)]).toEqual([
      'fits',
      'fits',
      'edge_full',
    ]);
    expect([enter(2), enter(3), enter(4)]).toEqual([
      'fits',
      'fits',
      'service_full',
    ]);
    expect(enter(0, CALLER)).toBe('fits');
    bulkhead.leave(ids[0]!);
    bulkhead.leave(ids[0]!);
    expect([enter(4), enter(5)]).toEqual(['fits', 'service_full']);
    expect(enter(5, serviceName('other'))).toBe('undeclared');
  });
});

describe('prefix maps', () => {
  it('matches the leading blocks, whatever was evicted', () => {
    const prompt = fc.array(fc.integer({min: 0, max: 40}), {maxLength: 8});
    const property = fc.property(fc.array(prompt, {maxLength: 40}), all => {
      const map = new PrefixMap(30);
      for (const parts of all) {
        const prefix = parts.map((_, i) => hashOf(parts.slice(0, i + 1)));
        const matched = map.match(prefix);
        expect(matched).toBeLessThanOrEqual(prefix.length);
        map.used(prefix);
        expect(map.match(prefix)).toBe(prefix.length);
        expect(map.size).toBeLessThanOrEqual(30);
      }
    });
    fc.assert(property, {seed: 65, numRuns: 100});
  });

  it.each([
    {name: 'in order', seqs: [5, 6, 7], gaps: 0, size: 3},
    {name: 'with a gap', seqs: [5, 7, 8], gaps: 1, size: 3},
    {name: 'repeated', seqs: [5, 5, 4], gaps: 0, size: 1},
  ])('takes events $name', ({seqs, gaps, size}) => {
    const map = new PrefixMap();
    seqs.forEach((seq, i) =>
      map.apply({type: 'cache', seq, stored: [100 + i], removed: []}),
    );
    expect({gaps: map.gaps, size: map.size}).toEqual({gaps, size});
  });

  it('drops what the engine removed', () => {
    const map = new PrefixMap();
    map.used([1, 2, 3]);
    map.apply({type: 'cache', seq: 1, stored: [], removed: [3]});
    expect(map.match([1, 2, 3])).toBe(2);
  });
});

describe('the prefix of a prompt', () => {
  const block = 'x'.repeat(BLOCK_CHARACTERS);

  it('is shared as far as prompts are alike', () => {
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
      name: 'parts',
      body: {messages: [{role: 'user', content: [1]}]},
      text: 'user\n[1]\n',
    },
    {name: 'null messages', body: {messages: [null]}, text: ''},
    {name: 'neither', body: {messages: 7}, text: ''},
  ])('reads $name', ({body, text}) => {
    expect(promptText(body)).toBe(text);
  });
});

function hashOf(parts: readonly number[]): number {
  return parts.reduce((hash, part) => (hash * 41 + part + 1) % 0xffff_ffff, 7);
}
