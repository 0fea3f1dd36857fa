import {describe, expect, it} from 'vitest';

import {incarnation} from '../core/index.js';
import {RankMember} from './rank_member.js';
import type {RankEffect} from './rank_member.js';
import type {EngineState} from './types.js';

const COORDINATOR = incarnation('r0/a');
const STATE: EngineState = {
  engine: 'e',
  communicator: 'c',
  map: 1,
  step: 10,
  hold: null,
  next: null,
  staged: [1, 2],
};

const life = (self: string) => incarnation(`${self}#e#c`);
const order = (self: string, seq: number) => ({
  group: 'g',
  term: 1,
  seq,
  to: life(self),
});

const brief = (effects: readonly RankEffect[]) =>
  effects.map(effect =>
    effect.type === 'order' ? effect.order.kind : effect.message.type,
  );

function member(self = 'r1/a', state = STATE): RankMember {
  const made = new RankMember('g', 1, incarnation(self));
  made.observe(state);
  made.receive(COORDINATOR, {type: 'group_inquire', group: 'g', term: 1});
  return made;
}

describe('a rank', () => {
  const prepare = {
    type: 'group_prepare',
    ...order('r1/a', 1),
    from: 1,
    map: 2,
    step: 20,
  } as const;
  const decide = {
    type: 'group_decide',
    ...order('r1/a', 2),
    map: 2,
    pending: null,
  } as const;

  it('renames a hold that an earlier sidecar left before it reports', () => {
    const hold = {token: 'r1/old#e@2', step: 20};
    const fresh = new RankMember('g', 1, incarnation('r1/new'));
    fresh.receive(COORDINATOR, {type: 'group_inquire', group: 'g', term: 2});
    const effects = fresh.observe({...STATE, hold});
    expect(effects).toMatchObject([
      {type: 'order', order: {kind: 'hold', replaces: 'r1/old#e@2'}},
    ]);
    const renamed = {token: 'r1/new#e@adopted', step: 20};
    const reported = fresh.observe({...STATE, hold: renamed});
    expect(brief(reported)).toEqual(['group_report']);
  });

  it('promises only what its engine holds', () => {
    const rank = member();
    expect(brief(rank.receive(COORDINATOR, prepare))).toEqual(['hold']);
    expect(brief(rank.observe(STATE))).toEqual(['hold']);
    const hold = {token: 'r1/a#e@2', step: 20};
    const promised = rank.observe({...STATE, hold});
    expect(brief(promised)).toEqual(['group_promised']);
  });

  it.each([
    {why: 'a started step', state: {...STATE, step: 20}, says: 'step_passed'},
    {why: 'another map', state: {...STATE, map: 7}, says: 'other_map'},
    {
      why: 'a change whose step has not come',
      state: {...STATE, map: 0, next: {map: 1, step: 15}},
      says: 'undecided',
    },
  ])('refuses to promise on $why', ({state, says}) => {
    const rank = member('r1/a', state);
    const effects = rank.receive(COORDINATOR, prepare);
    expect(effects).toContainEqual(
      expect.objectContaining({
        message: expect.objectContaining({reason: says}) as unknown,
      }),
    );
    expect(brief(effects)).not.toContain('hold');
  });

  it.each([
    {
      what: 'a decision of a lower term',
      from: COORDINATOR,
      message: {...decide, term: 1},
      raised: 2,
    },
    {
      what: 'a decision of another coordinator with the same term',
      from: incarnation('r0/b'),
      message: decide,
      raised: 1,
    },
    {
      what: 'a decision for another life of the rank',
      from: COORDINATOR,
      message: {...decide, to: life('r1/before')},
      raised: 1,
    },
    {
      what: 'a decision that a later order has overtaken',
      from: COORDINATOR,
      message: {...decide, seq: 0},
      raised: 1,
    },
  ])('does not obey $what', ({from, message, raised}) => {
    const rank = member();
    rank.receive(COORDINATOR, prepare);
    const hold = {token: 'r1/a#e@2', step: 20};
    rank.observe({...STATE, hold});
    const inquiry = {type: 'group_inquire', group: 'g', term: raised} as const;
    rank.receive(COORDINATOR, inquiry);
    const effects = rank.receive(from, message);
    expect(brief(effects)).not.toContain('release');
    expect(rank.map).toBe(1);
  });

  it('forgets what it agreed to when its engine is another one', () => {
    const rank = member();
    rank.receive(COORDINATOR, prepare);
    rank.observe({...STATE, engine: 'f', map: null, step: 0});
    expect(rank.map).toBeNull();
    expect(brief(rank.receive(COORDINATOR, decide))).toEqual(['group_report']);
  });
});
