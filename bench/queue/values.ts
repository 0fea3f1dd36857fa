import {
  AJU_WAVES,
  BURST_OF_ALL,
  FLOOD,
  LEAST_URGENT_BURST,
  PRIORITY_LOADS,
} from './overload_loads.js';
import {
  replayOverload,
  servedFraction,
  valueServed,
} from './overload_replay.js';
import type {OverloadLoad} from './overload_replay.js';

const SEEDS = [1, 2, 3];
const DECIMALS = 3;

const LOADS: [string, OverloadLoad, 'equal' | 'by_priority'][] = [
  ...PRIORITY_LOADS.map(
    ([name, load]) =>
      [name, load, 'by_priority'] as [string, OverloadLoad, 'by_priority'],
  ),
  [
    'a burst of the least urgent route at one entry',
    {...LEAST_URGENT_BURST, entries: 1},
    'by_priority',
  ],
  [
    'a burst of all routes at one entry',
    {...BURST_OF_ALL, entries: 1},
    'by_priority',
  ],
  ['one organisation floods', FLOOD, 'equal'],
  ['Aju, zones out of phase', AJU_WAVES, 'equal'],
];

/** Returns what each load is served with the scanned queue and the new one. */
export function valuesBeforeAndAfter(): object[] {
  return LOADS.map(([name, load, kind]) => {
    const [before, after] = (['scanned', kind] as const).map(queue =>
      SEEDS.flatMap(seed => replayOverload(load, queue, seed)),
    );
    const greatest = before!.reduce(
      (sum, one) => sum + one.route.valueInTime,
      0,
    );
    const of = (measure: (results: typeof before & object) => number) =>
      [before!, after!]
        .map(results => measure(results).toFixed(DECIMALS))
        .join(' -> ');
    return {
      load: name,
      value: of(results => valueServed(results) / greatest),
      served: of(results => servedFraction(results)),
      'in time': of(results => servedFraction(results, true)),
    };
  });
}
