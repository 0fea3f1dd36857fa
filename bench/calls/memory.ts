import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import {CallLedger, ClaimRegistry} from '../../src/calls/index.js';
import type {CallMessage} from '../../src/calls/index.js';
import {
  callId,
  incarnation,
  offset,
  organisationName,
  recordId,
  serviceName,
} from '../../src/core/index.js';

const COUNT = 20_000;
const ANSWER_BYTES = 500;

setFlagsFromString('--expose_gc');
const collect = runInNewContext('gc') as () => void;

function usedBytes(): number {
  collect();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function call(at: number): CallMessage {
  return {
    type: 'call',
    callId: callId(`entry-1/mx8gi68n-d7ce1aca/${at.toString(16)}`),
    attempt: 1,
    service: serviceName('depot'),
    organisation: organisationName('kariakoo-rounds'),
    weight: 1,
    priority: 'normal',
    idempotent: false,
    remainingMs: 5_000,
    method: 'POST',
    path: '/loadings',
    headers: {},
    body: new Uint8Array(),
    credit: 64,
  };
}

/** Measures the memory that a sidecar retains per answered call, bytes. */
export function bytesPerCachedAnswer(): number {
  const ledger = new CallLedger();
  const before = usedBytes();
  for (let at = 0; at < COUNT; at++) {
    const message = call(at);
    ledger.accept(0, incarnation('entry-1/mx8gi68n-d7ce1aca'), message);
    ledger.start(0, message);
    ledger.recordHead(message, {status: 200, headers: {'content-type': 'a/b'}});
    ledger.recordData(message, {body: new Uint8Array(ANSWER_BYTES)});
    ledger.complete(0, message);
  }
  return (usedBytes() - before) / Math.max(ledger.size, 1);
}

/** Measures the memory that an entry retains per claimed key, bytes. */
export function bytesPerClaimedKey(): number {
  const registry = new ClaimRegistry();
  const before = usedBytes();
  for (let at = 0; at < COUNT; at++) {
    const id = callId(`entry-1/mx8gi68n-d7ce1aca/${at.toString(16)}`);
    const claim = {
      id: `${id}#1`,
      callId: id,
      attempt: 1,
      service: serviceName('depot'),
      organisation: organisationName('kariakoo-rounds'),
      key: `018c7f2e-0000-7000-8000-${at.toString(16).padStart(12, '0')}`,
      digest: 'x'.repeat(43).slice(0, 30) + at.toString(16),
      sidecar: incarnation('depot-1/mx8gi58p-d2751fa3'),
    };
    const name = recordId(`entry-1/mx8gi68n-d7ce1aca/r${at}`);
    const record = {kind: 'claims' as const, id: name, wall: 0, releases: []};
    registry.fold(offset(at), {...record, claims: [claim]});
  }
  return (usedBytes() - before) / Math.max(registry.size, 1);
}
