import {decode, encode} from '../src/links/codec.js';
import {linkMessage} from '../src/links/messages.js';
import {parseConfiguration} from '../src/configuration/index.js';
import {
  availabilityZone,
  callId,
  newIncarnation,
  serviceName,
  vmName,
} from '../src/core/index.js';
import {OrganisationDirectory} from '../src/admission/index.js';
import {MemberTable} from '../src/membership/index.js';
import type {Identity} from '../src/membership/index.js';
import {bytesPerClaimedKey, bytesPerCachedAnswer} from './calls/memory.js';
import {largeText} from './control/large_text.js';
import {decisionCost} from './routing/decision_cost.js';

const MICROS = 1_000;
const TOKEN_BYTES = 131;

/** Measured value of a quantity at one size. */
interface Point {
  readonly what: string;
  readonly size: number;
  readonly value: number;
  readonly unit: string;
}

/** Growth of a quantity over the measured sizes. */
interface Slope {
  readonly what: string;
  readonly sizes: readonly number[];
  readonly values: readonly number[];
  readonly unit: string;
  /** Average growth per additional unit of size. */
  readonly perOne: number;
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? NaN;
}

/** Returns the median time of one run over several rounds, microseconds. */
function micros(times: number, run: (at: number) => void): number {
  const rounds = Array.from({length: 7}, () => {
    const start = performance.now();
    for (let at = 0; at < times; at++) run(at);
    return ((performance.now() - start) * MICROS) / times;
  });
  return median(rounds);
}

function member(at: number): Identity {
  const vm = vmName(`replica-${at}`);
  return {
    incarnation: newIncarnation(vm, 0, `${at}`),
    vm,
    availabilityZone: availabilityZone(`zone-${at % 19}`),
    role: 'sidecar',
    service: serviceName(`model-${at % 33}`),
    address: `10.0.${at >> 8}.${at & 255}:7000`,
    program: '0.1.0',
  };
}

function memberPoints(size: number): Point[] {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const table = new MemberTable();
  for (let at = 0; at < size; at++) table.onLinkUp(0, member(at));
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  const find = micros(200, () =>
    table.availableUpstreams(serviceName('model-7')),
  );
  return [
    {what: 'member table, memory', size, value: bytes, unit: 'B'},
    {what: 'member table, upstreams()', size, value: find, unit: 'us'},
  ];
}

function text(organisations: number): string {
  const entries = Array.from({length: organisations}, (_, at) => {
    const token = at.toString(16).padStart(64, '0');
    const limits =
      '{requestsPerSecond: 9, tokensPerSecond: 900, concurrency: 9}';
    return `  o${at}: {tokensSha256: ["${token}"], limits: ${limits}}`;
  });
  return [
    'schema: 1',
    'availabilityZones: [a]',
    'services: {m: {kind: model, upstreams: {a: 1}}}',
    'organisations:',
    ...entries,
  ].join('\n');
}

function organisationPoints(size: number): Point[] {
  const cfg = parseConfiguration(text(size))._unsafeUnwrap();
  const directory = new OrganisationDirectory(cfg);
  const find = micros(200, () => directory.findByToken('no such token'));
  return [{what: 'organisation by token', size, value: find, unit: 'us'}];
}

function parsePoints(organisations: number): Point[] {
  const source = text(organisations);
  const took = micros(1, () => parseConfiguration(source));
  const size = source.length;
  return [{what: 'parse a text, by bytes', size, value: took, unit: 'us'}];
}

function frame(tokens: number): Uint8Array {
  const body = new Uint8Array(TOKEN_BYTES * tokens);
  const name = {callId: callId('entry-1/mx8gi68n-d7ce1aca/0'), attempt: 1};
  return encode({type: 'data', ...name, seq: 1, body});
}

function framePoints(tokens: number): Point[] {
  const packed = frame(tokens);
  const write = micros(5_000, () => frame(tokens));
  const read = micros(5_000, () => decode(linkMessage, packed));
  const what = 'a data frame, by tokens in it';
  return [
    {what: `${what}: write`, size: tokens, value: write, unit: 'us'},
    {what: `${what}: read and check`, size: tokens, value: read, unit: 'us'},
    {what: `${what}: bytes`, size: tokens, value: packed.length, unit: 'B'},
  ];
}

function decisionPoints(size: number): Point[] {
  const {p50, p99} = decisionCost(size);
  return [
    {what: 'choice of an upstream, p50', size, value: p50, unit: 'us'},
    {what: 'choice of an upstream, p99', size, value: p99, unit: 'us'},
  ];
}

function slopes(points: readonly Point[]): Slope[] {
  return [...grouped(points)].map(([what, found]) => {
    const sizes = found.map(({size}) => size);
    const values = found.map(({value}) => value);
    const grown = (values.at(-1) ?? 0) - (values[0] ?? 0);
    const perOne = grown / ((sizes.at(-1) ?? 1) - (sizes[0] ?? 0));
    return {what, sizes, values, unit: found[0]?.unit ?? '', perOne};
  });
}

function grouped(points: readonly Point[]): Map<string, Point[]> {
  const groups = new Map<string, Point[]>();
  for (const point of points) {
    groups.set(point.what, [...(groups.get(point.what) ?? []), point]);
  }
  return groups;
}

const MEMBERS = [105, 420, 1_680];
const ORGANISATIONS = [30, 120, 480];
const TOKENS = [1, 8, 64];
const REPLICAS = [12, 40, 80];

// The first, unreported pass warms up the JIT compiler.
memberPoints(105);
framePoints(1);
const measured = slopes([
  ...MEMBERS.flatMap(memberPoints),
  ...ORGANISATIONS.flatMap(organisationPoints),
  ...ORGANISATIONS.flatMap(parsePoints),
  ...TOKENS.flatMap(framePoints),
  ...REPLICAS.flatMap(decisionPoints),
]);
const fixed = {
  keptAnswerOf500Bytes: bytesPerCachedAnswer(),
  claimedKey: bytesPerClaimedKey(),
  largeTextBytes: largeText(1).length,
};

const show = (value: number) => value.toFixed(value < 10 ? 2 : 0);
process.stdout.write('what | sizes | values | for one more\n');
for (const {what, sizes, values, unit, perOne} of measured) {
  const row = [
    what,
    sizes.join(', '),
    `${values.map(show).join(', ')} ${unit}`,
    `${perOne.toPrecision(3)} ${unit}`,
  ];
  process.stdout.write(`${row.join(' | ')}\n`);
}
process.stdout.write(`${JSON.stringify({measured, fixed})}\n`);
