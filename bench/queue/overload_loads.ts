import type {LoadRoute, OverloadLoad} from './overload_replay.js';
import {AJU, HEARTHLINE} from './overload_replay.js';

const DURATION = 12_000;
/** Starts per second; the usual load of Hearthline is 156.6. */
export const CAPACITY = 165;
/** Returns whether a disturbance lasts. */
export const isBurst = (now: number) => now >= 3_000 && now < 7_000;

/** The usual load of Hearthline. */
export const STEADY: OverloadLoad = {
  routes: HEARTHLINE,
  entries: 8,
  duration: DURATION,
  capacity: () => CAPACITY,
};

/** A burst of the least urgent route beside steady urgent ones. */
export const LEAST_URGENT_BURST: OverloadLoad = {
  ...STEADY,
  maxFactor: 2.3,
  factor: (now, {priority}) => (isBurst(now) && priority === 2 ? 2.3 : 1),
};

/** A burst of all routes. */
export const BURST_OF_ALL: OverloadLoad = {
  ...STEADY,
  maxFactor: 1.7,
  factor: now => (isBurst(now) ? 1.7 : 1),
};

const mostUrgentBurst: OverloadLoad = {
  ...STEADY,
  maxFactor: 1.7,
  factor: (now, {priority}) => (isBurst(now) && priority === 0 ? 1.7 : 1),
};

const slowGroup: OverloadLoad = {
  ...STEADY,
  capacity: now => (isBurst(now) ? CAPACITY / 2 : CAPACITY),
};

const PERIOD = 13_000;
const waves = (routes: readonly LoadRoute[], capacity: number) => ({
  ...STEADY,
  routes,
  duration: 2 * PERIOD,
  entries: 9,
  capacity: () => capacity,
  maxFactor: 1.55,
  factor: (now: number, _route: LoadRoute, entry: number) =>
    1 + 0.55 * Math.sin(2 * Math.PI * (now / PERIOD + (entry % 3) / 6)),
});

const hotKey: OverloadLoad = {
  ...STEADY,
  maxFactor: 5,
  // The callers of one key reach the group through one entry.
  factor: (now, _route, entry) => (isBurst(now) && entry === 0 ? 5 : 1),
};

/** Demand of Aju, whose zones oscillate out of phase. */
export const AJU_WAVES: OverloadLoad = waves(AJU, 190);

/** Loads of routes with unequal priorities. */
export const PRIORITY_LOADS: [string, OverloadLoad][] = [
  ['a burst of the least urgent route (x 2.3)', LEAST_URGENT_BURST],
  ['a burst of the most urgent route (x 1.7)', mostUrgentBurst],
  ['a burst of all routes (x 1.7)', BURST_OF_ALL],
  ['a burst of all routes at 38 entries', {...BURST_OF_ALL, entries: 38}],
  ['a group that slows down', slowGroup],
  ['waves of zones out of phase', waves(HEARTHLINE, CAPACITY)],
  ['a hot key at one entry', hotKey],
];

const oneRoute: LoadRoute = {...HEARTHLINE[1]!, perSecond: 120};
/** A flood of one organisation, within one priority. */
export const FLOOD: OverloadLoad = {
  ...STEADY,
  routes: [oneRoute],
  entries: 1,
  maxFactor: 2.5,
  factor: now => (isBurst(now) ? 2.5 : 1),
  // In the burst, 180 of 300 a second are the flood.
  organisation: (now, chance) =>
    isBurst(now) && chance.fraction() < 0.6
      ? 'flood'
      : `o${chance.between(1, 6)}`,
};
