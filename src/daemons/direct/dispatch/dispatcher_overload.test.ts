import {describe, expect, it} from 'vitest';

import {testRegistration} from '../../../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../../../core/index.js';
import type {ServiceName} from '../../../core/index.js';
import {UpstreamTable, requestId} from '../../../direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../../observability/index.js';
import type {Fields, Logger} from '../../../observability/index.js';
import type {DispatchRequest, DispatchState} from './dispatch_request.js';
import {Dispatcher} from './dispatcher.js';

const MODEL = serviceName('draft');
const PLAIN = serviceName('app');
const TARGET = 400;
/** Requests that a group gets before its first start. */
const INITIAL_LIMIT = 4;

function createDispatcher() {
  const table = new UpstreamTable();
  for (let i = 0; i < 4; i++)
    table.register(0, testRegistration(`u${i}`, {service: MODEL}));
  table.register(0, testRegistration('p0', {service: PLAIN}));
  const lines: {event: string; fields: Fields}[] = [];
  const logger: Logger = {
    ...SILENT_LOGGER,
    info: (event, fields = {}) => lines.push({event, fields}),
    warn: () => undefined,
    error: () => undefined,
  };
  const metrics = new Metrics();
  const dispatcher = new Dispatcher(
    {
      upstreamsOf: service => table.forService(service),
      hasEngines: service => service === MODEL,
      isByPriority: service => service === MODEL,
      groupOf: ({registration}) => registration.service,
      slowdownOf: () => 1,
      entryCount: () => 6,
    },
    availabilityZone('a'),
    new Chance(1),
    logger,
    new Containment(logger, metrics),
    metrics,
  );
  const sent: string[] = [];
  const rejected = new Map<string, DispatchState>();
  const submit = (
    name: string,
    now: number,
    change: Partial<DispatchRequest> = {},
    service: ServiceName = MODEL,
  ) => {
    const req: DispatchRequest = {
      ...{service, promptTokens: 800, priority: 1, target: TARGET},
      id: requestId(name),
      route: 'r',
      triedIncarnations: new Set(),
      targetAt: now + TARGET,
      expiresAt: now + 2_000,
      deadlineAt: now + 8_000,
      callerTimeout: 8_000,
      mayWait: true,
      trySpend: () => true,
      send: () => sent.push(name),
      reject: (_cause, state) => rejected.set(name, state),
      ...change,
    };
    dispatcher.submit(now, req);
    return req;
  };
  const fill = () => {
    for (let i = 0; i < INITIAL_LIMIT; i++) submit(`first ${i}`, 0);
  };
  return {dispatcher, table, lines, metrics, sent, rejected, submit, fill};
}

const count = async (metrics: Metrics, name: string) =>
  (await metrics.registry.getSingleMetric(name)!.get()).values;

describe('Dispatcher in overload', () => {
  it('sends the most valuable first, and logs each that waited', async () => {
    const {dispatcher, lines, metrics, sent, submit, fill} = createDispatcher();
    fill();
    submit('low', 10, {priority: 2});
    submit('urgent', 20, {priority: 0});
    dispatcher.recordStarted(110, MODEL, 0, TARGET);
    expect(sent.slice(INITIAL_LIMIT)).toEqual(['urgent', 'low']);
    const delayed = lines.filter(({event}) => event === 'request_delayed');
    expect(delayed.map(({fields}) => fields)).toMatchObject([
      {id: 'urgent', priority: 0, waited_ms: 90, ahead: 0, repeated: false},
      {id: 'low', priority: 2, waited_ms: 100, ahead: 0},
    ]);
    expect(await count(metrics, 'baobabspan_queue_delays_total')).toEqual([
      {value: 1, labels: {priority: 0, service: MODEL}},
      {value: 1, labels: {priority: 2, service: MODEL}},
    ]);
  });

  it('rejects all that wait while a group stalls, each with its reason', async () => {
    // Fails if requests wait beyond their callers, or end without a line.
    const {dispatcher, lines, metrics, rejected, submit, fill} =
      createDispatcher();
    fill();
    for (let i = 0; i < 5; i++) submit(`waiting ${i}`, 10 + i);
    dispatcher.dispatchQueued(1_500);
    expect(rejected.size).toBe(0);
    dispatcher.dispatchQueued(1_900);
    expect(rejected.size).toBe(5);
    for (const state of rejected.values()) {
      expect(state).toMatchObject({shed: 'expired', reason: 'full'});
      expect(state.retryIn).toBeGreaterThan(0);
      expect(state.retryIn).toBeLessThanOrEqual((8_010 - 1_900) / 3 + 5);
    }
    const shed = lines.filter(({event}) => event === 'request_shed');
    expect(shed.map(({fields}) => fields.id)).toEqual(
      [0, 1, 2, 3, 4].map(i => `waiting ${i}`),
    );
    expect(shed[4]!.fields).toMatchObject({
      reason: 'expired',
      priority: 1,
      waited_ms: 1_886,
      left_ms: 114,
    });
    expect(await count(metrics, 'baobabspan_queue_sheds_total')).toEqual([
      {value: 5, labels: {reason: 'expired', priority: 1, service: MODEL}},
    ]);
    expect(dispatcher.queueLength).toBe(0);
  });

  it('rejects those that wait as their group goes down, with that reason', () => {
    // Fails if the line of a request that waited does not lead to the group.
    const {dispatcher, table, lines, rejected, submit, fill} =
      createDispatcher();
    fill();
    submit('waiting', 10);
    const [rank] = table.forService(MODEL);
    dispatcher.markGroupUnavailable(100, rank!, 'another rank');
    dispatcher.dispatchQueued(110);
    expect(rejected.get('waiting')).toMatchObject({reason: 'down'});
    const shed = lines.filter(({event}) => event === 'request_shed');
    expect(shed.map(({fields}) => fields)).toMatchObject([
      {id: 'waiting', reason: 'down', priority: 1, waited_ms: 100, ahead: 0},
    ]);
  });

  it('keeps the others in the queue if the step of one throws', () => {
    // Fails if an exception of one request loses those that wait with it.
    const {dispatcher, sent, rejected, submit, fill} = createDispatcher();
    fill();
    const send = () => {
      throw new Error('fault of a test');
    };
    submit('broken', 10, {send, priority: 0});
    submit('sound', 20);
    dispatcher.recordStarted(110, MODEL, 0, TARGET);
    expect([...rejected.keys()]).toEqual(['broken']);
    dispatcher.recordStarted(120, MODEL, 0, TARGET);
    expect(sent).toContain('sound');
  });

  it('sends requests of a plain service at once while a model is full', () => {
    // Fails if requests of one service wait for the capacity of another.
    const {dispatcher, sent, submit, fill} = createDispatcher();
    fill();
    for (let i = 0; i < 30; i++) submit(`waiting ${i}`, 10);
    submit('plain', 20, {mayWait: false}, PLAIN);
    submit('plain stream', 20, {}, PLAIN);
    expect(sent.slice(INITIAL_LIMIT)).toEqual(['plain', 'plain stream']);
    expect(dispatcher.statusAt(20)).toMatchObject({
      waiting: 30,
      queues: [
        {service: MODEL, byPriority: true, waiting: {'1_in_time': 30}},
        {service: PLAIN, byPriority: false, waiting: {}},
      ],
    });
  });
});
