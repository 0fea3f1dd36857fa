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

const incarnationOf = (self: string) => incarnation(`${self}#e#c`);
const order = (self: string, seq: number) => ({
  group: 'g',
  term: 1,
  seq,
  to: incarnationOf(self),
});

const kindsOf = (effects: readonly RankEffect[]) =>
  effects.map(effect =>
    effect.type === 'order' ? effect.order.kind : effect.message.type,
  );

function member(self = 'r1/a', state = STATE): RankMember {
  const rank = new RankMember('g', 1, incarnation(self));
  rank.observe(state);
  rank.receive(COORDINATOR, {type: 'group_inquire', group: 'g', term: 1});
  return rank;
}

describe('RankMember', () => {
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

  it('replaces the token of a hold of an earlier sidecar before reporting', () => {
    const hold = {token: 'r1/old#e@2', step: 20};
    const fresh = new RankMember('g', 1, incarnation('r1/new'));
    fresh.receive(COORDINATOR, {type: 'group_inquire', group: 'g', term: 2});
    const effects = fresh.observe({...STATE, hold});
    expect(effects).toMatchObject([
      {type: 'order', order: {kind: 'hold', replaces: 'r1/old#e@2'}},
    ]);
    const renamed = {token: 'r1/new#e@adopted', step: 20};
    const reported = fresh.observe({...STATE, hold: renamed});
    expect(kindsOf(reported)).toEqual(['group_report']);
  });

  it('promises only once its engine holds', () => {
    const rank = member();
    expect(kindsOf(rank.receive(COORDINATOR, prepare))).toEqual(['hold']);
    expect(kindsOf(rank.observe(STATE))).toEqual(['hold']);
    const hold = {token: 'r1/a#e@2', step: 20};
    const promised = rank.observe({...STATE, hold});
    expect(kindsOf(promised)).toEqual(['group_promised']);
  });

  it.each([
    {
      why: 'a started step',
      state: {...STATE, step: 20},
      expected: 'step_passed',
    },
    {why: 'another map', state: {...STATE, map: 7}, expected: 'other_map'},
    {
      why: 'a switch whose step has not been reached',
      state: {...STATE, map: 0, next: {map: 1, step: 15}},
      expected: 'undecided',
    },
  ])('rejects a prepare order on $why', ({state, expected}) => {
    const rank = member('r1/a', state);
    const effects = rank.receive(COORDINATOR, prepare);
    expect(effects).toContainEqual(
      expect.objectContaining({
        message: expect.objectContaining({reason: expected}) as unknown,
      }),
    );
    expect(kindsOf(effects)).not.toContain('hold');
  });

  it.each([
    {
      what: 'a decision of a lower term',
      from: COORDINATOR,
      message: {...decide, term: 1},
      inquiryTerm: 2,
    },
    {
      what: 'a decision of another coordinator with the same term',
      from: incarnation('r0/b'),
      message: decide,
      inquiryTerm: 1,
    },
    {
      what: 'a decision for another incarnation of the rank',
      from: COORDINATOR,
      message: {...decide, to: incarnationOf('r1/before')},
      inquiryTerm: 1,
    },
    {
      what: 'a decision that a later order has overtaken',
      from: COORDINATOR,
      message: {...decide, seq: 0},
      inquiryTerm: 1,
    },
  ])('does not execute $what', ({from, message, inquiryTerm}) => {
    const rank = member();
    rank.receive(COORDINATOR, prepare);
    const hold = {token: 'r1/a#e@2', step: 20};
    rank.observe({...STATE, hold});
    const inquiry = {
      type: 'group_inquire',
      group: 'g',
      term: inquiryTerm,
    } as const;
    rank.receive(COORDINATOR, inquiry);
    const effects = rank.receive(from, message);
    expect(kindsOf(effects)).not.toContain('release');
    expect(rank.map).toBe(1);
  });

  it('drops its promise when its engine was replaced', () => {
    const rank = member();
    rank.receive(COORDINATOR, prepare);
    rank.observe({...STATE, engine: 'f', map: null, step: 0});
    expect(rank.map).toBeNull();
    expect(kindsOf(rank.receive(COORDINATOR, decide))).toEqual([
      'group_report',
    ]);
  });
});
