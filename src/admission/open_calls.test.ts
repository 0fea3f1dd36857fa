import {expect, it} from 'vitest';

import {callId, organisationName, serviceName} from '../core/index.js';
import {OpenCalls} from './open_calls.js';
import {SharedLimits} from './shared_limits.js';

const NAME = organisationName('kariakoo');
const LIMITS = {requestsPerSecond: 900, tokensPerSecond: 900, concurrency: 12};
const [STUCK, HEALTHY] = ['depot', 'assistant'].map(serviceName);

it.each([
  {name: 'is stuck', answered: false, atStuck: 6, atHealthy: 6},
  {name: 'streams long answers', answered: true, atStuck: 12, atHealthy: 0},
])('when one service $name, another gets $atHealthy slots', one => {
  const limits = new SharedLimits();
  const open = new OpenCalls();
  let created = 0;
  const admit = (now: number, service = STUCK!) => {
    const stuck = open.countStuck(now, NAME, service);
    const limitRequest = {cost: 1, deadlineAt: Infinity, stuck};
    if (!limits.admit(now, NAME, LIMITS, limitRequest).allowed) return 0;
    const isAnswered = () => one.answered;
    const call = {organisation: NAME, service, startedAt: now, isAnswered};
    open.add(callId(`call-${created++}`), call);
    return 1;
  };
  let atStuck = 0;
  for (let i = 0; i < 40; i++) atStuck += admit(i * 4_000);
  let atHealthy = 0;
  for (let i = 0; i < 40; i++) atHealthy += admit(200_000, HEALTHY);
  expect({atStuck, atHealthy}).toEqual({
    atStuck: one.atStuck,
    atHealthy: one.atHealthy,
  });
});

it('counts no ended calls and none of other services or organisations', () => {
  const open = new OpenCalls();
  const call = {organisation: NAME, service: STUCK!, startedAt: 0};
  open.add(callId('a'), {...call, isAnswered: () => false});
  open.add(callId('b'), {...call, isAnswered: () => false});
  open.remove(callId('a'));
  expect(open.countStuck(2_999, NAME, STUCK!)).toBe(0);
  expect(open.countStuck(3_000, NAME, STUCK!)).toBe(1);
  expect(open.countStuck(3_000, NAME, HEALTHY!)).toBe(0);
  expect(open.countStuck(3_000, organisationName('other'), STUCK!)).toBe(0);
});
