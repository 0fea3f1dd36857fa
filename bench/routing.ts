import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import {decisionCost} from './routing/decision_cost.js';
import {
  BASELINES,
  DEPLOYMENTS,
  VARIANTS,
  planOf,
} from './routing/deployments.js';
import type {Variant} from './routing/deployments.js';
import {simulate} from './routing/run.js';
import type {RunResult} from './routing/run.js';

/** Target for the 95th percentile of the time to first token, ms. */
const FIRST_TOKEN_TARGET = 640;
const SEEDS = [1, 2];
/** Replicas of one service known to an entry, today and at the target. */
const KNOWN_REPLICAS = [12, 40, 80, 1_300];

setFlagsFromString('--expose-gc');
globalThis.gc = runInNewContext('gc') as typeof globalThis.gc;

function line(name: string, {tally, estate}: RunResult): string {
  const times = [0.5, 0.95, 0.99].map(share => tally.firstToken(share));
  return [
    name.padEnd(28),
    ...times.map(time => time.toFixed(0).padStart(6)),
    tally.shareWithin(FIRST_TOKEN_TARGET).toFixed(4).padStart(8),
    tally.goodput.toFixed(4).padStart(8),
    estate.hitShare.toFixed(3).padStart(7),
    tally.fairness.toFixed(4).padStart(8),
  ].join(' ');
}

const HEADER =
  'policy or setting, p50 p95 p99 ms, within 640 ms, goodput, hit share, Jain';

for (const deployment of DEPLOYMENTS) {
  for (const seed of SEEDS) {
    const {workload, rate} = deployment;
    console.log(`\n${workload.name}, ${rate} requests/s, seed ${seed}`);
    console.log(HEADER);
    const run = ({change}: Variant) =>
      simulate(planOf(deployment, change, {seed}));
    let best = Infinity;
    for (const variant of BASELINES) {
      const result = run(variant);
      best = Math.min(best, result.tally.firstToken(0.95));
      console.log(line(variant.name, result));
    }
    for (const [index, variant] of VARIANTS.entries()) {
      const result = run(variant);
      console.log(line(variant.name, result));
      if (index > 0) continue;
      const gain = 1 - result.tally.firstToken(0.95) / best;
      console.log(`  p95 ${(100 * gain).toFixed(0)}% below the best baseline`);
    }
  }
}

console.log(
  '\nreplicas known, decision p50 p99 us, hash p99 us, bytes/replica',
);
for (const count of KNOWN_REPLICAS) {
  const cost = decisionCost(count);
  const {replicas, p50, p99, hashP99, bytesPerReplica} = cost;
  const times = [p50, p99, hashP99].map(time => time.toFixed(1));
  console.log(replicas, ...times, bytesPerReplica.toFixed(0));
}
