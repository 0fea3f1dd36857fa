import {okAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {Clock} from '../../core/index.js';
import type {CutoverOrder} from '../../expert_groups/index.js';
import {SILENT_LOGGER} from '../../observability/index.js';
import {LocalRank} from './local_rank.js';
import type {LocalRankPorts} from './local_rank.js';

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
  it('polls a loading rank only when its weights may be loaded', async () => {
    const clock = new ManualClock();
    const [duration, orderedAt] = [400, 1_000];
    const reads: number[] = [];
    const reader = {
      read: async () => {
        reads.push(clock.at);
        const isLoaded = clock.at >= orderedAt + duration;
        return {
          report: testReport(1, {prepared: isLoaded ? 7 : null}),
          selections: [],
        };
      },
    };
    const ports = {
      reader,
      registry: {register: async () => okAsync(undefined)},
      self: {sidecar: 'a:1', engine: 'a:2', pace: 1},
    } as unknown as LocalRankPorts;
    const events = {updated: () => undefined};
    const localRank = new LocalRank(ports, clock, events, SILENT_LOGGER);
    const order: CutoverOrder = {kind: 'prepare', map: 7, experts: []};
    for (; clock.at < 2 * orderedAt; clock.at += TICK) {
      if (clock.at >= orderedAt && clock.at < orderedAt + TICK) {
        localRank.expectLoad(clock.at, {order, epoch: 1}, duration);
      }
      localRank.tick(clock.at);
      await new Promise(resolve => setImmediate(resolve));
    }
    const during = reads.filter(
      at => at >= orderedAt && at < orderedAt + 0.8 * duration,
    );
    expect(during.length).toBeLessThan(2);
    const found = reads.find(at => at >= orderedAt + duration);
    expect(found).toBeLessThan(orderedAt + duration + 2 * TICK);
  });
});
