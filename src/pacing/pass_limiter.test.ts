import {describe, expect, it} from 'vitest';

import {ENGINE, GAP_TARGET} from '../../test/support/pacing_load.js';
import {Chance} from '../core/index.js';
import {PassLimiter} from './index.js';

// By the engine's figures a pass takes 40.7 ms without streams.
const IDLE = 40.7;

/** A limiter with running streams, and passes of given lengths. */
function createLimiter(streams = 10) {
  const limiter = new PassLimiter(
    {engine: ENGINE, gapTarget: GAP_TARGET},
    () => ({ranks: 72, entries: 38}),
    new Chance(1),
    streams,
  );
  const clock = {now: 0};
  const pass = (length: number, count = 1) => {
    for (let i = 0; i < count; i++) {
      clock.now += length;
      limiter.recordGap(clock.now, length);
    }
  };
  return {limiter, clock, pass};
}

/** Returns the streams with which the limiter has no more capacity. */
function fill(limiter: PassLimiter, now: number): number {
  while (limiter.hasCapacity(now) && limiter.running < 100)
    limiter.recordSent();
  return limiter.running;
}

describe('PassLimiter', () => {
  it('limits the streams before passes exceed the target', () => {
    const {limiter, clock, pass} = createLimiter();
    pass(85, 30);
    expect(fill(limiter, clock.now)).toBe(100);
    expect(limiter.value).toBeUndefined();
    // At 112 ms there is room for few more; a limit that is not reached must not
    // grow until it would let any number of requests through at once.
    const near = createLimiter();
    near.pass(112, 60);
    expect(near.limiter.value).toBeDefined();
    expect(fill(near.limiter, near.clock.now)).toBeLessThanOrEqual(16);
    // At 118 ms they allow fewer than run.
    const above = createLimiter(20);
    above.pass(118, 10);
    expect(above.limiter.value).toBeLessThan(20);
    expect(fill(above.limiter, above.clock.now)).toBe(20);
  });

  it('removes the limit as soon as there is room', () => {
    const {limiter, pass} = createLimiter();
    pass(118, 40);
    expect(limiter.value).toBeDefined();
    pass(65, 12);
    expect(limiter.value).toBeUndefined();
    expect(limiter.status).toMatchObject({limitEnd: 'room'});
  });

  it('exceeds the limit for a request that would start late, up to the target', () => {
    const {limiter, clock, pass} = createLimiter(20);
    // One pass in ten nearly misses the target.
    for (let i = 0; i < 100; i++) pass(i % 10 === 0 ? 119 : 100);
    fill(limiter, clock.now);
    const promptTokens = 500;
    const request = (left: number) => ({
      ...{promptTokens, targetAt: clock.now + left},
    });
    expect(limiter.hasCapacity(clock.now, request(400))).toBe(false);
    expect(limiter.hasCapacity(clock.now, request(150))).toBe(true);
    // Passes that miss the target don't get more streams.
    pass(125, 10);
    expect(limiter.hasCapacity(clock.now, request(150))).toBe(false);
  });

  it('gives up when passes are longer than streams explain', () => {
    const {limiter, pass} = createLimiter();
    pass(110, 20);
    pass(IDLE * 6, 6);
    expect(limiter.value).toBeUndefined();
    expect(limiter.status).toMatchObject({limitEnd: 'futile'});
  });

  it('gives up when fewer streams do not shorten the passes', () => {
    const {limiter, pass} = createLimiter(10);
    pass(128, 10);
    expect(limiter.value).toBeDefined();
    for (let i = 0; i < 4; i++) limiter.recordEnded();
    pass(128, 20);
    expect(limiter.value).toBeUndefined();
    expect(limiter.status).toMatchObject({limitEnd: 'futile'});
  });

  it('removes the limit once no passes are seen, as while a group is down', () => {
    const {limiter, clock, pass} = createLimiter();
    pass(118, 40);
    expect(limiter.hasCapacity(clock.now + 1_100)).toBe(true);
    expect(limiter.status).toMatchObject({limitEnd: 'no_passes'});
  });

  it('lets entries with the same passes reach the same limit', () => {
    // One has the streams of a former peak, the other has restarted.
    const both = [createLimiter(20), createLimiter(3)];
    for (let i = 0; i < 200; i++) {
      const running = both.reduce((sum, {limiter}) => sum + limiter.running, 0);
      for (const {limiter, clock, pass} of both) {
        pass(IDLE + 4 * running);
        if (limiter.running > limiter.value!) limiter.recordEnded();
        else if (limiter.hasCapacity(clock.now)) limiter.recordSent();
      }
    }
    const [many, few] = both.map(({limiter}) => limiter.running);
    expect(Math.abs(many! - few!)).toBeLessThanOrEqual(3);
    expect(IDLE + 4 * (many! + few!)).toBeLessThan(GAP_TARGET);
  });
});
