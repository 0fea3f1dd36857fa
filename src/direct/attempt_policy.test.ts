import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {testRoute} from '../../test/support/direct_samples.js';
import {actionAfterFailure} from './index.js';
import type {AttemptFailure, FailureAction, Route} from './index.js';

describe('stepAfter', () => {
  const busy: AttemptFailure = {kind: 'not_run', reason: 'busy'};
  const lost: AttemptFailure = {kind: 'may_have_run', reason: 'reset'};
  const failed: AttemptFailure = {kind: 'failed_answer', status: 500};
  const unsafe: Partial<Route> = {repeat: 'at_most_once', resumable: false};
  const safe: Partial<Route> = {repeat: 'idempotent', resumable: false};
  const once: Partial<Route> = {repeat: 'stream', resumable: false};

  it.each<
    [
      string,
      Partial<Route>,
      AttemptFailure,
      number,
      boolean,
      boolean,
      FailureAction,
    ]
  >([
    ['unsafe, proof', unsafe, busy, 1, false, false, 'try_another'],
    ['unsafe, lost answer', unsafe, lost, 1, false, false, 'fail'],
    ['unsafe, ran and failed', unsafe, failed, 1, false, false, 'pass_failure'],
    ['unsafe, attempts used', unsafe, busy, 2, false, false, 'refuse'],
    ['unsafe, proof after a lost answer', unsafe, busy, 1, true, false, 'fail'],
    ['safe, lost answer', safe, lost, 1, false, false, 'try_another'],
    ['safe, ran and failed', safe, failed, 1, false, false, 'try_another'],
    ['safe, lost twice', safe, lost, 2, true, false, 'fail'],
    ['safe, rejected after a lost answer', safe, busy, 2, true, false, 'fail'],
    ['stream, cut midway', {}, lost, 1, false, true, 'try_another'],
    ['stream, cut midway twice', {}, lost, 2, true, true, 'fail'],
    ['stream that may not be resumed', once, lost, 1, false, true, 'fail'],
    ['stream that did not run', once, busy, 1, false, false, 'try_another'],
  ])('%s', (_name, change, failure, attempts, before, started, expected) => {
    const route = testRoute(change);
    const step = actionAfterFailure(
      {route, attempts, mayHaveRunBefore: before, isStarted: started},
      failure,
    );
    expect(step).toBe(expected);
  });

  it('never reports a request as not run if it may have run', () => {
    const failures = fc.constantFrom(busy, lost, failed);
    const kinds = fc.constantFrom(unsafe, safe, once, {});
    fc.assert(
      fc.property(
        fc.array(failures, {minLength: 1, maxLength: 4}),
        kinds,
        (sequence, kind) => {
          const route = testRoute({...kind, maxAttempts: 2});
          let mayHaveRun = false;
          let sends = 0;
          for (const failure of sequence) {
            sends += 1;
            const step = actionAfterFailure(
              {
                route,
                attempts: sends,
                mayHaveRunBefore: mayHaveRun,
                isStarted: false,
              },
              failure,
            );
            if (failure.kind !== 'not_run') mayHaveRun = true;
            if (step === 'refuse') expect(mayHaveRun).toBe(false);
            if (step !== 'try_another') return;
            if (kind === unsafe) expect(mayHaveRun).toBe(false);
          }
        },
      ),
    );
  });
});
