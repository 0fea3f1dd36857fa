import {expect, it} from 'vitest';

import {testRegistration} from '../../../../test/support/direct_samples.js';
import {Chance, availabilityZone, serviceName} from '../../../core/index.js';
import {UpstreamTable} from '../../../direct/index.js';
import {
  Containment,
  Metrics,
  SILENT_LOGGER,
} from '../../../observability/index.js';
import type {ZoneFilter} from './dispatch_request.js';
import {Dispatcher} from './dispatcher.js';

const SERVICE = serviceName('model');
const ENTRIES = 4;
const ENGINE = {
  slots: 7,
  stepsPerPass: 7,
  stepTime: 4.84,
  stepTimePerStream: 0.62,
  stepTimePerContextToken: 0.000_019,
  promptTokensPerSecond: 74_800,
  promptChunk: 512,
  usualPromptTokens: 800,
  usualAnswerTokens: 160,
};

/** Evacuates zone a. */
const EVACUATION: ZoneFilter = {
  isEmpty: false,
  isEvacuated: ({registration}) => registration.availabilityZone === 'a',
  recordKeptAway: () => undefined,
};

/** Returns an entry, and counts what it sends to ranks in the named zones. */
function createEntry(
  zones: readonly string[],
  counts: Record<string, number> = {},
) {
  const table = new UpstreamTable();
  for (const [id, zone] of zones.entries()) {
    const place = {service: SERVICE, availabilityZone: availabilityZone(zone)};
    table.register(0, testRegistration(`rank-${id}`, place));
  }
  const pacing = {engine: ENGINE, gapTarget: 120};
  const metrics = new Metrics();
  const dispatcher = new Dispatcher(
    {
      upstreamsOf: service => table.forService(service),
      hasEngines: () => true,
      isByPriority: () => false,
      pacingOf: () => pacing,
      groupOf: () => 'model',
      slowdownOf: () => 1,
      entryCount: () => ENTRIES,
    },
    availabilityZone('b'),
    new Chance(1),
    SILENT_LOGGER,
    new Containment(SILENT_LOGGER, metrics),
    metrics,
    EVACUATION,
  );
  const submit = () =>
    dispatcher.submit(0, {
      ...{service: SERVICE, promptTokens: 800, priority: 1, mayWait: true},
      ...{target: 400, targetAt: 400, expiresAt: 2_000},
      ...{triedIncarnations: new Set(), trySpend: () => true},
      send: (_at, {registration: {id}}) => {
        counts[id] = (counts[id] ?? 0) + 1;
      },
      reject: () => undefined,
    });
  return {dispatcher, submit};
}

it('spreads paced streams evenly over the ranks that are not evacuated', () => {
  // Fails if the streams of several entries whose place is on an evacuated rank
  // go to one other rank, for which all ranks of the group wait.
  const counts: Record<string, number> = {};
  for (let index = 0; index < ENTRIES; index++) {
    const {dispatcher, submit} = createEntry(['a', 'a', 'b', 'b'], counts);
    dispatcher.setShare({index, count: ENTRIES});
    submit();
  }
  expect(counts).toEqual({'rank-2': 2, 'rank-3': 2});
});

it('limits streams by the number of ranks that are not evacuated', () => {
  // Fails if the equal share of an entry counts ranks that get no streams.
  const limitsAt = (zones: readonly string[]) => {
    const {dispatcher, submit} = createEntry(zones);
    for (let i = 0; i < 8; i++) submit();
    for (let now = 1_000; now < 3_000; now += 150) {
      dispatcher.recordGap(now, 'model', 150, 120);
    }
    const status = dispatcher.statusAt(3_000) as {groups: object[]};
    return status.groups;
  };
  const limits = limitsAt(['b', 'b']);
  expect(limits).toMatchObject([{streamLimit: expect.any(Number) as number}]);
  expect(limitsAt(['a', 'a', 'a', 'a', 'b', 'b'])).toEqual(limits);
});
