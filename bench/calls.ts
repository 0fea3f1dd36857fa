import {build} from 'hdr-histogram-js';

import {completionTokens, streamEvent} from '../standins/engine_server.js';
import {LocalEstate} from './calls/local_estate.js';
import {bytesPerClaimedKey, bytesPerCachedAnswer} from './calls/memory.js';

const LATENCY_CALLS = 300;
const RATES_PER_SECOND = [20, 100, 300];
const RATE_FOR_MS = 2_000;
const APPEND_DELAYS_MS = [0, 5];
const TOKENS = 200;
const CUT_AFTER_MS = 600;
/** Time allowed for reconnecting a healed link. */
const REDIAL_MS = 4_000;
const CONNECTION_ROUNDS = 3;
const MICROS = 1_000;

const print = (line: string) => process.stdout.write(`${line}\n`);
const estate = new LocalEstate();
let keys = 0;
const nextKey = () => `key-${++keys}`;

async function measureLatency(name: string, key: () => string | undefined) {
  const histogram = build();
  const outcomes: Record<string, number> = {};
  for (let i = 0; i < LATENCY_CALLS; i++) {
    const start = performance.now();
    const outcome = await estate.load(`${name}-${i}`, key());
    histogram.recordValue((performance.now() - start) * MICROS);
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  }
  const at = (p: number) =>
    (histogram.getValueAtPercentile(p) / MICROS).toFixed(2);
  const counts = JSON.stringify(outcomes);
  print(`  ${name}: p50=${at(50)} ms p95=${at(95)} ms outcomes=${counts}`);
}

async function measureBatching(rate: number): Promise<void> {
  const before = await estate.readAppendCount();
  const pending: Promise<string>[] = [];
  const start = performance.now();
  while (performance.now() - start < RATE_FOR_MS) {
    const due = ((performance.now() - start) / 1_000) * rate;
    while (pending.length < due) {
      pending.push(estate.load(`rate-${rate}-${keys}`, nextKey()));
    }
    await new Promise(resolve => setTimeout(resolve, 2));
  }
  const outcomes = await Promise.all(pending);
  const seconds = (performance.now() - start) / 1_000;
  const appends = (await estate.readAppendCount()) - before;
  const done = outcomes.filter(outcome => outcome === 'done').length;
  print(
    `  offered=${rate}/s calls=${outcomes.length} done=${done} ` +
      `appends/s=${(appends / seconds).toFixed(1)} ` +
      `calls/append=${(outcomes.length / appends).toFixed(2)}`,
  );
}

async function measureUnresponsiveConnection(): Promise<void> {
  estate.depot.delayMs = 300;
  const call = estate.load(`silent-${++keys}`);
  await new Promise(resolve => setTimeout(resolve, 100));
  const start = performance.now();
  estate.relays[0]!.stallConnections();
  const outcome = await call;
  estate.depot.delayMs = 0;
  const after = Math.round(performance.now() - start);
  print(`  outcome=${outcome} after ${after} ms`);
}

async function measureCutStream(relay: number): Promise<void> {
  const times: number[] = [];
  let longest = 0;
  const reading = estate.stream(TOKENS, at => {
    const last = times.at(-1);
    if (last !== undefined) longest = Math.max(longest, at - last);
    times.push(at);
  });
  await new Promise(resolve => setTimeout(resolve, CUT_AFTER_MS));
  estate.relays[relay]!.cut();
  const text = await reading.catch(() => 'aborted');
  estate.relays[relay]!.heal();
  await new Promise(resolve => setTimeout(resolve, REDIAL_MS));
  const body = {prompt: 'stops', max_tokens: TOKENS};
  const events = completionTokens(body).map((token, at) =>
    streamEvent('rounds-assistant', token, at === TOKENS - 1),
  );
  const whole = `${events.join('')}data: [DONE]\n\n`;
  print(
    `  relay ${relay}: equal to an uncut answer: ${text === whole}; ` +
      `longest pause ${Math.round(longest)} ms, ${TOKENS} tokens`,
  );
}

print('Memory');
print(
  `  per kept answer of 500 bytes: ${Math.round(bytesPerCachedAnswer())} bytes`,
);
print(`  per claimed key: ${Math.round(bytesPerClaimedKey())} bytes`);
await estate.start();
await measureLatency('warm-up', () => undefined);
for (const delay of APPEND_DELAYS_MS) {
  estate.platform.faults.slowMs = delay;
  print(`Latency, the log answers after ${delay} ms`);
  await measureLatency('no key', () => undefined);
  await measureLatency('key of the caller', nextKey);
}
for (const delay of APPEND_DELAYS_MS) {
  estate.platform.faults.slowMs = delay;
  print(`Batching, the log answers after ${delay} ms`);
  for (const rate of RATES_PER_SECOND) await measureBatching(rate);
}
estate.platform.faults.slowMs = 0;
print('Connection of a running call goes silent');
for (let i = 0; i < CONNECTION_ROUNDS; i++) {
  await measureUnresponsiveConnection();
}
print('Stream while one of two sidecars is cut off');
for (const relay of [1, 2]) await measureCutStream(relay);
await estate.close();
process.exit(0);
