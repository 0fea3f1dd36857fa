import {describe, expect, it} from 'vitest';

import {Chance, MINUTE, SECOND, offset} from '../core/index.js';
import {CheckpointPolicy} from './checkpoint_policy.js';

const contextOf = (earliest: number, next: number) => ({
  earliest: offset(earliest),
  next: offset(next),
  foldedTo: offset(next - 1),
});

function policyAfter(at: number, foldedTo: number): CheckpointPolicy {
  const policy = new CheckpointPolicy(new Chance(1));
  policy.onCheckpoint(0, offset(at), offset(foldedTo));
  return policy;
}

/** Whether a checkpoint is due within the random delay of writers. */
function isWrittenSoon(
  policy: CheckpointPolicy,
  now: number,
  bounds = contextOf(0, 11),
) {
  return (
    policy.shouldAppend(now, bounds) ||
    policy.shouldAppend(now + 5 * SECOND, bounds)
  );
}

describe('CheckpointPolicy', () => {
  it.each([
    [
      'none was seen',
      new CheckpointPolicy(new Chance(1)),
      SECOND,
      contextOf(0, 3),
    ],
    ['the last one is old', policyAfter(10, 9), 10 * MINUTE, contextOf(0, 11)],
    ['the last one expired', policyAfter(10, 9), MINUTE, contextOf(11, 11)],
    ['half the window is gone', policyAfter(10, 9), MINUTE, contextOf(7, 20)],
  ])('writes when %s', (_name, policy, now, bounds) => {
    expect(isWrittenSoon(policy, now, bounds)).toBe(true);
  });

  it.each([
    ['the last one is new', policyAfter(10, 9), MINUTE, contextOf(0, 11)],
    ['the window is wide', policyAfter(10, 9), MINUTE, contextOf(0, 20)],
  ])('does not when %s', (_name, policy, now, bounds) => {
    expect(isWrittenSoon(policy, now, bounds)).toBe(false);
  });

  it.each([
    [30 * SECOND, false],
    [MINUTE, true],
  ])('after an outage of %i ms: %s', (outage, isWritten) => {
    const policy = policyAfter(10, 9);
    policy.onRecovered(outage);
    expect(isWrittenSoon(policy, MINUTE)).toBe(isWritten);
  });

  it("cancels when another writer's checkpoint appears first", () => {
    const policy = new CheckpointPolicy(new Chance(1));
    expect(policy.shouldAppend(0, contextOf(0, 3))).toBe(false);
    policy.onCheckpoint(10, offset(3), offset(2));
    expect(policy.shouldAppend(5 * SECOND, contextOf(0, 4))).toBe(false);
  });

  it('limits the rate, and further while appends fail', () => {
    const policy = new CheckpointPolicy(new Chance(1));
    let written = 0;
    for (let now = 0; now < 10 * MINUTE; now += 250) {
      if (!policy.shouldAppend(now, contextOf(0, 3))) continue;
      written += 1;
      policy.onAppendFailed();
    }
    expect(written).toBeGreaterThan(4);
    expect(written).toBeLessThan(12);
  });
});
