import {describe, expect, it} from 'vitest';

import {serviceName} from '../../core/index.js';
import {requestId} from '../../direct/index.js';
import {Metrics, createLogger} from '../../observability/index.js';
import type {AdmittedRequest} from './admitted_request.js';
import {RetryAccounting} from './retry_accounting.js';

const SERVICE = serviceName('app');

const requestOf = (id: string) =>
  ({
    service: SERVICE,
    metadata: {id: requestId(id)},
  }) as AdmittedRequest;

describe('RetryAccounting', () => {
  const lines: string[] = [];
  const metrics = new Metrics();
  const known = {count: 40, readAt: 20_000};
  const retries = new RetryAccounting(
    {ratio: 0.2, slack: 88, window: 10_000},
    () => known,
    createLogger('info', line => lines.push(line)),
    metrics,
  );
  retries.startServing(0);
  retries.join(0, 'restarted');

  it('logs by request id what a retry was charged to, or why it was refused', async () => {
    for (const at of [8_500, 14_000, 19_000])
      retries.recordRequest(at, SERVICE);
    expect(retries.trySpend(20_000, requestOf('r1'))).toBe(true);
    expect(retries.trySpend(20_001, requestOf('r2'))).toBe(true);
    expect(retries.trySpend(20_002, requestOf('r3'))).toBe(false);
    const line = lines.find(text => text.includes('event=retry_refused'));
    expect(line).toMatch(/id=r3 .*retries=2 open=2 requests=1 allowed=2.16/);
    expect(line).toMatch(/share=2.2 entries=40 phase=share age_ms=20002/);
    expect(lines.filter(text => /retry_spent id=r/.test(text))).toHaveLength(2);
    const text = await metrics.registry.metrics();
    const counter = 'baobabspan_retry_decisions_total';
    expect(text).toContain(`${counter}{result="spent",service="app"} 2`);
    expect(text).toContain(`${counter}{result="refused",service="app"} 1`);
  });

  it('logs changes of the number of entries and the share', () => {
    known.count = 44;
    retries.trySpend(21_000, requestOf('r4'));
    retries.trySpend(21_100, requestOf('r5'));
    const changes = lines.filter(text => text.includes('event=retry_share'));
    expect(changes).toHaveLength(2);
    expect(changes[1]).toMatch(/entries=44 entries_before=40 share=2/);
  });
});
