import {Chance, organisationName} from '../src/core/index.js';
import type {Millis} from '../src/core/index.js';
import {OverloadQueue} from '../src/overload/index.js';
import type {PendingRequest} from '../src/overload/index.js';
import {AdaptiveLifoOrder, ScannedQueue} from './queue/scanned_queue.js';
import {valuesBeforeAndAfter} from './queue/values.js';

const LENGTHS = [10, 100, 1_000, 10_000];
const ORGANISATIONS = 40;
const PRIORITIES = 3;
const DECISIONS = 20_000;
/** The scanned queue takes this long at the greatest length. */
const SCANNED_DECISIONS = 1_000;
/** Requests in the queues whose memory is measured. */
const MEASURED_REQUESTS = 20_000;
const MICROS_PER_MS = 1_000;
const DECIMALS = 100;
const TARGET: Millis = 403;
const PATIENCE: Millis = 2_000;

/** A queue in which a decision takes one request out and adds another. */
interface MeasuredQueue {
  add(now: Millis, req: PendingRequest): void;
  decide(now: Millis): void;
}

const scanned = (): MeasuredQueue => {
  const queue = new ScannedQueue<PendingRequest>(new AdaptiveLifoOrder());
  return {
    add: (_now, req) => queue.enqueue(req),
    decide: now => {
      queue.shedExpired(now);
      const req = queue.peek(now);
      if (req === undefined) return;
      queue.remove(req);
      queue.recordSent(now);
    },
  };
};

const ordered =
  (isByPriority: boolean): (() => MeasuredQueue) =>
  () => {
    const bounds = {requests: Infinity, bytes: Infinity};
    const queue = new OverloadQueue<PendingRequest>(new Chance(1), bounds);
    queue.setByPriority(0, isByPriority);
    return {
      add: (now, req) => queue.enqueue(now, req),
      decide: now => {
        queue.shedExpired(now);
        const req = queue.peek(now);
        if (req !== undefined) queue.recordSent(now, req, queue.remove(req));
      },
    };
  };

const QUEUES = {
  'before (scanned)': scanned,
  'equal priorities': ordered(false),
  'by priority': ordered(true),
};

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Creates a request. Four in five can still be in time; none expires or is
 * unreachable during a measurement, so that the queue keeps its length.
 */
function request(chance: Chance): PendingRequest {
  const isLate = chance.fraction() < 0.2;
  return {
    targetAt: isLate ? 0 : 1e6 + TARGET * chance.fraction(),
    expiresAt: 1e7 + PATIENCE * chance.fraction(),
    priority: chance.between(0, PRIORITIES - 1),
    target: TARGET,
    organisation: organisationName(`o${chance.between(1, ORGANISATIONS)}`),
    route: 'r',
    promptTokens: chance.between(300, 2_000),
    expectedTokens: chance.between(20, 400),
    callerTimeout: 8_054,
  };
}

/** Returns the memory of a queued request, bytes. */
function bytesPerRequest(name: keyof typeof QUEUES, length: number): number {
  const chance = new Chance(length);
  const count = MEASURED_REQUESTS / length;
  const requests = Array.from({length: MEASURED_REQUESTS}, () =>
    request(chance),
  );
  const before = heapBytes();
  const queues = Array.from({length: count}, () => QUEUES[name]());
  for (const [i, req] of requests.entries()) queues[i % count]!.add(0, req);
  const bytes = heapBytes() - before;
  // Keeps the queues reachable until their memory is measured.
  queues[0]!.decide(0);
  return bytes / MEASURED_REQUESTS;
}

/** Returns the time of a decision, ms. */
function timePerDecision(name: keyof typeof QUEUES, length: number): number {
  const chance = new Chance(length);
  const isScanned = name === 'before (scanned)' && length > LENGTHS[1]!;
  const decisions = isScanned ? SCANNED_DECISIONS : DECISIONS;
  const added = Array.from({length: decisions}, () => request(chance));
  const queue = QUEUES[name]();
  for (let i = 0; i < length; i++) queue.add(i / length, request(chance));
  const startedAt = performance.now();
  for (const [i, req] of added.entries()) {
    queue.add(1 + i, req);
    queue.decide(1 + i);
  }
  return (performance.now() - startedAt) / decisions;
}

function measure(name: keyof typeof QUEUES, length: number) {
  const micros = timePerDecision(name, length) * MICROS_PER_MS;
  return {
    queue: name,
    waiting: length,
    'us per decision': Math.round(micros * DECIMALS) / DECIMALS,
    'bytes per request': Math.round(bytesPerRequest(name, length)),
  };
}

const names = Object.keys(QUEUES) as (keyof typeof QUEUES)[];
// The first measurement of a queue runs code that is not compiled yet.
for (const name of names) measure(name, LENGTHS[1]!);
console.table(
  LENGTHS.flatMap(length => names.map(name => measure(name, length))),
);
console.table(valuesBeforeAndAfter());
