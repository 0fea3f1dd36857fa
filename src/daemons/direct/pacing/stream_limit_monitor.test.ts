import {describe, expect, it} from 'vitest';

import {testConfiguration} from '../../../../test/support/direct_samples.js';
import {ENGINE} from '../../../../test/support/pacing_load.js';
import {Chance, availabilityZone, serviceName} from '../../../core/index.js';
import {Metrics, SILENT_LOGGER} from '../../../observability/index.js';
import type {Logger} from '../../../observability/index.js';
import {GroupLimiters} from '../dispatch/group_limiters.js';
import {PacingDirectory, StreamLimitMonitor} from './index.js';

const SERVICE = serviceName('assistant');
const ZONE = availabilityZone('a');

function recordingLogger() {
  const events: string[] = [];
  const info = (event: string) => events.push(event);
  return {events, logger: {...SILENT_LOGGER, info} as unknown as Logger};
}

describe('pacing by the configuration', () => {
  const services = [
    {name: SERVICE, hasEngines: true, experts: undefined, engine: ENGINE},
  ];

  it('replaces the limiter without losing the streams that run', () => {
    const {events, logger} = recordingLogger();
    const pacing = new PacingDirectory(logger);
    const limiters = new GroupLimiters(
      {
        upstreamsOf: () => [],
        hasEngines: () => true,
        isByPriority: () => false,
        groupOf: () => ZONE,
        slowdownOf: () => 1,
        entryCount: () => 14,
        pacingOf: service => pacing.of(service),
      },
      new Chance(1),
    );
    const before = limiters.of('g', SERVICE).streams;
    before.recordSent();
    before.recordSent();
    pacing.apply(testConfiguration(1, {services}));
    const paced = limiters.of('g', SERVICE).streams;
    expect(paced).not.toBe(before);
    expect(paced.running).toBe(2);
    // A version that changes nothing here keeps what was measured.
    pacing.apply(testConfiguration(2, {services}));
    expect(limiters.of('g', SERVICE).streams).toBe(paced);
    expect(events).toEqual(['streams_paced']);
    pacing.apply(testConfiguration(3));
    expect(limiters.of('g', SERVICE).streams.running).toBe(2);
    expect(events).toEqual(['streams_paced', 'streams_paced']);
  });

  it('logs and counts the begin, larger changes and the end of a limit', async () => {
    const {events, logger} = recordingLogger();
    const metrics = new Metrics();
    const monitor = new StreamLimitMonitor(logger, metrics);
    const limitOf = (value: number | undefined) => ({
      ...{value, running: 1, status: {}},
      ...{hasCapacity: () => true, recordSent: () => undefined},
      ...{recordEnded: () => undefined, recordGap: () => undefined},
    });
    const limits = [undefined, 9, 9.5, 5, 5, undefined, undefined];
    for (const [i, limit] of limits.entries()) {
      monitor.observe(i * 600, 'g', limitOf(limit));
    }
    expect(events).toEqual([
      'streams_limited',
      'stream_limit_changed',
      'streams_unlimited',
    ]);
    const text = await metrics.registry.metrics();
    expect(text).toContain('baobabspan_stream_limit{group="g"} 0');
    expect(text).toContain(
      'baobabspan_stream_limit_changes_total{change="ended"} 1',
    );
  });
});
