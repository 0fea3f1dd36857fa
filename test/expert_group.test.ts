import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {PlatformServer} from '../standins/platform_server.js';
import {RankGroup} from '../standins/rank_engine.js';
import {WeightStore} from '../standins/weight_store.js';
import {Processes, until} from './support/processes.js';
import type {TestProcess} from './support/processes.js';

const KEY = 'test-link-key-0123456789';
const ZONE = 'plouis-room';
const SERVICE = 'kitchen-helper';
const RANKS = 3;
const KIB = 1024;
const SHAPE = {
  ranks: RANKS,
  layers: 2,
  experts: 6,
  slotsPerRank: 3,
  expertSize: 64 * KIB,
};
const CONFIGURATION_TEXT = `
schema: 1
availabilityZones: [${ZONE}]
services:
  ${SERVICE}:
    kind: model
    upstreams: {${ZONE}: ${RANKS}}
    expertGroup:
      ranks: ${RANKS}
      layers: 2
      experts: 6
      slotsPerRank: 3
      expertSize: 64 KiB
      weightSkew: 10
      weightCost: 0.1
organisations:
  room:
    tokensSha256:
      - '${'0'.repeat(64)}'
    limits: {requestsPerSecond: 1, tokensPerSecond: 1, concurrency: 1}
`;

interface Status {
  readonly group: {
    readonly map: number | null;
    readonly coordinator?: {
      readonly phase: string;
      readonly map: number;
      readonly lastChange?: {readonly outcome: string};
    };
  };
}

describe.each([{checksFencing: false}, {checksFencing: true}])(
  'a rank group behind sidecar processes, fencing $checksFencing',
  ({checksFencing}) => {
    let processes: Processes;
    let platform: PlatformServer;
    let store: WeightStore;
    let group: RankGroup;
    let commonArgs: string[];
    let sidecars: TestProcess[];

    const startSidecar = async (rank: number) => {
      const engineUrl = `http://127.0.0.1:${ports[rank]}`;
      const sidecar = processes.cli(
        ...['sidecar', '--vm', `helper-${rank}`, '--service', SERVICE],
        ...['--upstream-url', engineUrl, '--group', 'g', '--rank', `${rank}`],
        ...['--plan-every', '0.3', ...commonArgs],
      );
      sidecars[rank] = sidecar;
      return (await sidecar.waitForEvent('ready'))['links']!;
    };
    let ports: string[];

    const publishVmList = (addresses: string[]) =>
      platform.setVms(
        addresses.map((address, rank) => ({
          vm: `helper-${rank}`,
          availabilityZone: ZONE,
          address,
          service: SERVICE,
          state: 'live',
          role: 'sidecar',
        })),
      );
    let addresses: string[];

    const fetchStatus = async (rank: number): Promise<Status> => {
      const {operators} = (await sidecars[rank]!.waitForEvent('ready')) as {
        operators: string;
      };
      const res = await request(`http://${operators}/status`);
      return (await res.body.json()) as Status;
    };

    const isSwitchCommitted = async () => {
      const {coordinator} = (await fetchStatus(0)).group;
      return coordinator?.lastChange?.outcome === 'committed';
    };

    const expectOneMapPerStep = () => {
      const mixed = group.used.filter(maps => new Set(maps).size !== 1);
      expect(mixed).toEqual([]);
    };

    beforeEach(async () => {
      processes = new Processes();
      sidecars = [];
      platform = new PlatformServer();
      store = new WeightStore();
      group = new RankGroup(SHAPE, checksFencing);
      const platformUrl = await platform.listen();
      const storeUrl = await store.listen();
      ports = [];
      for (const engine of group.engines) {
        ports.push(new URL(await engine.listen()).port);
      }
      commonArgs = [
        ...['--availability-zone', ZONE, '--link-key', KEY],
        ...['--log-url', platformUrl, '--vm-list-url', platformUrl],
        ...['--weight-store-url', storeUrl],
      ];
      const record = {kind: 'publication', id: 'a', base: 0, author: 'a'};
      platform.append('configuration', {...record, text: CONFIGURATION_TEXT});
      const ranks = [...group.engines.keys()];
      addresses = await Promise.all(ranks.map(startSidecar));
      publishVmList(addresses);
      group.start(2);
      await until(() => group.used.length > 50);
    });

    afterEach(async () => {
      await processes.close();
      await group.close();
      await store.close();
      await platform.close();
    });

    it('switches the map for a hot expert despite lost answers and a limited store', async () => {
      for (const engine of group.engines) engine.loseAnswers = 2;
      store.pendingRejections = 3;
      group.popularity = [50, 1, 1, 1, 1, 1];
      await until(isSwitchCommitted);
      const steps = group.used.length;
      await until(() => group.used.length > steps + 100);
      expect(new Set(group.used.map(([map]) => map)).size).toBeGreaterThan(1);
      expect(store.servedBytes).toBeGreaterThan(0);
      expectOneMapPerStep();
    });

    it('keeps stepping when the coordinator is killed during a map switch', async () => {
      store.down = true;
      group.popularity = [50, 1, 1, 1, 1, 1];
      const staging = async () =>
        (await fetchStatus(0)).group.coordinator?.phase === 'staging';
      await until(staging);
      await sidecars[0]!.kill('SIGKILL');
      const steps = group.used.length;
      await until(() => group.used.length > steps + 100);
      store.down = false;
      addresses[0] = await startSidecar(0);
      publishVmList(addresses);
      await until(isSwitchCommitted);
      const after = group.used.length;
      await until(() => group.used.length > after + 100);
      expectOneMapPerStep();
    });
  },
);
