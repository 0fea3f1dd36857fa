import {describe, expect, it} from 'vitest';

import {
  MINUTE,
  callId,
  incarnation,
  organisationName,
  serviceName,
} from '../core/index.js';
import {CallLedger} from './call_ledger.js';
import type {Reply} from './ledger_entry.js';
import type {CallMessage} from './messages.js';

const ENTRY = incarnation('entry-1/1');
const OTHER = incarnation('entry-2/1');
const call = (more: Partial<CallMessage> = {}): CallMessage => ({
  type: 'call',
  callId: callId('c'),
  attempt: 1,
  service: serviceName('depot'),
  organisation: organisationName('org'),
  weight: 1,
  priority: 'normal',
  idempotent: false,
  remainingMs: 1_000,
  method: 'POST',
  path: '/loadings',
  headers: {},
  body: new Uint8Array(),
  credit: 64,
  ...more,
});
const settle = (of: CallMessage, from = 0, as = of.callId) => ({
  ...{type: 'settle' as const, callId: as, attempt: of.attempt, from},
  target: {callId: of.callId, attempt: of.attempt},
});
const types = (replies: readonly Reply[]) =>
  replies.map(({message}) =>
    'reason' in message ? `${message.type} ${message.reason}` : message.type,
  );

function answered(size: number): CallLedger {
  const ledger = new CallLedger();
  ledger.accept(0, ENTRY, call());
  ledger.start(0, call());
  ledger.recordHead(call(), {status: 200, headers: {}});
  ledger.recordData(call(), {body: new Uint8Array(size)});
  ledger.complete(0, call());
  return ledger;
}

describe('CallLedger', () => {
  it('never runs an attempt that was queried before it arrived', () => {
    const ledger = new CallLedger();
    const replies = ledger.reconcile(0, ENTRY, settle(call()));
    expect(types(replies)).toEqual(['refused never_received']);
    const taken = ledger.accept(1, ENTRY, call());
    expect([taken.isNew, types(taken.replies)]).toEqual([
      false,
      ['refused never_received'],
    ]);
  });

  it('does not accept a second attempt of a call that may have run', () => {
    const ledger = new CallLedger();
    ledger.accept(0, ENTRY, call());
    ledger.start(0, call());
    expect(ledger.accept(1, ENTRY, call({attempt: 2})).isNew).toBe(false);
  });

  it('does not start a rejected attempt or one past its deadline', () => {
    const ledger = new CallLedger();
    ledger.accept(0, ENTRY, call());
    ledger.reject(0, call(), 'overloaded', 1);
    expect(ledger.start(0, call()).isStarted).toBe(false);
    const late = call({callId: callId('late')});
    ledger.accept(5_000, ENTRY, late, 4_000);
    const started = ledger.start(5_000, late);
    expect([started.isStarted, types(started.replies)]).toEqual([
      false,
      ['refused deadline_passed'],
    ]);
  });

  it.each([
    {title: 'from the head', from: 0, replies: ['head', 'data', 'end']},
    {title: 'from a missing piece', from: 1, replies: ['data', 'end']},
    {title: 'from the end', from: 2, replies: ['end']},
  ])('replays a cached answer $title', ({from, replies}) => {
    const again = answered(10).reconcile(1, OTHER, settle(call(), from));
    expect(types(again)).toEqual(replies);
  });

  it('does not report a discarded answer as not run', () => {
    const ledger = answered(2 ** 20);
    expect(types(ledger.reconcile(1, OTHER, settle(call())))).toEqual([
      'failed answer_expired',
    ]);
    expect(ledger.cachedBytes).toBe(0);
  });

  it('retains an attempt that may have run beyond its key window', () => {
    const ledger = answered(10);
    ledger.sweep(60 * MINUTE);
    expect(ledger.accept(60 * MINUTE, ENTRY, call()).isNew).toBe(false);
    ledger.sweep(66 * MINUTE);
    expect([ledger.size, ledger.cachedBytes]).toEqual([0, 0]);
  });

  it('rejects another body under an issued key in a call or a query', () => {
    const ledger = new CallLedger();
    const first = call({key: 'k', digest: 'a'});
    const second = call({callId: callId('d'), key: 'k', digest: 'b'});
    ledger.accept(0, ENTRY, first);
    const third = {...settle(call({callId: callId('e')})), key: 'k'};
    expect([
      types(ledger.accept(0, OTHER, second).replies),
      types(ledger.reconcile(0, OTHER, {...third, digest: 'b'})),
    ]).toEqual([['refused key_reused'], ['refused key_reused']]);
  });

  it('stops a running attempt without listeners only if idempotent', () => {
    const ledger = new CallLedger();
    const stream = call({callId: callId('s'), idempotent: true});
    for (const one of [call(), stream]) {
      ledger.accept(0, ENTRY, one);
      ledger.start(0, one);
    }
    expect(ledger.cancel(ENTRY, call())).toBeUndefined();
    expect(ledger.cancel(ENTRY, stream)).toMatchObject({attempt: 1});
  });
});
