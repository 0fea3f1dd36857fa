import {Chance} from '../src/core/index.js';
import {GroupSimulation} from '../test/support/group_simulation.js';
import {DEFAULT_POLICY} from '../src/expert_groups/index.js';
import type {GroupShape} from '../src/expert_groups/index.js';
import {
  AfternoonMix,
  BurstyDrift,
  OrderMix,
  SlowDrift,
  SwapDrift,
} from './experts/drifts.js';
import type {Drift} from './experts/drifts.js';
import {runDrift} from './experts/run.js';
import type {Figures, Strategy} from './experts/run.js';

const MIB = 2 ** 20;
const SEED = 5;
const [size = 'today', only = '', ...trial] = process.argv.slice(2);

const SHAPES: Record<string, {shape: GroupShape; intervals: number}> = {
  today: {
    shape: {
      ranks: 8,
      layers: 16,
      experts: 64,
      slotsPerRank: 10,
      expertSize: 44 * MIB,
    },
    intervals: 240,
  },
  target: {
    shape: {
      ranks: 128,
      layers: 60,
      experts: 256,
      slotsPerRank: 3,
      expertSize: 44 * MIB,
    },
    intervals: 24,
  },
};

const {shape, intervals} = SHAPES[size]!;
const drifts: ((chance: Chance) => Drift)[] = [
  chance => new SlowDrift(chance, shape),
  chance => new BurstyDrift(chance, shape),
  chance => new SwapDrift(chance, shape, intervals),
  chance => new OrderMix(chance, shape),
  chance => new AfternoonMix(chance, shape, intervals),
];
const policy = (weightSkew: number, weightCost: number): Strategy => ({
  kind: 'plan',
  policy: {
    ...DEFAULT_POLICY,
    weightSkew,
    weightCost,
  },
});
const strategies: Record<string, Strategy> = {
  never: {kind: 'never'},
  repack: {kind: 'repack'},
  kivuli: policy(10, 4),
  maison: policy(4, 8),
};
for (const text of trial) {
  const [weightSkew = 0, weightCost = 0] = text.split(':').map(Number);
  strategies[text] = policy(weightSkew, weightCost);
}
console.log(`${size}: ${intervals} intervals, seed ${SEED}`);
for (const make of drifts) {
  if (!make(new Chance(SEED)).name.includes(only)) continue;
  let base: Figures | undefined;
  for (const [name, strategy] of Object.entries(strategies)) {
    const drift = make(new Chance(SEED));
    const f = runDrift(shape, drift, intervals, strategy);
    if (name === 'repack') base = f;
    const ratio = base
      ? `skew/repack ${(f.meanSkew / base.meanSkew).toFixed(3)} ` +
        `bytes/repack ${(f.gib / base.gib).toFixed(3)}`
      : '';
    console.log(
      `${drift.name} ${name} mean ${f.meanSkew.toFixed(3)} ` +
        `p99 ${f.p99Skew.toFixed(3)} GiB ${f.gib.toFixed(1)} ` +
        `changes ${f.changes} plan ${f.planMs.toFixed(0)} ms ` +
        `stall ${f.stallMs.toFixed(1)} ms ${ratio}`,
    );
  }
}

/** Prints the steps delayed by map switches and the steps with two maps. */
function delays(ranks: number, lost: number, delay: number): void {
  const world = new GroupSimulation(ranks, SEED);
  Object.assign(world.faults, {lost, delay});
  world.run(120_000);
  const committed = world.switchResults.filter(
    e => e.outcome === 'committed',
  ).length;
  console.log(
    `protocol ${ranks} ranks lost ${lost} delay ${delay} ms: ` +
      `steps ${world.completedSteps} changes ${committed} of ${world.switchResults.length} ` +
      `steps delayed ${world.heldTicks} ` +
      `steps with two maps ${world.violations.length}`,
  );
}

for (const ranks of size === 'today' ? [2, 8] : [128]) {
  delays(ranks, 0, 5);
  delays(ranks, 0.05, 100);
}
