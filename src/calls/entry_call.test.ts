import {describe, expect, it} from 'vitest';

import {
  callId,
  incarnation,
  organisationName,
  serviceName,
} from '../core/index.js';
import {CLAIM_TIMEOUT} from './claim_batcher.js';
import {EntryCall} from './entry_call.js';
import type {CallRequest, ClaimResult, EntryEffect} from './types.js';

const DEPOT = incarnation('depot-1/1');
const request: CallRequest = {
  callId: callId('entry-1/1/c'),
  service: serviceName('depot'),
  organisation: organisationName('org'),
  weight: 1,
  priority: 'normal',
  idempotent: false,
  deadlineAt: 600_000,
  method: 'POST',
  path: '/loadings',
  headers: {},
  body: new Uint8Array(),
  key: {kind: 'caller', value: 'k', digest: 'd', createdAt: 500},
};
const names = (effects: readonly EntryEffect[]) =>
  effects.map(effect => {
    if (effect.type === 'finish') {
      return `${effect.outcome.kind} ${effect.outcome.reason}`;
    }
    return effect.type === 'send' ? effect.message.type : effect.type;
  });

function claiming(): EntryCall {
  const call = new EntryCall(request);
  call.start(0);
  call.onClaimLookup(undefined);
  call.onUpstreamChosen(0, DEPOT);
  return call;
}

describe('EntryCall with a caller-provided key', () => {
  const won: ClaimResult = {kind: 'won'};
  it.each([
    {title: 'won', result: won, now: 1, does: ['call']},
    {
      title: 'won, but seen after a pause',
      result: won,
      now: CLAIM_TIMEOUT + 1,
      does: ['release', 'not-run log_unavailable'],
    },
    {
      title: 'won, but seen after the deadline',
      result: won,
      now: 600_000,
      does: ['release', 'not-run deadline_passed'],
    },
    {
      title: 'released by a duplicate',
      result: {kind: 'released'} as ClaimResult,
      now: 1,
      does: ['choose'],
    },
    {
      title: 'unavailable because of a log outage',
      result: {kind: 'unavailable', retryAfterMs: 1} as ClaimResult,
      now: 1,
      does: ['release', 'not-run log_unavailable'],
    },
  ])('claim $title', ({result, now, does}) => {
    expect(names(claiming().onClaimResult(now, result))).toEqual(does);
  });

  it('rejects a key older than the claims that the log retains', () => {
    const call = new EntryCall(request);
    call.start(0);
    expect(names(call.onClaimLookup(undefined, 501))).toEqual([
      'not-run key_expired',
    ]);
  });
});
