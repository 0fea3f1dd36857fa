import {afterEach, beforeEach} from 'vitest';

/**
 * Records exceptions and rejections that would end a process, for each test of the
 * file that calls it.
 * @returns those of the current test
 */
export function recordUncaught(): readonly unknown[] {
  const uncaught: unknown[] = [];
  const record = (thrown: unknown) => uncaught.push(thrown);
  beforeEach(() => {
    uncaught.length = 0;
    process.on('uncaughtException', record);
    process.on('unhandledRejection', record);
  });
  afterEach(() => {
    process.off('uncaughtException', record);
    process.off('unhandledRejection', record);
  });
  return uncaught;
}
