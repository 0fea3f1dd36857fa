import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../../core/index.js';
import {UpstreamTable} from '../../direct/index.js';
import {SILENT} from '../../observability/index.js';
import {Dispatcher} from './dispatcher.js';
import type {Dispatch} from './dispatcher.js';

const ASSISTANT = serviceName('assistant');
const TARGET = 400;

function world(ranks = 4) {
  const table = new UpstreamTable();
  for (let i = 0; i < ranks; i++) table.register(0, testRegistration(`u${i}`));
  const dispatcher = new Dispatcher(
    {
      upstreamsOf: service => table.forService(service),
      hasEngines: () => true,
      groupOf: () => 'g',
      slowdownOf: () => 1,
      entries: () => 6,
    },
    availabilityZone('a'),
    new Chance(1),
    SILENT,
  );
  const log: string[] = [];
  const request = (name: string, arrivedAt: number): Dispatch => ({
    service: ASSISTANT,
    promptTokens: 800,
    priority: 1,
    tried: new Set(),
    target: TARGET,
    targetAt: arrivedAt + TARGET,
    expiresAt: arrivedAt + 2_000,
    mayWait: true,
    claim: () => true,
    send: () => log.push(`sent ${name}`),
    refuse: cause => log.push(`${cause} ${name}`),
  });
  const submit = (
    name: string,
    now: number,
    change: Partial<Dispatch> = {},
  ) => {
    const req = {...request(name, now), ...change};
    dispatcher.submit(now, req);
    return req;
  };
  return {dispatcher, table, log, submit};
}

describe('Dispatcher', () => {
  it('sends what a group starts in time, and lets the rest wait', () => {
    const {dispatcher, log, submit} = world();
    for (const [at, name] of ['a', 'b', 'c', 'd', 'e', 'f'].entries()) {
      submit(name, at);
    }
    expect(log).toEqual(['sent a', 'sent b', 'sent c', 'sent d']);
    expect(dispatcher.waiting).toBe(2);
    submit('g', 100);
    dispatcher.started(200, 'g', 0, TARGET);
    // One has started and the limit has grown by one.
    expect(log.slice(4)).toEqual(['sent g', 'sent f']);
    expect(dispatcher.waiting).toBe(1);
  });

  it('refuses what waited for nothing before its caller leaves', () => {
    const {dispatcher, log, submit} = world();
    for (const name of ['a', 'b', 'c', 'd', 'e']) submit(name, 0);
    dispatcher.advance(1_800);
    expect(log).not.toContain('overloaded e');
    dispatcher.advance(1_900);
    expect(log).toContain('overloaded e');
    expect(dispatcher.waiting).toBe(0);
  });

  it('refuses at once while a group is down, what waits included', () => {
    const {dispatcher, table, log, submit} = world();
    for (const name of ['a', 'b', 'c', 'd', 'e']) submit(name, 0);
    const [rank] = table.forService(ASSISTANT);
    dispatcher.groupFell(100, rank!, 'another rank');
    submit('f', 110);
    dispatcher.advance(110);
    expect(log.slice(4).sort()).toEqual(['group_down e', 'group_down f']);
  });

  it('forgets a request whose caller has left', () => {
    const {dispatcher, log, submit} = world();
    for (const name of ['a', 'b', 'c', 'd']) submit(name, 0);
    const left = submit('e', 0);
    expect(dispatcher.waiting).toBe(1);
    dispatcher.withdraw(left);
    dispatcher.endedUnstarted(10, 'g');
    expect(log).toHaveLength(4);
    expect(dispatcher.waiting).toBe(0);
  });

  it('does not send what the budget of repeats does not allow', () => {
    const {dispatcher, log, submit} = world();
    submit('a', 0, {claim: () => false});
    expect(log).toEqual(['overloaded a']);
    expect(dispatcher.status).toMatchObject({waiting: 0});
  });

  it('spares an upstream that asked for a pause, and tells when it ends', () => {
    const {dispatcher, table, log, submit} = world(2);
    const [first, second] = table.forService(ASSISTANT);
    dispatcher.loads.recordBackoff(0, first!.incarnation, 3_000);
    const sentTo: string[] = [];
    const ends: (number | undefined)[] = [];
    const change: Partial<Dispatch> = {
      send: (_now, upstream) => sentTo.push(upstream.registration.id),
      refuse: (_cause, notBefore) => ends.push(notBefore),
    };
    for (let i = 0; i < 3; i++) submit('a', i, change);
    expect(new Set(sentTo)).toEqual(new Set([second!.registration.id]));
    dispatcher.loads.recordBackoff(10, second!.incarnation, 1_000);
    // A shorter pause does not end a longer one.
    dispatcher.loads.recordBackoff(20, first!.incarnation, 100);
    submit('b', 30, change);
    expect(sentTo).toHaveLength(3);
    expect(ends).toEqual([1_010]);
    submit('c', 1_010, change);
    expect(sentTo).toHaveLength(4);
    expect(log).toEqual([]);
  });

  it('refuses a request that has been to every upstream', () => {
    const {table, log, submit} = world(1);
    const [only] = table.forService(ASSISTANT);
    submit('a', 0, {tried: new Set([only!.incarnation])});
    expect(log).toEqual(['no_upstream a']);
  });
});
