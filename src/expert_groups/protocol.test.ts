import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {GroupSimulation} from '../../test/support/group_simulation.js';
import type {ScheduledFault} from '../../test/support/group_simulation.js';

const FAULT_PERIOD = 30_000;
const FAULT_KINDS = [
  'kill_sidecar',
  'kill_engine',
  'replace',
  'replace_zombie',
  'pause',
  'store_down',
] as const;

const fault = (size: number): fc.Arbitrary<ScheduledFault> =>
  fc.record({
    at: fc.integer({min: 500, max: FAULT_PERIOD}),
    kind: fc.constantFrom(...FAULT_KINDS),
    // Rank 0 coordinates and is hit at least as often as all others together.
    rank: fc.oneof(fc.constant(0), fc.integer({min: 0, max: size - 1})),
    lasts: fc.integer({min: 1, max: 8_000}),
  });

const share = (max: number) => fc.double({min: 0, max, noNaN: true});

const session = (size: number, maxFaults: number) =>
  fc.record({
    seed: fc.integer({min: 0, max: 2 ** 30}),
    lost: share(0.2),
    duplicated: share(0.3),
    answerLost: share(0.3),
    delay: fc.constantFrom(5, 100, 700),
    faults: fc.array(fault(size), {minLength: 0, maxLength: maxFaults}),
  });

describe('rank protocol under random faults', () => {
  it.each([
    {size: 2, runs: 150, maxFaults: 14, recovery: 30_000},
    {size: 8, runs: 80, maxFaults: 14, recovery: 30_000},
    {size: 128, runs: 6, maxFaults: 10, recovery: 40_000},
  ])(
    'uses one map per step and recovers with $size ranks',
    ({size, runs, maxFaults, recovery}) => {
      const property = fc.property(session(size, maxFaults), input => {
        const {seed, faults, ...rates} = input;
        const world = new GroupSimulation(size, seed);
        Object.assign(world.faults, rates);
        world.schedule(faults);
        world.run(FAULT_PERIOD);
        expect(world.violations).toEqual([]);
        world.heal();
        world.run(FAULT_PERIOD + recovery);
        expect(world.violations).toEqual([]);
        const {completedSteps: completed} = world;
        const before = world.switchResults.length;
        world.run(FAULT_PERIOD + recovery + 15_000);
        expect(world.completedSteps).toBeGreaterThan(completed + 50);
        const outcomes = world.switchResults
          .slice(before)
          .map(({outcome}) => outcome);
        expect(outcomes).toContain('committed');
      });
      fc.assert(property, {numRuns: runs, seed: 70 + size, endOnFailure: true});
    },
  );
});

describe('rank protocol traces of three ranks', () => {
  it.each<{name: string; until: number; faults: ScheduledFault[]}>([
    {name: 'change', until: 2_500, faults: []},
    {
      name: 'cancelled',
      until: 8_500,
      faults: [{at: 1_508, kind: 'pause', rank: 2, lasts: 5_600}],
    },
    {
      name: 'succession',
      until: 4_500,
      faults: [{at: 1_520, kind: 'kill_sidecar', rank: 0, lasts: 700}],
    },
    {
      name: 'succession_after_commit',
      until: 4_500,
      faults: [
        {at: 1_520, kind: 'kill_sidecar', rank: 1, lasts: 600},
        {at: 1_531, kind: 'kill_sidecar', rank: 0, lasts: 700},
      ],
    },
    {
      name: 'replaced_rank',
      until: 4_500,
      faults: [{at: 1_529, kind: 'replace', rank: 1, lasts: 400}],
    },
  ])('$name', async ({name, until, faults}) => {
    const world = new GroupSimulation(3, 7, true);
    world.schedule(faults);
    world.run(until);
    expect(world.violations).toEqual([]);
    await expect(`${world.traceLines.join('\n')}\n`).toMatchFileSnapshot(
      `__golden__/${name}.txt`,
    );
  });
});
