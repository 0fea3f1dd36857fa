import {expect, it} from 'vitest';

import {callId, organisationName, serviceName} from '../core/index.js';
import {OpenCalls} from './open_calls.js';
import {SharedLimits} from './shared_limits.js';

const NAME = organisationName('kariakoo');
const LIMITS = {requestsPerSecond: 900, tokensPerSecond: 900, concurrency: 12};
const [HUNG, WELL] = ['depot', 'assistant'].map(serviceName);

it.each([
  {name: 'is stuck', answered: false, atHung: 6, atWell: 6},
  {name: 'streams long answers', answered: true, atHung: 12, atWell: 0},
])('when one service $name, another gets $atWell slots', one => {
  const limits = new SharedLimits();
  const open = new OpenCalls();
  let made = 0;
  const admit = (now: number, service = HUNG!) => {
    const stuck = open.countStuck(now, NAME, service);
    const ask = {cost: 1, deadlineAt: Infinity, stuck};
    if (!limits.admit(now, NAME, LIMITS, ask).allowed) return 0;
    const isAnswered = () => one.answered;
    const call = {organisation: NAME, service, startedAt: now, isAnswered};
    open.add(callId(`call-${made++}`), call);
    return 1;
  };
  let atHung = 0;
  for (let i = 0; i < 40; i++) atHung += admit(i * 4_000);
  let atWell = 0;
  for (let i = 0; i < 40; i++) atWell += admit(200_000, WELL);
  expect({atHung, atWell}).toEqual({atHung: one.atHung, atWell: one.atWell});
});

it('counts no ended calls and none of other services or organisations', () => {
  const open = new OpenCalls();
  const call = {organisation: NAME, service: HUNG!, startedAt: 0};
  open.add(callId('a'), {...call, isAnswered: () => false});
  open.add(callId('b'), {...call, isAnswered: () => false});
  open.remove(callId('a'));
  expect(open.countStuck(2_999, NAME, HUNG!)).toBe(0);
  expect(open.countStuck(3_000, NAME, HUNG!)).toBe(1);
  expect(open.countStuck(3_000, NAME, WELL!)).toBe(0);
  expect(open.countStuck(3_000, organisationName('other'), HUNG!)).toBe(0);
});
