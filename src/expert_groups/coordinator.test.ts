import {describe, expect, it} from 'vitest';

import {Chance, incarnation} from '../core/index.js';
import {Coordinator} from './coordinator.js';
import type {CoordinatorEffect} from './coordinator_types.js';

const LIFE = incarnation('r/a#e#c');
const MINUTE = 60_000;

const orders = (effects: readonly CoordinatorEffect[]) =>
  effects.flatMap(e => (e.type === 'send' ? [e.message] : []));

/** A coordinator of two ranks whose change is being prepared. */
function preparing() {
  now = 0;
  const coordinator = new Coordinator('g', 2, new Chance(1));
  const common = {group: 'g', term: 1, incarnation: LIFE, step: 5};
  const answerAll = (type: 'group_staged' | 'group_settled', map: number) => {
    let effects: CoordinatorEffect[] = [];
    for (const rank of [0, 1]) {
      const seq = sequence(coordinator);
      effects = coordinator.receive(0, {type, ...common, rank, seq, map});
    }
    return effects;
  };
  coordinator.tick(0);
  for (const rank of [0, 1]) {
    const place = {map: 0, pending: null, communicator: 'c'};
    coordinator.receive(0, {type: 'group_report', ...common, ...place, rank});
  }
  answerAll('group_settled', 0);
  const map = coordinator.propose(0, MINUTE)!;
  answerAll('group_staged', map);
  const promise = (rank: number, step: number) => {
    const seq = sequence(coordinator);
    const promised = {...common, rank, seq, map, step};
    return coordinator.receive(0, {type: 'group_promised', ...promised});
  };
  return {coordinator, map, promise};
}

let now = 0;

/** The number of the order that is out, by its next repeat. */
function sequence(coordinator: Coordinator): number {
  now += 600;
  const [order] = orders(coordinator.tick(now)).filter(m => 'seq' in m);
  return order !== undefined && 'seq' in order ? order.seq : 0;
}

describe('a coordinator', () => {
  it.each([
    {why: 'all hold at one step', steps: [13, 13], outcome: 'new'},
    {why: 'engines paused at different steps', steps: [13, 14], outcome: 'old'},
  ])('decides for the $outcome map when $why', ({steps, outcome}) => {
    const {map, promise} = preparing();
    promise(0, steps[0]!);
    const effects = orders(promise(1, steps[1]!));
    const decided = effects.filter(m => m.type === 'group_decide');
    expect(decided.map(m => m.map)).toEqual(
      outcome === 'new' ? [map, map] : [0, 0],
    );
  });
});
