import fc from 'fast-check';
import {expect, it} from 'vitest';

import {encode} from '../../links/codec.js';
import {applyListChanges, diffExpertLists} from './index.js';

const lists = fc.array(
  fc.array(fc.array(fc.nat(95), {maxLength: 5}), {minLength: 4, maxLength: 4}),
  {minLength: 3, maxLength: 3},
);

it('restores a map from the previous one and its changes', () => {
  fc.assert(
    fc.property(lists, lists, (from, to) => {
      expect(applyListChanges(from, diffExpertLists(from, to))).toEqual(to);
    }),
  );
});

it('encodes a switch of few places compactly, however large the map is', () => {
  const from = Array.from({length: 12}, (_, set) =>
    Array.from({length: 64}, (_, rank) => [set, rank, 100, 101, 102]),
  );
  const to = from.map((set, i) =>
    set.map((experts, rank) => (rank === i ? [...experts, 7] : experts)),
  );
  const changes = diffExpertLists(from, to);
  expect(changes).toHaveLength(12 * 4);
  expect(JSON.stringify(changes).length).toBeLessThan(
    JSON.stringify(to).length / 10,
  );
});

it('sends a switch of 160 places to 23 ranks over a link of 5.6 Mbit/s in 40 ms', () => {
  const from = Array.from({length: 16}, (_, set) =>
    Array.from({length: 24}, (_, rank) =>
      Array.from({length: 5}, (_, i) => (set + 24 * i + rank) % 96),
    ),
  );
  const to = from.map((set, i) =>
    set.map((experts, rank) =>
      rank < 10 ? [...experts.slice(0, 4), (40 + i + rank) % 96] : experts,
    ),
  );
  const message = {
    type: 'cutover_order',
    ...{group: 'g0-2', rank: 23, token: 59_775_490, epoch: 1},
    order: {kind: 'prepare', map: 59_775_490, experts: []},
    patch: {base: 59_775_234, changes: diffExpertLists(from, to)},
  };
  const bits = encode(message).length * 8 * 23;
  expect(bits / 5_600_000).toBeLessThan(0.04);
});
