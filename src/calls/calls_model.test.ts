import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {CallSimulation, FAULTS} from '../../test/support/call_simulation.js';
import type {Fault, KeyKind} from '../../test/support/call_simulation.js';

const KEY_KINDS: readonly KeyKind[] = ['none', 'caller', 'issued'];
/** Steps that cover one fault-free session, with a margin. */
const STEPS = 45;
/** Steps from the first duplicate to the second. */
const DUPLICATE_DISTANCE = 20;
const SHORT_SPAN = 30_000;
const LONG_SPAN = 600_000;

interface Injection {
  readonly at: number;
  readonly fault: Fault;
  readonly pick: number;
}

interface Session {
  readonly kind: KeyKind;
  readonly span: number;
  /** Step of the first duplicate with the same key. */
  readonly repeatAt: number;
  readonly faults: readonly Injection[];
  /** Index of each next action; 0 once the list is exhausted. */
  readonly order: readonly number[];
}

function play(session: Session): CallSimulation {
  const {kind, span, repeatAt, faults, order} = session;
  const world = new CallSimulation();
  const key = kind === 'issued' ? world.issuedKey('crates') : 'loading-7';
  world.request(0, 'crates', kind, key, span);
  for (let step = 0; step < STEPS; step++) {
    const repeats = step === repeatAt || step === repeatAt + DUPLICATE_DISTANCE;
    if (repeats && kind !== 'none') {
      world.request(1, 'crates', kind, key, span);
    }
    for (const {at, fault, pick} of faults) {
      if (at === step) world.inject(fault, pick);
    }
    world.step(order[step] ?? 0);
  }
  if (kind !== 'none') world.request(1, 'crates', kind, key, span);
  world.finish();
  return world;
}

const injection = fc.record({
  at: fc.nat({max: STEPS - 1}),
  fault: fc.constantFrom(...FAULTS),
  pick: fc.nat({max: 7}),
});
const session = (faults: number) =>
  fc.record({
    kind: fc.constantFrom(...KEY_KINDS),
    span: fc.constantFrom(SHORT_SPAN, LONG_SPAN),
    repeatAt: fc.nat({max: STEPS - 1}),
    faults: fc.array(injection, {minLength: 1, maxLength: faults}),
    order: fc.array(fc.nat({max: 11}), {maxLength: STEPS}),
  });

describe.each(KEY_KINDS)('a call that is not idempotent, key: %s', kind => {
  it('runs once without faults', () => {
    const faults: Injection[] = [];
    const world = play({
      kind,
      span: SHORT_SPAN,
      repeatAt: 10,
      faults,
      order: [],
    });
    expect(world.violations).toEqual([]);
    const told = world.callers.map(one => one.kind);
    expect(told).toEqual(new Array(kind === 'none' ? 1 : 4).fill('done'));
  });

  it.each(FAULTS)('keeps its guarantees under %s at every step', fault => {
    for (let at = 0; at < STEPS; at++) {
      for (let pick = 0; pick < 4; pick++) {
        for (const span of [SHORT_SPAN, LONG_SPAN]) {
          const faults = [{at, fault, pick}];
          const world = play({kind, span, repeatAt: 6, faults, order: []});
          expect(world.violations, `step ${at} pick ${pick}`).toEqual([]);
        }
      }
    }
  });
});

describe('calls that are not idempotent', () => {
  it.each([
    {faults: 2, seed: 11, numRuns: 6_000},
    {faults: 5, seed: 12, numRuns: 4_000},
    {faults: 9, seed: 13, numRuns: 2_000},
  ])(
    'keep their guarantees under $faults faults',
    ({faults, seed, numRuns}) => {
      fc.assert(
        fc.property(session(faults), one => {
          expect(play(one).violations).toEqual([]);
        }),
        {seed, numRuns},
      );
    },
  );
});
