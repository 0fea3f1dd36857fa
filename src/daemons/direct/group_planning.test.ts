import {describe, expect, it} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {Clock} from '../../core/index.js';
import type {ExpertMap} from '../../expert_groups/index.js';
import type {CutoverCoordinator} from '../../expert_groups/index.js';
import {SILENT_LOGGER} from '../../observability/index.js';
import {GroupPlanning} from './group_planning.js';

const RANKS = 4;
const PROFILE = {
  layerSets: 1,
  expertsPerSet: 8,
  slotsPerRank: 3,
  newPerChange: 2,
  expertMegabytes: 1,
  copyTime: 10,
};
const USUAL = [900, 900, 100, 100, 100, 100, 100, 100].map(n => n * 10);
const SHIFTED = [...USUAL].reverse();

class StillClock extends Clock {
  now(): number {
    return 0;
  }

  wall(): number {
    return 0;
  }
}

describe('GroupPlanning', () => {
  it('continues from the map in use after an aborted map switch', () => {
    const planning = new GroupPlanning(new StillClock(), SILENT_LOGGER);
    planning.configure(PROFILE);
    planning.reset(RANKS);
    const proposed: number[] = [];
    let version = 4;
    const coordinator = {
      reportOf: () => undefined,
      propose: (_now: number, map: ExpertMap) => {
        proposed.push(++version);
        return {...map, version};
      },
    } as unknown as CutoverCoordinator;
    const propose = (at: number, map: number, chosen: readonly number[]) => {
      for (let now = at; now < at + 3_000; now += 100) {
        planning.recordSelections(now, chosen, 1);
      }
      const own = testReport(0, {map, size: RANKS});
      planning.propose(at + 3_000, coordinator, own);
    };
    propose(0, 0, USUAL);
    propose(4_000, 5, SHIFTED);
    expect(proposed).toEqual([5, 6]);
    // The switch to map 6 was aborted while preparing; the ranks stay on map 5.
    propose(8_000, 5, SHIFTED);
    expect(proposed).toEqual([5, 6, 7]);
  });
});
