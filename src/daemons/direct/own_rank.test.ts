import {okAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {Clock} from '../../core/index.js';
import type {CutoverOrder} from '../../expert_groups/index.js';
import {SILENT} from '../../observability/index.js';
import {OwnRank} from './own_rank.js';
import type {OwnRankPorts} from './own_rank.js';

const TICK = 60;

class ManualClock extends Clock {
  at = 0;

  now(): number {
    return this.at;
  }

  wall(): number {
    return this.at;
  }
}

describe('OwnRank', () => {
  it('looks at a rank that loads weights when they can be there, not all the time', async () => {
    const clock = new ManualClock();
    const [takes, orderedAt] = [400, 1_000];
    const looks: number[] = [];
    const watch = {
      look: async () => {
        looks.push(clock.at);
        const isThere = clock.at >= orderedAt + takes;
        return {
          report: testReport(1, {prepared: isThere ? 7 : null}),
          chosen: [],
        };
      },
    };
    const ports = {
      watch,
      registry: {register: async () => okAsync(undefined)},
      self: {sidecar: 'a:1', engine: 'a:2', pace: 1},
    } as unknown as OwnRankPorts;
    const events = {looked: () => undefined};
    const ownRank = new OwnRank(ports, clock, events, SILENT);
    const order: CutoverOrder = {kind: 'prepare', map: 7, experts: []};
    for (; clock.at < 2 * orderedAt; clock.at += TICK) {
      if (clock.at >= orderedAt && clock.at < orderedAt + TICK) {
        ownRank.expectLoading(clock.at, {order, epoch: 1}, takes);
      }
      ownRank.tick(clock.at);
      await new Promise(resolve => setImmediate(resolve));
    }
    const during = looks.filter(
      at => at >= orderedAt && at < orderedAt + 0.8 * takes,
    );
    expect(during.length).toBeLessThan(2);
    const found = looks.find(at => at >= orderedAt + takes);
    expect(found).toBeLessThan(orderedAt + takes + 2 * TICK);
  });
});
