import {expect} from 'vitest';

import {boundsOf, observe} from './crowd.js';
import type {Crowd, WatchedProcess} from './crowd.js';

/** Time limit of a test with a crowd. */
export const CROWD_TEST_MS = 75_000;

/**
 * Expects a process to live through crowds within its machine's memory, and to
 * answer an ordinary request afterwards.
 * @param watched - the process
 * @param crowds - the crowds
 * @param duration - time for which they stay connected, ms
 */
export async function expectSound(
  watched: WatchedProcess,
  crowds: readonly Crowd[],
  duration?: number,
): Promise<void> {
  const seen = await observe(watched, crowds, duration);
  const {machineMb, descriptors} = boundsOf(watched, crowds);
  const text = `peak ${Math.round(seen.peakMb)} MB, ${seen.descriptors} descriptors`;
  if (process.env['CROWD_FIGURES'] !== undefined) {
    const {currentTestName = ''} = expect.getState();
    console.log(`${currentTestName}: ${text}, serving ${seen.isServing}`);
  }
  expect(seen.hasEnded, text).toBe(false);
  expect(seen.isServing, text).toBe(true);
  expect(seen.peakMb).toBeLessThan(machineMb);
  expect(seen.descriptors).toBeLessThan(descriptors);
}
