/**
 * Measures the overhead of the path through an entry and a sidecar compared
 * with direct calls to the stand-in: `npm run bench:path`.
 */
import {BenchEstate} from './path/estate.js';
import type {BenchProcess} from './path/estate.js';
import {sendAtRate, saturate} from './path/load.js';
import type {Load, Outcome} from './path/load.js';

const ROUNDS = 3;
const ROUND_MS = 2_000;
const WARM_UP_MS = 2_000;
const CONCURRENCY = 64;
const TOKENS = 200;
/** Target: 1.3 million tokens a second over 380 nodes. */
const TOKENS_PER_SECOND = 3_400;

const plainBody = JSON.stringify({text: 'x'.repeat(1_000)});
const streamBody = JSON.stringify({
  ...{model: 'model', stream: true, max_tokens: TOKENS},
  messages: [{role: 'user', content: 'plan the stops'}],
});

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;

function print(name: string, value: number, unit: string): void {
  process.stdout.write(`${name.padEnd(46)} ${value.toFixed(3)} ${unit}\n`);
}

/** Returns the median over the rounds of a latency percentile, ms. */
function latency(
  rounds: readonly Outcome[],
  of: 'firstByte' | 'whole',
  percentile: number,
): number {
  const micros = rounds.map(o => o[of].getValueAtPercentile(percentile));
  return median(micros) / 1_000;
}

function compare(name: string, via: Outcome[], direct: Outcome[]): void {
  for (const of of ['firstByte', 'whole'] as const) {
    for (const percentile of [50, 99]) {
      const through = latency(via, of, percentile);
      const alone = latency(direct, of, percentile);
      const label = `${name}, ${of}, p${percentile}`;
      print(`${label}, through`, through, 'ms');
      print(`${label}, direct`, alone, 'ms');
      print(`${label}, added`, through - alone, 'ms');
    }
  }
  const failed = [...via, ...direct].reduce((sum, o) => sum + o.failed, 0);
  print(`${name}, failed`, failed, 'requests');
}

async function benchPlain(via: Load, direct: Load): Promise<void> {
  await saturate(via, CONCURRENCY, WARM_UP_MS);
  const rates: number[] = [];
  const refused: number[] = [];
  const directRates: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const through = await saturate(via, CONCURRENCY, ROUND_MS);
    const alone = await saturate(direct, CONCURRENCY, ROUND_MS);
    rates.push(through.done / through.seconds);
    refused.push(through.failed / through.seconds);
    directRates.push(alone.done / alone.seconds);
  }
  print('plain 1 kB, saturated, through', median(rates), 'requests/s');
  print('plain 1 kB, saturated, refused', median(refused), 'requests/s');
  print('plain 1 kB, saturated, direct', median(directRates), 'requests/s');
  const half = median(rates) / 2;
  const paced: Outcome[] = [];
  const alone: Outcome[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    paced.push(await sendAtRate(via, half, ROUND_MS));
    alone.push(await sendAtRate(direct, half, ROUND_MS));
  }
  compare('plain 1 kB at half', paced, alone);
}

async function benchStreams(
  via: Load,
  direct: Load,
  watched: ReadonlyMap<string, BenchProcess>,
): Promise<void> {
  const perSecond = TOKENS_PER_SECOND / TOKENS;
  await sendAtRate(via, perSecond, WARM_UP_MS);
  const paced: Outcome[] = [];
  const alone: Outcome[] = [];
  const cores = new Map(
    [...watched.keys()].map(name => [name, [] as number[]]),
  );
  for (let round = 0; round < ROUNDS; round++) {
    const before = [...watched].map(([name, p]) => [name, p.cpuSeconds()]);
    const outcome = await sendAtRate(via, perSecond, ROUND_MS);
    const used = new Map(before as [string, number][]);
    for (const [name, process] of watched) {
      const seconds = process.cpuSeconds() - (used.get(name) ?? 0);
      cores.get(name)?.push(seconds / (outcome.done * TOKENS));
    }
    paced.push(outcome);
    alone.push(await sendAtRate(direct, perSecond, ROUND_MS));
  }
  compare(`stream of ${TOKENS}`, paced, alone);
  const bytes = paced.map(o => o.bytes / (o.done * TOKENS));
  print('stream, bytes to the caller a token', median(bytes), 'B');
  for (const [name, perToken] of cores) {
    const micros = median(perToken) * 1e6;
    print(`stream, ${name} processor time a token`, micros, 'µs');
    const share = (micros / 1e6) * TOKENS_PER_SECOND * 100;
    print(
      `stream, ${name} at ${TOKENS_PER_SECOND} tokens/s`,
      share,
      '% of a core',
    );
  }
}

const estate = new BenchEstate();
try {
  await estate.start();
  await estate.entry.waitForEvent('configuration_in_force');
  const {entryUrl: entry, engineUrl, plainUrl} = estate;
  const plain = {path: '/services/plain/echo', body: plainBody};
  await benchPlain(
    {...plain, url: entry},
    {...plain, url: plainUrl, path: '/echo'},
  );
  const stream = {path: '/v1/chat/completions', body: streamBody};
  await benchStreams(
    {...stream, url: entry},
    {...stream, url: engineUrl},
    new Map([
      ['entry', estate.entry],
      ['sidecar', estate.modelSidecar],
    ]),
  );
} finally {
  await estate.stop();
}
