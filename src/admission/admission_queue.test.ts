import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {PRIORITIES} from '../configuration/index.js';
import {callId, organisationName} from '../core/index.js';
import type {Millis} from '../core/index.js';
import {AdmissionQueue} from './admission_queue.js';
import {FairQueue} from './fair_queue.js';
import type {AdmissionRequest} from './types.js';

let created = 0;

function createRequest(
  parts: Partial<AdmissionRequest> & {of?: string} = {},
): AdmissionRequest {
  const {of = 'kivuli', ...rest} = parts;
  return {
    callId: callId(`call-${created++}`),
    organisation: organisationName(of),
    weight: 1,
    priority: 'normal',
    deadlineAt: 60_000,
    ...rest,
  };
}

/** Creates a queue whose only slot is occupied and whose calls take 100 ms. */
function createBusyQueue(queue = 4): {
  admission: AdmissionQueue;
  first: AdmissionRequest;
} {
  const admission = new AdmissionQueue({concurrency: 1, queue});
  const warm = createRequest();
  admission.offer(0, warm);
  admission.release(100, warm.callId);
  const first = createRequest();
  admission.offer(100, first);
  return {admission, first};
}

describe('AdmissionQueue', () => {
  it.each([
    {
      name: 'a deadline that has passed',
      deadlineAt: 100,
      reason: 'deadline_passed',
    },
    {
      name: 'a deadline before its expected completion',
      deadlineAt: 290,
      reason: 'overloaded',
    },
  ])('immediately rejects a call with $name', ({deadlineAt, reason}) => {
    const {admission} = createBusyQueue();
    const verdict = admission.offer(100, createRequest({deadlineAt}));
    expect(verdict).toMatchObject({decision: 'refuse', reason});
    expect(admission.report().queued).toBe(0);
  });

  it('never starts a queued call after its deadline', () => {
    const {admission, first} = createBusyQueue();
    const late = createRequest({deadlineAt: 350});
    const next = createRequest();
    admission.offer(100, late);
    admission.offer(100, next);
    expect(admission.release(350, first.callId)).toEqual([next.callId]);
    expect(admission.takeShedCalls()).toMatchObject([
      {callId: late.callId, reason: 'deadline_passed'},
    ]);
    expect(admission.takeShedCalls()).toEqual([]);
  });

  it('sheds expired calls in a sweep while no call ends', () => {
    const {admission} = createBusyQueue();
    const late = createRequest({deadlineAt: 350});
    admission.offer(100, late);
    admission.sweep(349);
    expect(admission.takeShedCalls()).toEqual([]);
    admission.sweep(350);
    expect(admission.takeShedCalls()).toMatchObject([{callId: late.callId}]);
  });

  it.each([
    {name: 'a higher priority', parts: {priority: 'high'}, shed: true},
    {
      name: 'an organisation below its fair share',
      parts: {of: 'maison'},
      shed: true,
    },
    {name: 'the same organisation', parts: {}, shed: false},
    {name: 'a lower priority', parts: {priority: 'low', of: 'm'}, shed: false},
  ] as const)(
    'when full, sheds a queued call for $name: $shed',
    ({parts, shed}) => {
      const {admission} = createBusyQueue(2);
      const waiting = [createRequest(), createRequest()];
      for (const one of waiting) admission.offer(100, one);
      const verdict = admission.offer(100, createRequest(parts));
      expect(verdict.decision).toBe(shed ? 'wait' : 'refuse');
      const refused = admission.takeShedCalls().map(({callId: id}) => id);
      expect(refused).toEqual(shed ? [waiting[1]?.callId] : []);
    },
  );

  it('derives Retry-After from the drain rate', () => {
    const {admission} = createBusyQueue(2);
    admission.offer(100, createRequest());
    admission.offer(100, createRequest());
    const verdict = admission.offer(100, createRequest());
    expect(verdict).toMatchObject({retryAfterMs: 300});
  });

  it('detects a hung upstream before any call ends', () => {
    const {admission} = createBusyQueue();
    const soon: Millis = 10_150;
    const verdict = admission.offer(10_000, createRequest({deadlineAt: soon}));
    expect(verdict).toMatchObject({decision: 'refuse'});
    expect(admission.report().drainPerSecond).toBeLessThan(0.2);
  });

  it('lowers concurrency while blocks take longer, then restores it', () => {
    const admission = new AdmissionQueue({concurrency: 16, queue: 200});
    let now = 0;
    const serve = (took: Millis, rounds: number) => {
      for (let i = 0; i < rounds; i++) {
        const calls = Array.from({length: 16}, () =>
          createRequest({deadlineAt: Infinity}),
        );
        for (const one of calls) admission.offer(now, one);
        now += took;
        for (const one of calls) admission.recordFirstToken(now, one.callId);
        for (const one of calls) admission.release(now, one.callId);
      }
      return admission.report().concurrency;
    };
    expect(serve(100, 10)).toBe(16);
    expect(serve(2_000, 10)).toBeLessThan(8);
    expect(serve(100, 60)).toBe(16);
  });
});

