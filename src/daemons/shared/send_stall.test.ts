import {describe, expect, it} from 'vitest';

import {SECOND} from '../../core/index.js';
import {SendStall} from './send_stall.js';

const CHECK_INTERVAL = SECOND / 10;

/** Checks a connection until a time; returns the longest stall. */
function play(
  unsentAt: (now: number) => number,
  duration: number,
  interval = CHECK_INTERVAL,
): number {
  const stall = new SendStall();
  let longest = 0;
  for (let now = 50_000; now <= 50_000 + duration; now += interval)
    longest = Math.max(longest, stall.record(now, unsentAt(now - 50_000)));
  return longest;
}

describe('SendStall', () => {
  it('measures the time for which a caller reads nothing', () => {
    expect(play(() => 400_000, 20 * SECOND)).toBe(20 * SECOND);
  });

  it('is short for a caller that reads slowly for long', () => {
    const unsent = (at: number) => 1_000_000 - 1_000 * Math.floor(at / SECOND);
    expect(play(unsent, 600 * SECOND)).toBeLessThanOrEqual(SECOND);
  });

  // The system reports room in steps of a third of its send buffer.
  it('is below a minute for a caller that reads 64 KB a second', () => {
    const step = 23 * SECOND;
    const unsent = (at: number) => 16e6 - 1.43e6 * Math.floor(at / step);
    expect(play(unsent, 240 * SECOND)).toBeLessThan(60 * SECOND);
  });

  it('is zero for a connection that waits for nothing', () => {
    expect(play(() => 0, 60 * SECOND)).toBe(0);
  });

  it('does not count the time in which the process stood still', () => {
    expect(play(() => 400_000, 60 * SECOND, 20 * SECOND)).toBeLessThan(SECOND);
  });
});
