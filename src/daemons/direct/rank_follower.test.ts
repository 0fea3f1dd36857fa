import {errAsync, okAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {RankClient} from '../../clients/index.js';
import {Fault} from '../../errors/index.js';
import {SuccessionTimer} from '../../expert_groups/index.js';
import type {
  CutoverMessage,
  CutoverOrder,
  ExpertLists,
} from '../../expert_groups/index.js';
import type {Link} from '../../links/index.js';
import {SILENT_LOGGER} from '../../observability/index.js';
import type {LocalRank} from './local_rank.js';
import {PrepareEncoder} from './prepare_encoder.js';
import {RankFollower} from './rank_follower.js';

/** An engine that records the maps of its prepare orders. */
class PreparingEngine extends RankClient {
  readonly maps: ExpertLists[] = [];

  report() {
    return okAsync(testReport(1));
  }

  expertSelections() {
    return errAsync(new Fault('engine_unreachable'));
  }

  placement() {
    return errAsync(new Fault('engine_unreachable'));
  }

  async sendOrder(order: CutoverOrder) {
    if (order.kind === 'prepare') this.maps.push(order.experts);
    return 'accepted' as const;
  }

  async sendOrderAndReport(order: CutoverOrder) {
    const outcome = await this.sendOrder(order);
    return {outcome, report: (await this.report())._unsafeUnwrap()};
  }
}

const lists = (seed: number): number[][][] =>
  Array.from({length: 3}, (_, set) =>
    Array.from({length: 4}, (_, rank) => [set, rank, 10 + ((seed * rank) % 7)]),
  );

describe('RankFollower', () => {
  const start = {map: 0, experts: lists(0)};

  function startFollower(engine: RankClient, acks: CutoverMessage[]) {
    const localRank = {
      lastReport: testReport(1),
      expectLoad: () => undefined,
      readReport: async () => testReport(1),
      recordOrderReport: () => undefined,
    } as unknown as LocalRank;
    const link = {
      send: (message: CutoverMessage) => acks.push(message) > 0,
    } as unknown as Link;
    const follower = new RankFollower(
      engine,
      localRank,
      new SuccessionTimer(0),
      () => start,
      () => 0,
      SILENT_LOGGER,
    );
    return {follower, link, localRank};
  }

  const outcomes = (acks: readonly CutoverMessage[]) =>
    acks.map(ack => (ack.type === 'cutover_ack' ? ack.outcome : ack.type));

  it('accepts a duplicate patch while the first acknowledgement is pending', async () => {
    const engine = new PreparingEngine();
    const acks: CutoverMessage[] = [];
    const {follower, link} = startFollower(engine, acks);
    const encoder = new PrepareEncoder();
    encoder.setInitialMap(4, start);
    for (const [i, map] of [7, 8, 9].entries()) {
      const order: CutoverOrder = {
        kind: 'prepare',
        map,
        experts: lists(i + 1),
      };
      const header = {group: 'g', rank: 1, token: map, epoch: 1};
      // The first acknowledgement is pending when the second order is sent.
      for (let sent = 0; sent < 2; sent++) {
        const encoded = encoder.encode(1, order);
        expect(encoded.patch?.base).toBe(i === 0 ? 0 : map - 1);
        await follower.executeOrder(0, link, {
          type: 'cutover_order',
          ...header,
          ...encoded,
        });
      }
      for (const ack of acks.slice(-2)) {
        if (ack.type === 'cutover_ack') {
          encoder.recordAck(1, order, ack.outcome);
        }
      }
      expect(engine.maps.slice(-2)).toEqual([lists(i + 1), lists(i + 1)]);
    }
    expect(new Set(outcomes(acks))).toEqual(new Set(['accepted']));
  });

  it('answers not_given to a patch with an unknown base, so that the whole map is sent', async () => {
    const engine = new PreparingEngine();
    const acks: CutoverMessage[] = [];
    const {follower, link} = startFollower(engine, acks);
    const encoder = new PrepareEncoder();
    encoder.setInitialMap(4, {map: 5, experts: lists(3)});
    const order: CutoverOrder = {kind: 'prepare', map: 7, experts: lists(1)};
    const header = {group: 'g', rank: 1, token: 7, epoch: 1};
    const send = () =>
      follower.executeOrder(0, link, {
        type: 'cutover_order',
        ...header,
        ...encoder.encode(1, order),
      });
    await send();
    expect(outcomes(acks)).toEqual(['not_given']);
    expect(engine.maps).toEqual([]);
    encoder.recordAck(1, order, 'not_given');
    await send();
    expect(outcomes(acks).at(-1)).toBe('accepted');
    expect(engine.maps).toEqual([lists(1)]);
  });

  it('knows the map in use while others are prepared and given up', async () => {
    const {follower, link, localRank} = startFollower(
      new PreparingEngine(),
      [],
    );
    const prepare = (map: number) =>
      follower.executeOrder(0, link, {
        type: 'cutover_order',
        ...{group: 'g', rank: 1, token: map, epoch: 1},
        order: {kind: 'prepare', map, experts: lists(map)},
      });
    await prepare(7);
    Object.assign(localRank, {lastReport: testReport(1, {map: 7})});
    for (const map of [8, 9, 10]) {
      await prepare(map);
      expect(follower.expertsOf(7)).toEqual(lists(7));
      expect(follower.expertsOf(map)).toEqual(lists(map));
    }
    expect(follower.expertsOf(8)).toBeUndefined();
  });
});
