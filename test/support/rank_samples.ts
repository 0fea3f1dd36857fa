import type {RankReport} from '../../src/expert_groups/index.js';

/**
 * Returns a rank report for tests.
 * @param rank - the rank
 * @param overrides - differences from an idle rank on the first map
 */
export function testReport(
  rank: number,
  overrides: Partial<RankReport> = {},
): RankReport {
  return {
    group: 'g',
    rank,
    size: 2,
    epoch: 1,
    isOpen: true,
    step: 10,
    map: 0,
    prepared: null,
    armed: null,
    heldAt: null,
    running: 0,
    queued: 0,
    pace: 1,
    bornAt: 0,
    ...overrides,
  };
}