describe('FairQueue', () => {
  const entry = fc.record({
    of: fc.constantFrom('a', 'b', 'c'),
    cost: fc.integer({min: 1, max: 500}),
  });
  const weights = {a: 1, b: 2, c: 4};

  it('divides token cost between backlogged organisations by weight', () => {
    const load = fc.array(entry, {minLength: 60, maxLength: 200});
    const property = fc.property(load, all => {
      const queue = new FairQueue();
      const left = {a: 0, b: 0, c: 0};
      for (const {of, cost} of all) {
        left[of] += 1;
        queue.enqueue(createRequest({of, cost, weight: weights[of]}));
      }
      const served = {a: 0, b: 0, c: 0};
      while (left.a > 0 && left.b > 0 && left.c > 0) {
        const next = queue.dequeue();
        if (next === undefined) break;
        const of = next.organisation as string as 'a' | 'b' | 'c';
        left[of] -= 1;
        served[of] += (next.cost ?? 1) / weights[of];
        // Fairness bound of start-time fair queueing: one call of each.
        const [p, q] = [served.a - served.b, served.b - served.c];
        expect(Math.abs(p)).toBeLessThanOrEqual(500 / 1 + 500 / 2);
        expect(Math.abs(q)).toBeLessThanOrEqual(500 / 2 + 500 / 4);
      }
    });
    fc.assert(property, {seed: 62, numRuns: 200});
  });

  it('dequeues the highest priority first and loses no call', () => {
    const load = fc.array(fc.constantFrom(...PRIORITIES), {maxLength: 50});
    const property = fc.property(load, all => {
      const queue = new FairQueue();
      for (const priority of all) queue.enqueue(createRequest({priority}));
      const taken = all.map(() => queue.dequeue()?.priority);
      const rank = (p: (typeof PRIORITIES)[number] | undefined) =>
        PRIORITIES.indexOf(p ?? 'low');
      expect(taken).toEqual(all.toSorted((a, b) => rank(b) - rank(a)));
      expect(queue.dequeue()).toBeUndefined();
    });
    fc.assert(property, {seed: 63, numRuns: 100});
  });

  it('gives an organisation no credit for the time that it was idle', () => {
    const queue = new FairQueue();
    for (let i = 0; i < 50; i++) {
      queue.enqueue(createRequest({of: 'a'}));
      queue.dequeue();
    }
    for (let i = 0; i < 4; i++) queue.enqueue(createRequest({of: 'a'}));
    for (let i = 0; i < 4; i++) queue.enqueue(createRequest({of: 'b'}));
    const order = Array.from({length: 8}, () => queue.dequeue()?.organisation);
    const early = order.slice(0, 4).filter(of => of === 'b');
    expect(early).toHaveLength(2);
  });
});
