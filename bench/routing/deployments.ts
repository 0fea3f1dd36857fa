import {
  BoundedHashPolicy,
  DEFAULT_FIRST_TOKEN_SETTINGS,
  FirstTokenPolicy,
  LeastInFlightPolicy,
  PowerOfTwoPolicy,
  RandomPolicy,
  RoundRobinPolicy,
} from '../../src/routing/index.js';
import type {FirstTokenSettings} from '../../src/routing/index.js';
import type {EstateShape} from './estate_parts.js';
import type {RunPlan} from './run.js';
import {KIVULI, MAISON} from './workload.js';
import type {WorkloadShape} from './workload.js';

/** Deployment that the system serves today. */
export interface Deployment {
  readonly workload: WorkloadShape;
  readonly zoneLatency: number;
  /** Requests per second at which round robin keeps engines 80% busy. */
  readonly rate: number;
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {workload: KIVULI, zoneLatency: 0.5, rate: 100},
  {workload: MAISON, zoneLatency: 1.5, rate: 70},
];

/** Realistic events of the prefix caches: delayed and with gaps. */
export const LATE_EVENTS = {delay: 500, loss: 0.02};

/** Deployment with the default policy. */
export const SHAPE: EstateShape = {
  zones: 3,
  entriesPerZone: 2,
  replicasPerZone: 4,
  zoneLatency: 0.5,
  speed: {msPerBlock: 8, msPerToken: 12, cacheBlocks: 1_000},
  concurrency: 16,
  queue: 64,
  policy: () => new FirstTokenPolicy(),
  cacheEvents: LATE_EVENTS,
};

/** Named change to the shape of a deployment. */
export interface Variant {
  readonly name: string;
  readonly change: Partial<EstateShape>;
}

const NO_EVENTS = {delay: 500, loss: 1};

function baseline(policy: EstateShape['policy']): Variant {
  return {name: policy().name, change: {policy, cacheEvents: NO_EVENTS}};
}

function setting(name: string, settings: Partial<FirstTokenSettings>): Variant {
  const all = {...DEFAULT_FIRST_TOKEN_SETTINGS, ...settings};
  return {name, change: {policy: () => new FirstTokenPolicy(all)}};
}

export const BASELINES: readonly Variant[] = [
  baseline(() => new RoundRobinPolicy()),
  baseline(() => new RandomPolicy()),
  baseline(() => new LeastInFlightPolicy()),
  baseline(() => new PowerOfTwoPolicy()),
  baseline(() => new BoundedHashPolicy()),
];

/** The default policy first, then its alternatives. */
export const VARIANTS: readonly Variant[] = [
  {name: 'in force', change: {}},
  {name: 'no cache events', change: {cacheEvents: NO_EVENTS}},
  {name: 'events 3 s late', change: {cacheEvents: {delay: 3_000, loss: 0.02}}},
  {name: '20% events lost', change: {cacheEvents: {delay: 500, loss: 0.2}}},
  {name: 'forget on a gap', change: {onGap: 'forget'}},
  {
    name: 'no removals told',
    change: {cacheEvents: {...LATE_EVENTS, removed: false}},
  },
  {name: 'blocks of 256 characters', change: {granularity: 1}},
  {name: 'blocks of 2048 characters', change: {granularity: 8}},
  setting('no spill penalty', {spillPenalty: 0}),
  setting('spill penalty 100 ms', {spillPenalty: 100}),
  setting('load bound 1.25', {loadBound: 1.25}),
  setting('no load bound', {loadBound: Infinity}),
  setting('two drawn', {sampleSize: 2}),
  setting('four drawn', {sampleSize: 4}),
  {name: 'reports 1 s late', change: {reportDelay: 1_000}},
  {name: 'reports 5 s late', change: {reportDelay: 5_000}},
];

/**
 * Returns the plan of a run.
 * @param deployment - deployment to run
 * @param change - differences from the default shape
 * @param parts - differences from the default plan
 */
export function planOf(
  {workload, zoneLatency, rate}: Deployment,
  change: Partial<EstateShape> = {},
  parts: Partial<RunPlan> = {},
): RunPlan {
  const shape = {...SHAPE, zoneLatency, ...change};
  const times = {warmUp: 60_000, span: 120_000, seed: 1};
  return {shape, workload, rate, ...times, ...parts};
}
