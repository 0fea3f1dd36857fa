import {describe, expect, it} from 'vitest';

import {AttemptProgress} from './attempt_progress.js';
import {CrashBatch} from './crash_batch.js';
import {isCrashAtStart} from './crash_signature.js';
import type {CrashReport} from './crash_report.js';
import {incarnation, serviceName} from '../core/index.js';
import {promptPartId, requestId} from './types.js';

const BROKEN = {kind: 'may_have_run', reason: 'aborted'} as const;

describe('isCrashAtStart', () => {
  const progressOf = (events: number, idle: number) => {
    const progress = new AttemptProgress(0);
    progress.recordStart(0);
    progress.recordBytes(1_000 - idle, events);
    return progress;
  };

  it('is true for a run that broke off right after its head', () => {
    expect(isCrashAtStart(1_000, progressOf(0, 60), BROKEN)).toBe(true);
  });

  it.each([
    ['delivered events', progressOf(4, 3)],
    ['stalled with its group', progressOf(1, 1_530)],
    ['had not begun', new AttemptProgress(0)],
  ])('is false for a run that %s', (_name, progress) => {
    expect(isCrashAtStart(1_000, progress, BROKEN)).toBe(false);
  });

  it('is false for a request that did not run', () => {
    const busy = {kind: 'not_run', reason: 'busy'} as const;
    expect(isCrashAtStart(1_000, progressOf(0, 60), busy)).toBe(false);
  });
});

describe('CrashBatch', () => {
  const report: CrashReport = {
    service: serviceName('assistant'),
    upstream: incarnation('i-1@1'),
    request: requestId('r1'),
    at: 0,
    suspects: [promptPartId('dead')],
    isKnown: false,
    cleared: [],
  };

  it.each([
    ['at one upstream', 1, false],
    ['at three ranks in one pass', 3, false],
    ['at all upstreams of a zone', 5, true],
  ])('of runs that broke off %s', (_name, upstreams, isDiscarded) => {
    const batch = new CrashBatch();
    for (let i = 0; i < upstreams; i++) {
      batch.recordBroken(0, incarnation(`i-${i}@1`));
    }
    expect(batch.add(report)).toBe(true);
    expect(batch.take()).toEqual({reports: [report], isDiscarded});
    expect(batch.take().reports).toEqual([]);
  });
});
