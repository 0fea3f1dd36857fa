import {okAsync} from 'neverthrow';
import {afterEach, expect, it} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {RankClient} from '../../clients/index.js';
import {
  Chance,
  availabilityZone,
  serviceName,
  vmName,
} from '../../core/index.js';
import type {CutoverOrder} from '../../expert_groups/index.js';
import {
  Metrics,
  SILENT_LOGGER,
  SystemClock,
} from '../../observability/index.js';
import {startContext} from '../shared/start_context.js';
import {DependencyHealth} from './dependency_health.js';
import {MapTask} from './map_task.js';
import type {MapTaskPorts} from './map_task.js';
import {RankReader} from './rank_reader.js';

/** The only rank of a group, on the map set by the test. */
class OnlyRank extends RankClient {
  map = 7;
  /** Maps whose placement was requested. */
  readonly placements: number[] = [];

  report() {
    return okAsync(testReport(0, {map: this.map, size: 1}));
  }

  expertSelections() {
    return okAsync({epoch: 1, counts: [0, 0]});
  }

  placement() {
    this.placements.push(this.map);
    return okAsync({map: this.map, experts: [[0, 1]]});
  }

  async sendOrder(_order: CutoverOrder) {
    return 'accepted' as const;
  }

  async sendOrderAndReport(order: CutoverOrder) {
    const outcome = await this.sendOrder(order);
    return {outcome, report: (await this.report())._unsafeUnwrap()};
  }
}

let task: MapTask | undefined;

afterEach(() => task?.stop());

it('requests the placement of the local rank again after a map switch', async () => {
  const clock = new SystemClock();
  const engine = new OnlyRank();
  const context = startContext(
    'sidecar',
    {
      vm: vmName('side'),
      availabilityZone: availabilityZone('a'),
      host: '127.0.0.1',
      service: serviceName('llm'),
    },
    {
      clock,
      chance: new Chance(1),
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
    },
  );
  const ports = {
    reader: new RankReader(
      engine,
      new DependencyHealth('engine', clock, SILENT_LOGGER),
    ),
    engine,
    registry: {
      register: async () => okAsync(undefined),
      claim: async () => okAsync({claim: 1, isOwn: true}),
      newestClaim: async () => okAsync(undefined),
      ranks: async () => okAsync(new Map()),
    },
    links: {broadcast: () => undefined, disconnect: () => undefined},
    self: {sidecar: 'a:1', engine: 'a:2', pace: 1},
  } as unknown as MapTaskPorts;
  task = new MapTask(context, ports);
  task.post({
    type: 'configured',
    profile: {
      layerSets: 1,
      expertsPerSet: 2,
      slotsPerRank: 2,
      newPerChange: 1,
      expertMegabytes: 1,
      copyTime: 1,
    },
  });
  const until = async (isMet: () => boolean) => {
    const end = performance.now() + 8_000;
    while (!isMet() && performance.now() < end) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    return isMet();
  };
  expect(await until(() => engine.placements.includes(7))).toBe(true);
  // A map armed by an earlier coordinator takes effect.
  engine.map = 9;
  expect(await until(() => engine.placements.includes(9))).toBe(true);
}, 20_000);
