import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../../../core/index.js';
import {UpstreamTable} from '../../../direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../../observability/index.js';
import type {DispatchRequest} from './dispatch_request.js';
import {Dispatcher} from './dispatcher.js';

const ASSISTANT = serviceName('assistant');
const TARGET = 400;

function createDispatcher(ranks = 4) {
  const table = new UpstreamTable();
  for (let i = 0; i < ranks; i++) table.register(0, testRegistration(`u${i}`));
  const dispatcher = new Dispatcher(
    {
      upstreamsOf: service => table.forService(service),
      hasEngines: () => true,
      groupOf: () => 'g',
      slowdownOf: () => 1,
      entryCount: () => 6,
      isByPriority: () => false,
    },
    availabilityZone('a'),
    new Chance(1),
    SILENT_LOGGER,
    new Containment(SILENT_LOGGER, new Metrics()),
    new Metrics(),
  );
  const log: string[] = [];
  const request = (name: string, arrivedAt: number): DispatchRequest => ({
    service: ASSISTANT,
    promptTokens: 800,
    priority: 1,
    triedIncarnations: new Set(),
    target: TARGET,
    targetAt: arrivedAt + TARGET,
    expiresAt: arrivedAt + 2_000,
    mayWait: true,
    trySpend: () => true,
    send: () => log.push(`sent ${name}`),
    reject: cause => log.push(`${cause} ${name}`),
  });
  const submit = (
    name: string,
    now: number,
    change: Partial<DispatchRequest> = {},
  ) => {
    const req = {...request(name, now), ...change};
    dispatcher.submit(now, req);
    return req;
  };
  return {dispatcher, table, log, submit};
}

describe('Dispatcher', () => {
  it('sends requests up to the limit of the group and queues the others', () => {
    const {dispatcher, log, submit} = createDispatcher();
    for (const [at, name] of ['a', 'b', 'c', 'd', 'e', 'f'].entries()) {
      submit(name, at);
    }
    expect(log).toEqual(['sent a', 'sent b', 'sent c', 'sent d']);
    expect(dispatcher.queueLength).toBe(2);
    submit('g', 100);
    dispatcher.recordStarted(200, 'g', 0, TARGET);
    // One request has started, and the limit has grown by one.
    expect(log.slice(4)).toEqual(['sent g', 'sent f']);
    expect(dispatcher.queueLength).toBe(1);
  });

  it('rejects a queued request before its caller disconnects', () => {
    const {dispatcher, log, submit} = createDispatcher();
    for (const name of ['a', 'b', 'c', 'd', 'e']) submit(name, 0);
    dispatcher.dispatchQueued(1_800);
    expect(log).not.toContain('overloaded e');
    dispatcher.dispatchQueued(1_900);
    expect(log).toContain('overloaded e');
    expect(dispatcher.queueLength).toBe(0);
  });

  it('rejects new and queued requests while a group is unavailable', () => {
    const {dispatcher, table, log, submit} = createDispatcher();
    for (const name of ['a', 'b', 'c', 'd', 'e']) submit(name, 0);
    const [rank] = table.forService(ASSISTANT);
    dispatcher.markGroupUnavailable(100, rank!, 'another rank');
    submit('f', 110);
    dispatcher.dispatchQueued(110);
    expect(log.slice(4).sort()).toEqual(['group_down e', 'group_down f']);
  });

  it('removes a queued request whose caller has disconnected', () => {
    const {dispatcher, log, submit} = createDispatcher();
    for (const name of ['a', 'b', 'c', 'd']) submit(name, 0);
    const disconnected = submit('e', 0);
    expect(dispatcher.queueLength).toBe(1);
    dispatcher.withdraw(disconnected);
    dispatcher.recordEnded(10, 'g', false);
    expect(log).toHaveLength(4);
    expect(dispatcher.queueLength).toBe(0);
  });

  it('rejects a request that exceeds the retry budget', () => {
    const {dispatcher, log, submit} = createDispatcher();
    submit('a', 0, {trySpend: () => false});
    expect(log).toEqual(['overloaded a']);
    expect(dispatcher.statusAt(0)).toMatchObject({waiting: 0});
  });

  it('skips an upstream during its backoff and reports the end of the backoff', () => {
    const {dispatcher, table, log, submit} = createDispatcher(2);
    const [first, second] = table.forService(ASSISTANT);
    dispatcher.loads.recordBackoff(0, first!.incarnation, 3_000);
    const sentTo: string[] = [];
    const ends: (number | undefined)[] = [];
    const change: Partial<DispatchRequest> = {
      send: (_now, upstream) => sentTo.push(upstream.registration.id),
      reject: (_cause, {notBefore}) => ends.push(notBefore),
    };
    for (let i = 0; i < 3; i++) submit('a', i, change);
    expect(new Set(sentTo)).toEqual(new Set([second!.registration.id]));
    dispatcher.loads.recordBackoff(10, second!.incarnation, 1_000);
    // A shorter backoff does not end a longer one.
    dispatcher.loads.recordBackoff(20, first!.incarnation, 100);
    submit('b', 30, change);
    expect(sentTo).toHaveLength(3);
    expect(ends).toEqual([1_010]);
    submit('c', 1_010, change);
    expect(sentTo).toHaveLength(4);
    expect(log).toEqual([]);
  });

  it('rejects a request that was sent to every upstream', () => {
    const {table, log, submit} = createDispatcher(1);
    const [only] = table.forService(ASSISTANT);
    submit('a', 0, {triedIncarnations: new Set([only!.incarnation])});
    expect(log).toEqual(['no_upstream a']);
  });
});
