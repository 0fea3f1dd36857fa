import {incarnation, serviceName} from '../src/core/index.js';
import {
  PromptQuarantine,
  promptPartId,
  requestId,
} from '../src/direct/index.js';

const SERVICE = serviceName('assistant');
const PARTS = 10_000;
const QUARANTINES = 200;
const LOOKUPS = 200_000;
const NOW = 60_000;
const BYTES_PER_MB = 2 ** 20;

const part = (kind: string, number: number) =>
  promptPartId(`${kind}${number.toString(16).padStart(11, '0')}`);

/** Returns the time of one call, in µs. */
function measure(calls: number, call: (index: number) => unknown): number {
  const startedAt = performance.now();
  for (let i = 0; i < calls; i++) call(i);
  return ((performance.now() - startedAt) * 1_000) / calls;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

const before = heapBytes();
const quarantine = new PromptQuarantine();
const answer = measure(PARTS, i =>
  quarantine.recordAnswer(NOW, SERVICE, [part('a', i)]),
);
const bytes = heapBytes() - before;
const lookup = (i: number) =>
  quarantine.match(SERVICE, [part('a', i % PARTS), part('b', i)]);
const idle = measure(LOOKUPS, lookup);
for (let i = 0; i < QUARANTINES; i++) {
  for (const upstream of [0, 1]) {
    const crash = {
      service: SERVICE,
      upstream: incarnation(`i-${i}-${upstream}@1`),
      request: requestId(`r${i}-${upstream}`),
    };
    const at = i * 1_000 + upstream * 100;
    const report = quarantine.report(at, crash, [part('d', i)]);
    quarantine.merge(NOW, [report]);
  }
}
const loaded = measure(LOOKUPS, lookup);
const cleared = measure(LOOKUPS / 100, i =>
  quarantine.recordAnswer(NOW, SERVICE, [part('a', i % PARTS)]),
);
console.table([
  {measure: `state of ${PARTS} known parts, MB`, value: bytes / BYTES_PER_MB},
  {measure: 'answer recorded, no reports, µs', value: answer},
  {measure: 'request matched, no quarantine, µs', value: idle},
  {measure: `request matched, ${QUARANTINES} quarantines, µs`, value: loaded},
  {
    measure: `answer recorded, ${2 * QUARANTINES} reports, µs`,
    value: cleared,
  },
]);
