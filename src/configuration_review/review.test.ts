import {describe, expect, it} from 'vitest';

import {
  testConfiguration,
  testRoute,
} from '../../test/support/direct_samples.js';
import {organisationName, serviceName} from '../core/index.js';
import type {DirectConfiguration, Route} from '../direct/index.js';
import {flatLines, reviewConfiguration} from './index.js';
import type {ReviewContext} from './index.js';

const MODEL = serviceName('assistant');
const NEXT = serviceName('next');

const service = (name = MODEL) => ({
  ...{name, hasEngines: false, experts: undefined},
});
const organisation = (name: string, ...keys: string[]) => ({
  ...{name: organisationName(name), keys, priority: undefined},
});

const GOOD = testConfiguration(7, {
  services: [service()],
  organisations: [organisation('depot', 'k1')],
});
const withRoute = (change: Partial<Route>): Partial<DirectConfiguration> => ({
  routes: [testRoute(change)],
});
/** Octets of `GET /plan/ HTTP/1.1`, Host, Authorization with `k1`: 21, 20, 26, 2. */
const SHORTEST_HEAD = 69;
const withLimits = (
  change: Partial<DirectConfiguration['limits']>,
): Partial<DirectConfiguration> => ({limits: {...GOOD.limits, ...change}});
const targets = (...weights: number[]) => ({
  routes: [
    testRoute({
      targets: weights.map((weight, i) => ({
        ...{weight, service: i === 0 ? MODEL : NEXT},
      })),
    }),
  ],
  services: [service(), service(NEXT)],
});

describe('reviewConfiguration', () => {
  it('finds nothing in a sound configuration', () => {
    const context = {versionInForce: 6, upstreams: new Map([[MODEL, 2]])};
    expect(reviewConfiguration(GOOD, context)).toEqual([]);
  });

  type Case = [string, Partial<DirectConfiguration>, string[], ReviewContext?];
  it.each<Case>([
    [
      'two routes with one host, whatever its case, and one prefix',
      {routes: [testRoute(), testRoute({name: 'b', host: 'VANS.example'})]},
      ['error route b unreachable-route'],
    ],
    [
      'a longer prefix behind a shorter one, which is reached',
      {routes: [testRoute({pathPrefix: '/'}), testRoute({name: 'b'})]},
      [],
    ],
    [
      'a host with a port',
      withRoute({host: 'vans.example:80'}),
      ['error route plan unreachable-route'],
    ],
    [
      'a prefix with a query',
      withRoute({pathPrefix: '/a?b'}),
      ['error route plan unreachable-route'],
    ],
    [
      'a prefix without its slash',
      withRoute({pathPrefix: 'a/'}),
      ['error route plan unreachable-route'],
    ],
    [
      'an undeclared service',
      {services: []},
      ['error route plan unknown-service'],
    ],
    [
      'an unused service',
      {services: [service(), service(NEXT)]},
      ['warning service next unused-service'],
    ],
    [
      'a target of weight 0',
      targets(1, 0),
      ['warning route plan zero-weight', 'warning service next unused-service'],
    ],
    [
      'only targets of weight 0',
      targets(0, 0),
      ['warning route plan zero-weight', 'warning service next unused-service'],
    ],
    [
      'a negative weight',
      targets(2, -1),
      ['error route plan bad-weight', 'warning service next unused-service'],
    ],
    [
      'a time-out below the latency target',
      withRoute({timeout: 399}),
      ['error route plan contradicting-limits'],
    ],
    [
      'more attempts than the time-out has room for',
      withRoute({timeout: 799}),
      ['warning route plan contradicting-limits'],
    ],
    [
      'a gap target that no stream meets',
      withRoute({gapTarget: 0}),
      ['error route plan contradicting-limits'],
    ],
    [
      'a gap target as long as the time-out',
      withRoute({gapTarget: 8_000}),
      ['error route plan contradicting-limits'],
    ],
    [
      'stream settings of a route without streams',
      withRoute({repeat: 'idempotent'}),
      [
        'warning route plan contradicting-limits',
        'warning route plan contradicting-limits',
      ],
    ],
    [
      'more attempts than upstreams',
      {},
      ['warning route plan contradicting-limits'],
      {upstreams: new Map([[MODEL, 1]])},
    ],
    [
      'a header limit that no request meets',
      withLimits({maxHeaderBytes: SHORTEST_HEAD - 1}),
      ['error route plan contradicting-limits'],
    ],
    [
      'a header limit that one meets',
      withLimits({maxHeaderBytes: SHORTEST_HEAD}),
      [],
    ],
    [
      'a body limit of 0',
      withLimits({maxBodyBytes: 0}),
      ['warning limits contradicting-limits'],
    ],
    [
      'an idle time-out below the header time-out',
      withLimits({idleTimeout: 2_999}),
      ['error limits contradicting-limits'],
    ],
    [
      'no time for a head',
      withLimits({headerTimeout: 0}),
      ['error limits contradicting-limits'],
    ],
    [
      'a key of two organisations, and one without keys',
      {
        organisations: [
          organisation('a', 'k'),
          organisation('b', 'k'),
          organisation('c'),
        ],
      },
      ['error organisation b duplicate-key', 'warning organisation c no-key'],
    ],
    [
      'a key that no header holds',
      {organisations: [organisation('a', 'k\n')]},
      ['error organisation a unusable-key'],
    ],
    [
      'keys that no route needs',
      withRoute({needsKey: false}),
      ['warning organisations unused-keys'],
    ],
    [
      'routes that need keys without organisations',
      {organisations: []},
      ['warning organisations unchecked-keys'],
    ],
    [
      'engines without an expert layout',
      {services: [{...service(), hasEngines: true}]},
      ['warning service assistant no-expert-layout'],
    ],
    [
      'a service that is declared twice',
      {services: [service(), service()]},
      ['error service assistant duplicate-name'],
    ],
    [
      'a version that would not be in force',
      {},
      ['error version 7 stale-version'],
      {versionInForce: 7},
    ],
  ])('finds %s', (_name, change, expected, context = {}) => {
    const remarks = reviewConfiguration({...GOOD, ...change}, context);
    expect(
      remarks.map(({severity, place, rule}) => `${severity} ${place} ${rule}`),
    ).toEqual(expected);
  });
});

describe('flatLines', () => {
  it('names what each value belongs to, in an order of its own', () => {
    const nameOf = (item: unknown) => (item as {id?: string}).id;
    const document = {b: [{id: 'x', v: [1, {}]}, {v: []}], a: null};
    expect(flatLines(document, nameOf)).toEqual([
      'a = null',
      'b[x].id = "x"',
      'b[x].v[1] = 1',
      'b[x].v[2] = {}',
      'b[2].v = []',
    ]);
  });
});
