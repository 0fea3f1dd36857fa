import {describe, expect, it} from 'vitest';

import {Chance, MINUTE, SECOND, offset} from '../core/index.js';
import {CheckpointPolicy} from './checkpoint_policy.js';

const view = (earliest: number, next: number) => ({
  earliest: offset(earliest),
  next: offset(next),
  foldedTo: offset(next - 1),
});

function seen(at: number, foldedTo: number): CheckpointPolicy {
  const policy = new CheckpointPolicy(new Chance(1));
  policy.seen(0, offset(at), offset(foldedTo));
  return policy;
}

/** Whether one is written within the time that writers spread over. */
function writes(policy: CheckpointPolicy, now: number, bounds = view(0, 11)) {
  return policy.due(now, bounds) || policy.due(now + 5 * SECOND, bounds);
}

describe('CheckpointPolicy', () => {
  it.each([
    ['none was seen', new CheckpointPolicy(new Chance(1)), SECOND, view(0, 3)],
    ['the last one is old', seen(10, 9), 10 * MINUTE, view(0, 11)],
    ['the last one expired', seen(10, 9), MINUTE, view(11, 11)],
    ['half the window is gone', seen(10, 9), MINUTE, view(7, 20)],
  ])('writes when %s', (_name, policy, now, bounds) => {
    expect(writes(policy, now, bounds)).toBe(true);
  });

  it.each([
    ['the last one is new', seen(10, 9), MINUTE, view(0, 11)],
    ['the window is wide', seen(10, 9), MINUTE, view(0, 20)],
  ])('does not when %s', (_name, policy, now, bounds) => {
    expect(writes(policy, now, bounds)).toBe(false);
  });

  it.each([
    [30 * SECOND, false],
    [MINUTE, true],
  ])('after an outage of %i ms: %s', (outage, isWritten) => {
    const policy = seen(10, 9);
    policy.recovered(outage);
    expect(writes(policy, MINUTE)).toBe(isWritten);
  });

  it("leaves it when another's came first", () => {
    const policy = new CheckpointPolicy(new Chance(1));
    expect(policy.due(0, view(0, 3))).toBe(false);
    policy.seen(10, offset(3), offset(2));
    expect(policy.due(5 * SECOND, view(0, 4))).toBe(false);
  });

  it('bounds the rate, and more so while appends fail', () => {
    const policy = new CheckpointPolicy(new Chance(1));
    let written = 0;
    for (let now = 0; now < 10 * MINUTE; now += 250) {
      if (!policy.due(now, view(0, 3))) continue;
      written += 1;
      policy.failed();
    }
    expect(written).toBeGreaterThan(4);
    expect(written).toBeLessThan(12);
  });
});
