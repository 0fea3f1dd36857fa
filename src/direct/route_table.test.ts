import {describe, expect, it} from 'vitest';

import {
  testConfiguration,
  testRoute,
} from '../../test/support/direct_samples.js';
import {Chance, organisationName, serviceName} from '../core/index.js';
import {ConfigurationHolder, RouteTable, pickService} from './index.js';

describe('RouteTable', () => {
  const open = testRoute({name: 'open', pathPrefix: '/o/', needsKey: false});
  const longer = testRoute({name: 'longer', pathPrefix: '/plan/x/'});
  const organisations = [
    {name: organisationName('vans'), keys: ['k1'], priority: 0},
    {name: organisationName('depot'), keys: ['k2'], priority: undefined},
  ];
  const table = new RouteTable(
    testConfiguration(1, {
      routes: [testRoute(), longer, open],
      organisations,
    }),
  );

  it.each([
    ['longest prefix', 'vans.example', '/plan/x/1', 'k1', 'longer'],
    [
      'query is not part of the path',
      'vans.example',
      '/plan/1?/plan/x/',
      'k1',
      'plan',
    ],
    [
      'host in any case, with a port',
      'VANS.example:80',
      '/plan/1',
      'k1',
      'plan',
    ],
    ['no key needed', 'vans.example', '/o/1', undefined, 'open'],
    ['unknown key where none is needed', 'vans.example', '/o/1', 'no', 'open'],
    ['wrong host', 'other.example', '/plan/1', 'k1', 'unknown_route'],
    [
      'prefix without its final slash',
      'vans.example',
      '/planner',
      'k1',
      'unknown_route',
    ],
    ['unknown key', 'vans.example', '/plan/1', 'no', 'unauthorized'],
    ['no key', 'vans.example', '/plan/1', undefined, 'unauthorized'],
    ['prototype names', 'vans.example', '/plan/1', '__proto__', 'unauthorized'],
  ])('%s', (_name, host, path, key, expected) => {
    const decision = table.decide(host, path, key);
    const found =
      decision.kind === 'allowed' ? decision.route.name : decision.kind;
    expect(found).toBe(expected);
  });

  it("prefers the organisation's priority over the route's", () => {
    const vans = table.decide('vans.example', '/plan/1', 'k1');
    const depot = table.decide('vans.example', '/plan/1', 'k2');
    expect(vans).toMatchObject({priority: 0, organisation: 'vans'});
    expect(depot).toMatchObject({priority: 1, organisation: 'depot'});
  });

  it('picks services by weight', () => {
    const targets = [
      {service: serviceName('old'), weight: 90},
      {service: serviceName('new'), weight: 10},
      {service: serviceName('off'), weight: 0},
    ];
    const chance = new Chance(1);
    const route = testRoute({targets});
    const picked = Array.from({length: 2_000}, () =>
      pickService(route, chance),
    );
    const share = picked.filter(name => name === 'new').length / picked.length;
    expect(share).toBeGreaterThan(0.07);
    expect(share).toBeLessThan(0.13);
    expect(picked).not.toContain('off');
  });

  it('never replaces a version by an older one', () => {
    const holder = new ConfigurationHolder();
    const offered = [3, 7, 5, 7, 9].map(n =>
      holder.offer(testConfiguration(n)),
    );
    expect(offered).toEqual([true, true, false, false, true]);
    expect(holder.current?.configuration.version).toBe(9);
  });
});
