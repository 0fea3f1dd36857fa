import {describe, expect, it} from 'vitest';

import {Chance, incarnation} from '../core/index.js';
import {Coordinator} from './coordinator.js';
import type {CoordinatorEffect} from './coordinator_types.js';

const RANK_INCARNATION = incarnation('r/a#e#c');
const MINUTE = 60_000;

const orders = (effects: readonly CoordinatorEffect[]) =>
  effects.flatMap(e => (e.type === 'send' ? [e.message] : []));

/** Returns a coordinator of two ranks in the prepare phase of a switch. */
function coordinatorInPrepare() {
  now = 0;
  const coordinator = new Coordinator('g', 2, new Chance(1));
  const common = {group: 'g', term: 1, incarnation: RANK_INCARNATION, step: 5};
  const answerFromAll = (
    type: 'group_staged' | 'group_settled',
    map: number,
  ) => {
    let effects: CoordinatorEffect[] = [];
    for (const rank of [0, 1]) {
      const seq = openOrderSeq(coordinator);
      effects = coordinator.receive(0, {type, ...common, rank, seq, map});
    }
    return effects;
  };
  coordinator.tick(0);
  for (const rank of [0, 1]) {
    const state = {map: 0, pending: null, communicator: 'c'};
    coordinator.receive(0, {type: 'group_report', ...common, ...state, rank});
  }
  answerFromAll('group_settled', 0);
  const map = coordinator.propose(0, MINUTE)!;
  answerFromAll('group_staged', map);
  const promise = (rank: number, step: number) => {
    const seq = openOrderSeq(coordinator);
    const promised = {...common, rank, seq, map, step};
    return coordinator.receive(0, {type: 'group_promised', ...promised});
  };
  return {coordinator, map, promise};
}

let now = 0;

/** Returns the sequence number of the open order, taken from its retry. */
function openOrderSeq(coordinator: Coordinator): number {
  now += 600;
  const [order] = orders(coordinator.tick(now)).filter(m => 'seq' in m);
  return order !== undefined && 'seq' in order ? order.seq : 0;
}

describe('Coordinator', () => {
  it.each([
    {why: 'all ranks hold at one step', steps: [13, 13], outcome: 'new'},
    {
      why: 'paused engines stop at different steps',
      steps: [13, 14],
      outcome: 'old',
    },
  ])('decides on the $outcome map when $why', ({steps, outcome}) => {
    const {map, promise} = coordinatorInPrepare();
    promise(0, steps[0]!);
    const effects = orders(promise(1, steps[1]!));
    const decided = effects.filter(m => m.type === 'group_decide');
    expect(decided.map(m => m.map)).toEqual(
      outcome === 'new' ? [map, map] : [0, 0],
    );
  });
});
