import {
  BoundedHashPolicy,
  FirstTokenPolicy,
  RoundRobinPolicy,
} from '../src/routing/index.js';
import {KIVULI, MAISON} from './routing/workload.js';
import {simulate} from './routing/run.js';

const SHAPE = {
  zones: 3,
  entriesPerZone: 2,
  replicasPerZone: 4,
  concurrency: 16,
  queue: 64,
};
const cacheBlocks = Number(process.argv[4] ?? 1000);
const speed = {msPerBlock: 8, msPerToken: 12, cacheBlocks};
const S =
  (spillPenalty: number, sample: number, loadBound: number, home?: number) =>
  () =>
    new FirstTokenPolicy({spillPenalty, sample, loadBound, home} as any);
const EV = {delay: 500, loss: 0.02};
for (const [workload, zoneLatency, rate] of [
  [KIVULI, 0.5, Number(process.argv[2])],
  [MAISON, 1.5, Number(process.argv[3])],
] as const) {
  for (const [label, policy, cacheEvents, granularity] of [
    ['rr', () => new RoundRobinPolicy()],
    ['hash', () => new BoundedHashPolicy()],
    ['ft own home.5', S(20, Infinity, 2, 0.5)],
    ['ft own home.5 g4', S(20, Infinity, 2, 0.5), undefined, 4],
    ['ft ev', S(20, Infinity, 2), EV],
    ['ft ev g4', S(20, Infinity, 2), EV, 4],
    ['ft ev noremoved', S(20, Infinity, 2), {...EV, removed: false}],
    ['ft ev g4 noremoved', S(20, Infinity, 2), {...EV, removed: false}, 4],
    [
      'ft ev g4 noremoved d1000',
      S(20, Infinity, 2),
      {...EV, delay: 1000, removed: false},
      4,
    ],
    [
      'ft ev g4 home.5 noremoved d1000',
      S(20, Infinity, 2, 0.5),
      {...EV, delay: 1000, removed: false},
      4,
    ],
    [
      'ft ev g4 home.5 noremoved d1000 binf',
      S(20, Infinity, Infinity, 0.5),
      {...EV, delay: 1000, removed: false},
      4,
    ],
    [
      'ft ev g4 home.5 noremoved d1000 b1.25',
      S(20, Infinity, 1.25, 0.5),
      {...EV, delay: 1000, removed: false},
      4,
    ],
    [
      'ft ev g4 home.8 noremoved d1000',
      S(20, Infinity, 2, 0.8),
      {...EV, delay: 1000, removed: false},
      4,
    ],
    ['ft ev g2 home.5', S(20, Infinity, 2, 0.5), EV, 2],
    ['ft ev g2 home.5 sp40', S(40, Infinity, 2, 0.5), EV, 2],
    ['ft ev g8 home.5', S(20, Infinity, 2, 0.5), EV, 8],
  ] as const) {
    const t0 = performance.now();
    const {tally, estate} = simulate({
      shape: {
        ...SHAPE,
        speed,

        ...(granularity && {granularity}),
        zoneLatency,
        policy,
        ...(cacheEvents && {cacheEvents}),
      },
      workload,
      rate,
      warmUp: 60_000,
      span: 120_000,
      seed: Number(process.argv[5]),
    });
    console.log(
      workload.name,
      label,
      tally.count,
      tally.goodput.toFixed(4),
      [0.5, 0.95, 0.99].map(q => tally.firstToken(q).toFixed(0)).join('/'),
      tally.shareWithin(640).toFixed(3),
      'hit',
      estate.hitShare.toFixed(3),
      'util',
      estate.utilisation.toFixed(3),
      tally.fairness.toFixed(4),
      (performance.now() - t0).toFixed(0),
      JSON.stringify([...tally.reasons]),
    );
  }
}
