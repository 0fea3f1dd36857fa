import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {HOUR, incarnation, serviceName} from '../core/index.js';
import {PromptQuarantine} from './prompt_quarantine.js';
import type {CrashReport} from './crash_report.js';
import {promptPartId, requestId} from './types.js';

const SERVICE = serviceName('assistant');
const [COMMON, DEADLY, OTHER] = ['c0', 'dead', 'b7'].map(promptPartId) as [
  ReturnType<typeof promptPartId>,
  ReturnType<typeof promptPartId>,
  ReturnType<typeof promptPartId>,
];
const NOW = 60_000;

/** Adds a crash of another upstream to a quarantine. */
function crash(
  quarantine: PromptQuarantine,
  number: number,
  parts: readonly (typeof COMMON)[],
  at = number * 1_000,
) {
  const report = quarantine.report(
    at,
    {
      service: SERVICE,
      upstream: incarnation(`i-${number}@1`),
      request: requestId(`r${number}`),
    },
    parts,
  );
  return quarantine.merge(at, [report]);
}

const partsOf = (quarantine: PromptQuarantine) =>
  quarantine.current.map(({parts}) => parts);

describe('PromptQuarantine', () => {
  it('quarantines a part after two crashes without an answer', () => {
    const quarantine = new PromptQuarantine();
    quarantine.recordAnswer(NOW, SERVICE, [COMMON]);
    expect(crash(quarantine, 1, [COMMON, DEADLY]).added).toEqual([]);
    expect(quarantine.match(SERVICE, [COMMON, DEADLY])).toBeUndefined();
    expect(crash(quarantine, 2, [COMMON, DEADLY]).added).toHaveLength(1);
    expect(partsOf(quarantine)).toEqual([[DEADLY]]);
    expect(quarantine.match(SERVICE, [OTHER, DEADLY])).toBeDefined();
    expect(quarantine.match(SERVICE, [COMMON])).toBeUndefined();
    expect(quarantine.match(serviceName('b'), [DEADLY])).toBeUndefined();
  });

  it('serves requests with a part that always accompanies a deadly one', () => {
    const quarantine = new PromptQuarantine();
    crash(quarantine, 1, [COMMON, DEADLY]);
    crash(quarantine, 2, [COMMON, DEADLY]);
    expect(partsOf(quarantine)).toEqual([[COMMON, DEADLY]]);
    expect(quarantine.match(SERVICE, [COMMON])).toBeUndefined();
    expect(quarantine.match(SERVICE, [COMMON, DEADLY])).toBeDefined();
    quarantine.recordAnswer(NOW, SERVICE, [COMMON]);
    expect(partsOf(quarantine)).toEqual([[DEADLY]]);
    expect(quarantine.match(SERVICE, [OTHER, DEADLY])).toBeDefined();
  });

  it('takes answers that other entries know into account', () => {
    const [here, there] = [new PromptQuarantine(), new PromptQuarantine()];
    there.recordAnswer(NOW, SERVICE, [COMMON]);
    const {reports} = crash(here, 1, [COMMON, DEADLY]);
    there.merge(1_000, reports);
    here.merge(1_000, there.related(reports));
    crash(here, 2, [COMMON, OTHER]);
    expect(partsOf(here)).toEqual([]);
  });

  it('counts several crashes at the same moment as one', () => {
    const quarantine = new PromptQuarantine();
    crash(quarantine, 1, [DEADLY], 1_000);
    crash(quarantine, 2, [DEADLY], 1_010);
    expect(partsOf(quarantine)).toEqual([]);
    crash(quarantine, 3, [DEADLY], 5_000);
    expect(partsOf(quarantine)).toEqual([[DEADLY]]);
  });

  it('quarantines a part with earlier answers after four crashes in a row', () => {
    const quarantine = new PromptQuarantine();
    quarantine.recordAnswer(NOW, SERVICE, [COMMON]);
    for (const number of [1, 2, 3]) crash(quarantine, number, [COMMON]);
    quarantine.recordAnswer(NOW, SERVICE, [COMMON]);
    for (const number of [4, 5, 6]) crash(quarantine, number, [COMMON]);
    expect(partsOf(quarantine)).toEqual([]);
    crash(quarantine, 7, [COMMON]);
    expect(partsOf(quarantine)).toEqual([[COMMON]]);
  });

  it('ignores the crash of an upstream that goes on with other runs', () => {
    const quarantine = new PromptQuarantine();
    crash(quarantine, 1, [DEADLY], 1_000);
    crash(quarantine, 2, [DEADLY], 2_000);
    const upstream = incarnation('i-2@1');
    const alive = (at: number, sentAt: number) =>
      quarantine.recordAlive(at, upstream, sentAt).removed;
    expect(alive(2_050, 1_500)).toEqual([]);
    // This run was sent after the crash, perhaps to a restarted process.
    expect(alive(2_400, 2_100)).toEqual([]);
    expect(alive(2_400, 1_500)).toHaveLength(1);
  });

  it('counts the crash of an upstream that answers again later', () => {
    const quarantine = new PromptQuarantine();
    for (const number of [1, 2]) crash(quarantine, number, [DEADLY]);
    quarantine.recordAlive(5_000, incarnation('i-2@1'), 500);
    expect(partsOf(quarantine)).toEqual([[DEADLY]]);
  });

  it('quarantines several parts at once', () => {
    const quarantine = new PromptQuarantine();
    for (const number of [1, 3]) crash(quarantine, number, [DEADLY]);
    for (const number of [2, 4]) crash(quarantine, number, [OTHER]);
    expect(partsOf(quarantine)).toEqual([[DEADLY], [OTHER]]);
  });

  it('lifts a quarantine that an operator clears', () => {
    const quarantine = new PromptQuarantine();
    for (const number of [1, 2]) crash(quarantine, number, [DEADLY]);
    expect(quarantine.clear(NOW, SERVICE, [DEADLY]).removed).toHaveLength(1);
    expect(quarantine.match(SERVICE, [DEADLY])).toBeUndefined();
  });

  it('tries a part again after the retention of its reports', () => {
    const quarantine = new PromptQuarantine();
    for (const number of [1, 2]) crash(quarantine, number, [DEADLY]);
    expect(quarantine.expire(23 * HOUR).removed).toEqual([]);
    expect(quarantine.expire(25 * HOUR).removed).toHaveLength(1);
  });

  it('keeps bounded state for callers that send ever new parts', () => {
    const quarantine = new PromptQuarantine();
    for (const number of [1, 2]) crash(quarantine, number, [DEADLY]);
    for (let i = 3; i < 2_000; i++) {
      crash(quarantine, i, [promptPartId(`e${i}`)]);
      quarantine.recordAnswer(NOW, SERVICE, [promptPartId(`a${i}`)]);
    }
    expect(quarantine.allReports.length).toBeLessThanOrEqual(512);
    expect(partsOf(quarantine)).toEqual([[DEADLY]]);
  });

  it('comes to the same quarantines for any order of the reports', () => {
    const part = fc.constantFrom(COMMON, DEADLY, OTHER);
    const report = fc.record({
      service: fc.constant(SERVICE),
      upstream: fc.constantFrom('i-1', 'i-2', 'i-3').map(incarnation),
      request: fc.constantFrom('r1', 'r2', 'r3', 'r4').map(requestId),
      at: fc.integer({min: 0, max: 10_000}),
      suspects: fc.uniqueArray(part, {minLength: 1}),
      isKnown: fc.boolean(),
      cleared: fc.uniqueArray(part),
    });
    // One crash has one report, apart from what was cleared since.
    const reports = fc
      .uniqueArray(report, {
        selector: ({upstream, request}) => `${upstream} ${request}`,
      })
      .map(list =>
        list.map(one => ({
          ...one,
          cleared: one.suspects.filter(id => one.cleared.includes(id)),
        })),
      );
    const shuffled = reports.chain(list =>
      fc.tuple(
        fc.constant(list),
        fc.shuffledSubarray(list, {
          minLength: list.length,
          maxLength: list.length,
        }),
      ),
    );
    const verdict = (list: readonly CrashReport[]) => {
      const quarantine = new PromptQuarantine();
      for (const one of list) quarantine.merge(10_000, [one]);
      return new Set(
        partsOf(quarantine).map(parts => [...parts].sort().join()),
      );
    };
    fc.assert(
      fc.property(shuffled, ([first, second]) => {
        expect(verdict(second)).toEqual(verdict(first));
      }),
    );
  });
});
