import {describe, expect, it} from 'vitest';

import {applyListChanges} from '../../expert_groups/index.js';
import type {CutoverOrder} from '../../expert_groups/index.js';
import {PrepareEncoder} from './prepare_encoder.js';

const lists = (hot: number) =>
  Array.from({length: 12}, (_, set) =>
    Array.from({length: 64}, (_, rank) =>
      rank === hot ? [set, rank, 99] : [set, rank],
    ),
  );
const prepare = (map: number, hot: number): CutoverOrder => ({
  kind: 'prepare',
  map,
  experts: lists(hot),
});

describe('PrepareSender', () => {
  it('encodes patches for sidecars with the previous map, whole maps for others', () => {
    const encoder = new PrepareEncoder();
    expect(encoder.encode(1, prepare(7, 3))).toEqual({order: prepare(7, 3)});
    encoder.recordAck(1, prepare(7, 3), 'accepted');
    encoder.recordAck(2, prepare(7, 3), 'not_given');
    const {order, patch} = encoder.encode(1, prepare(8, 5));
    expect(order).toMatchObject({map: 8, experts: []});
    expect(patch?.base).toBe(7);
    expect(applyListChanges(lists(3), patch!.changes)).toEqual(lists(5));
    expect(encoder.encode(2, prepare(8, 5)).patch).toBeUndefined();
    // A sidecar that has lost the base map answers not_given.
    encoder.recordAck(1, prepare(8, 5), 'not_given');
    expect(encoder.encode(1, prepare(8, 5)).patch).toBeUndefined();
  });

  it('uses the default map as the first base', () => {
    const encoder = new PrepareEncoder();
    encoder.setInitialMap(64, {map: 0, experts: lists(0)});
    const orders = Array.from({length: 64}, (_, rank) =>
      encoder.encode(rank, prepare(7, 3)),
    );
    expect(orders.every(({patch}) => patch?.base === 0)).toBe(true);
    // A link of 4.2 Mbit/s transfers 64 of them within a third of a second.
    const bytes = JSON.stringify(orders).length;
    expect((bytes * 8) / 4_200_000).toBeLessThan(1 / 3);
    encoder.clear();
    expect(encoder.encode(5, prepare(8, 3)).patch).toBeUndefined();
  });
});
